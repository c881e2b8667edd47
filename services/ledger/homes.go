// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"math/bits"
	"slices"

	"saddlevane/models/record"
	"saddlevane/models/resource"
	"saddlevane/models/spec"
)

// eligibleShards returns the shards that could run o when empty, in order.
func (c *cell) eligibleShards(o *Object) []spec.ShardID {
	var all []spec.ShardID
	for id, sc := range c.shards {
		if len(o.work.Domains) > 0 && !slices.Contains(o.work.Domains, id.Domain) {
			continue
		}
		if c.hasRoom(id, sc, o) {
			all = append(all, id)
		}
	}
	slices.SortFunc(all, spec.ShardID.Compare)
	return all
}

// hasRoom says whether a shard, when empty, has room for one task of o, or for
// all of them if o is a gang, within the team's quota there.
func (c *cell) hasRoom(id spec.ShardID, sc *shardCell, o *Object) bool {
	need, count := o.work.Resources, 1
	if o.kind == KindGang {
		need, count = need.Times(o.work.Count), o.work.Count
	}
	quota := ShardQuota(c.teams[o.work.Team], c.capacityShare(id))
	return sc.taskCapacity(o.work.Resources) >= count && need.Fits(quota)
}

// CapacityShare is a shard's capacity and that of all shards.
type CapacityShare struct{ shard, cell resource.Vector }

func (c *cell) capacityShare(id spec.ShardID) CapacityShare {
	return CapacityShare{shard: c.capacity(id), cell: c.total}
}

func (c *cell) capacity(id spec.ShardID) resource.Vector {
	if sc := c.shards[id]; sc != nil {
		return sc.capacity
	}
	return resource.Vector{}
}

// CapacityShare returns what part of the cell shard is.
func (l *Ledger) CapacityShare(shard spec.ShardID) CapacityShare { return l.cell.capacityShare(shard) }

// Capacity returns what the workers of shard have together, as declared.
func (l *Ledger) Capacity(shard spec.ShardID) resource.Vector { return l.cell.capacity(shard) }

// ShardQuota returns a team's quota in one shard: of each resource the part of
// the cell's that the shard has. The parts add up to no more than the quota, so
// shards need not ask each other.
func ShardQuota(t spec.Team, p CapacityShare) resource.Vector {
	return resource.Vector{
		Processors:   resource.Millis(scale(int64(t.Quota.Processors), int64(p.shard.Processors), int64(p.cell.Processors))),
		Memory:       resource.Bytes(scale(int64(t.Quota.Memory), int64(p.shard.Memory), int64(p.cell.Memory))),
		Accelerators: scale(t.Quota.Accelerators, p.shard.Accelerators, p.cell.Accelerators),
	}
}

// scale returns amount * part / whole, rounded down, without overflow.
func scale(amount, part, whole int64) int64 {
	if whole <= 0 || part <= 0 || amount <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(amount), uint64(min(part, whole)))
	quotient, _ := bits.Div64(high, low, uint64(whole))
	return int64(quotient)
}

// taskCapacity returns how many tasks of size need fit on the shard when empty.
func (sc *shardCell) taskCapacity(need resource.Vector) int {
	total := 0
	for each, workers := range sc.workersBySize {
		total += tasksPerWorker(each, need) * workers
	}
	return total
}

func tasksPerWorker(each, need resource.Vector) int {
	n := int64(spec.MaxCount)
	if need.Processors > 0 {
		n = min(n, int64(each.Processors/need.Processors))
	}
	if need.Memory > 0 {
		n = min(n, int64(each.Memory/need.Memory))
	}
	if need.Accelerators > 0 {
		n = min(n, each.Accelerators/need.Accelerators)
	}
	return int(n)
}

// assignHomes shares the tasks of a new object out over the shards that can run it:
// a gang to one shard, everything else by how many tasks each shard has room
// for when empty.
func (c *cell) assignHomes(o *Object) []record.Home {
	shards := c.eligibleShards(o)
	if len(shards) == 0 {
		return nil
	}
	if o.kind == KindGang {
		pick := shards[int(o.id.Born%int64(len(shards)))]
		return []record.Home{{Shard: pick, From: 0, To: o.work.Count}}
	}
	weights, total := make([]int, len(shards)), 0
	for i, id := range shards {
		weights[i] = c.shards[id].taskCapacity(o.work.Resources)
		total += weights[i]
	}
	return splitTasks(shards, weights, total, o)
}

// splitTasks cuts the tasks of o into one range a shard. Which shard comes first
// depends on the birth, so that many small jobs do not all land on one.
func splitTasks(shards []spec.ShardID, weights []int, total int, o *Object) []record.Home {
	first := int(o.id.Born % int64(len(shards)))
	var homes []record.Home
	from, seen := 0, 0
	for i := range shards {
		at := (first + i) % len(shards)
		seen += weights[at]
		to := (o.work.Count*seen + total - 1) / total
		if to > from {
			homes = append(homes, record.Home{Shard: shards[at], From: from, To: to})
			from = to
		}
	}
	return homes
}

// resizeHomes fits homes to a new count: the last range grows, or ranges are cut
// from the end. Tasks that stay keep their shard.
func resizeHomes(homes []record.Home, count int) []record.Home {
	var kept []record.Home
	for _, h := range homes {
		if h.From >= count {
			break
		}
		h.To = min(h.To, count)
		kept = append(kept, h)
	}
	if n := len(kept); n > 0 && kept[n-1].To < count {
		kept[n-1].To = count
	}
	return kept
}
