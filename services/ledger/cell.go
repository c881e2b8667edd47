// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"slices"

	"saddlevane/models/resource"
	"saddlevane/models/spec"
)

// cell is the configuration of the whole cell, merged from all files in force.
type cell struct {
	racks    map[string]spec.Rack
	teams    map[string]spec.Team
	pools    map[string]spec.Pool
	draining map[string]bool
	// shards holds the racks of each shard.
	shards map[spec.ShardID]*shardCell
	// total is the capacity of all shards together.
	total resource.Vector
}

// shardCell is one shard's part of the cell. It stores sums, because every publication
// needs them and a cell has thousands of racks.
type shardCell struct {
	racks    []spec.Rack
	capacity resource.Vector
	// workersBySize is the number of workers of each size.
	workersBySize map[resource.Vector]int
}

// rebuildCell computes the cell from the files in force.
func (l *Ledger) rebuildCell() {
	c := cell{
		racks: map[string]spec.Rack{}, teams: map[string]spec.Team{}, pools: map[string]spec.Pool{},
		draining: map[string]bool{}, shards: map[spec.ShardID]*shardCell{},
	}
	for _, name := range l.Files() {
		c.addFile(l.files[name].file)
	}
	l.cell = c
}

// addFile adds the racks, teams, pools and drained boxes of a file. A retired file has none.
func (c *cell) addFile(f *spec.File) {
	if f.Retired {
		return
	}
	for _, r := range f.Racks {
		c.addRack(r)
	}
	for _, t := range f.Teams {
		c.teams[t.Name] = t
	}
	for _, p := range f.Pools {
		c.pools[p.Name] = p
	}
	for _, name := range f.Drain {
		c.draining[name] = true
	}
}

// addRack adds a rack to its shard and to the sums.
func (c *cell) addRack(r spec.Rack) {
	c.racks[r.Name] = r
	sc := c.shards[r.ShardID()]
	if sc == nil {
		sc = &shardCell{workersBySize: map[resource.Vector]int{}}
		c.shards[r.ShardID()] = sc
	}
	all := r.Each.Times(len(r.Workers))
	sc.racks = append(sc.racks, r)
	sc.capacity = sc.capacity.Plus(all)
	sc.workersBySize[r.Each] += len(r.Workers)
	c.total = c.total.Plus(all)
}

// Pools returns the pools in force by name.
func (l *Ledger) Pools() map[string]spec.Pool { return l.cell.pools }

// Teams returns the teams in force by name.
func (l *Ledger) Teams() map[string]spec.Team { return l.cell.teams }

// Racks returns the racks of shard, or nil if it has none.
func (l *Ledger) Racks(shard spec.ShardID) []spec.Rack {
	if sc := l.cell.shards[shard]; sc != nil {
		return sc.racks
	}
	return nil
}

// Shards returns the shards of domain that have racks, sorted.
func (l *Ledger) Shards(domain string) []spec.ShardID {
	var all []spec.ShardID
	for id := range l.cell.shards {
		if id.Domain == domain {
			all = append(all, id)
		}
	}
	slices.SortFunc(all, spec.ShardID.Compare)
	return all
}

// Draining reports whether a file in force drains the box or worker of that name.
func (l *Ledger) Draining(name string) bool { return l.cell.draining[name] }
