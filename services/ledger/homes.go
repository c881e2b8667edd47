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

// eligibleShards returns the shards that could run o if they were empty, sorted.
func (c *cell) eligibleShards(o *Object) []spec.ShardID {
	var all []spec.ShardID
	for id, sc := range c.shards {
		if len(o.work.Domains) > 0 && !slices.Contains(o.work.Domains, id.Domain) {
			continue
		}
		if c.canFit(id, sc, o) {
			all = append(all, id)
		}
	}
	slices.SortFunc(all, spec.ShardID.Compare)
	return all
}

// canFit reports whether one task of o, or all of them if o is a gang, would fit on a shard
// if it were empty, within the team's quota in that shard.
func (c *cell) canFit(id spec.ShardID, sc *shardCell, o *Object) bool {
	need, count := o.work.Resources, 1
	if o.kind == KindGang {
		need, count = need.Times(o.work.Count), o.work.Count
	}
	quota := ShardQuota(c.teams[o.work.Team], c.capacityShare(id))
	return sc.taskCapacity(o.work.Resources) >= count && need.Fits(quota)
}

// CapacityShare holds the capacity of a shard and that of the whole cell.
type CapacityShare struct{ shard, cell resource.Vector }

// capacityShare returns the capacity of shard id beside that of the cell.
func (c *cell) capacityShare(id spec.ShardID) CapacityShare {
	return CapacityShare{shard: c.capacity(id), cell: c.total}
}

// capacity returns the declared capacity of shard id, zero if it has no racks.
func (c *cell) capacity(id spec.ShardID) resource.Vector {
	if sc := c.shards[id]; sc != nil {
		return sc.capacity
	}
	return resource.Vector{}
}

// CapacityShare returns the capacity of shard beside that of the cell.
func (l *Ledger) CapacityShare(shard spec.ShardID) CapacityShare { return l.cell.capacityShare(shard) }

// Capacity returns the total capacity of the workers of shard, as declared in the files.
func (l *Ledger) Capacity(shard spec.ShardID) resource.Vector { return l.cell.capacity(shard) }

// ShardQuota returns a team's quota in one shard: for each resource, the team's quota
// times the shard's fraction of the cell's capacity. These add up to no more than the
// team's quota, so shards need no coordination to enforce it.
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

// taskCapacity returns how many tasks of size need fit on the shard if it is empty.
func (sc *shardCell) taskCapacity(need resource.Vector) int {
	total := 0
	for each, workers := range sc.workersBySize {
		total += tasksPerWorker(each, need) * workers
	}
	return total
}

// tasksPerWorker returns how many tasks of size need fit on an empty worker of capacity
// each, at most spec.MaxCount.
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

// assignHomes distributes the tasks of a new object over the shards that can run it: all
// tasks of a gang to one shard, any others in proportion to how many tasks fit on each
// shard if it is empty.
func (c *cell) assignHomes(o *Object) []record.Home {
	shards := c.eligibleShards(o)
	if len(shards) == 0 {
		return nil
	}
	if o.kind == KindGang {
		chosen := shards[int(o.id.Born%int64(len(shards)))]
		return []record.Home{{Shard: chosen, From: 0, To: o.work.Count}}
	}
	weights, total := make([]int, len(shards)), 0
	for i, id := range shards {
		weights[i] = c.shards[id].taskCapacity(o.work.Resources)
		total += weights[i]
	}
	return splitTasks(shards, weights, total, o)
}

// splitTasks divides the tasks of o into one range per shard, in proportion to weights,
// which sum to total. The revision at which o was created selects the first shard, so
// that many small jobs are not all assigned to the same one.
func splitTasks(shards []spec.ShardID, weights []int, total int, o *Object) []record.Home {
	first := int(o.id.Born % int64(len(shards)))
	var homes []record.Home
	from, cumulative := 0, 0
	for i := range shards {
		at := (first + i) % len(shards)
		cumulative += weights[at]
		to := (o.work.Count*cumulative + total - 1) / total
		if to > from {
			homes = append(homes, record.Home{Shard: shards[at], From: from, To: to})
			from = to
		}
	}
	return homes
}

// resizeHomes adapts homes to a new task count: it extends the last range, or removes
// tasks from the end. The remaining tasks keep their shard.
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
