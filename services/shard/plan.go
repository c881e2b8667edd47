// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
	"fmt"
	"slices"
	"time"

	"saddlevane/models/resource"
	"saddlevane/models/spec"
	"saddlevane/services/ledger"
	"saddlevane/services/placement"
)

// Policy is what varies between deployments and is measured against baselines.
type Policy struct {
	// Weights rate places for batch work.
	BatchWeights placement.Weights
	// Together rates places for services, whose spread counts more.
	ServiceWeights placement.Weights
	// SpreadPenalty is added for each task of the same service in the group that
	// the service should not share.
	SpreadPenalty float64
}

// DefaultPolicy is what the measurements favour.
func DefaultPolicy() Policy {
	return Policy{BatchWeights: placement.DefaultWeights(), ServiceWeights: placement.DefaultWeights(), SpreadPenalty: 10}
}

// maxTasksPerTurn is how many tasks of one object are placed before teams are compared
// again.
const maxTasksPerTurn = 16

// maxBlockedObjects is how many blocked objects of one team are passed over for smaller
// work behind them.
const maxBlockedObjects = 64

// planPass is one run of plan.
type planPass struct {
	now         time.Time
	remaining   int
	unplaceable []resource.Vector
	// closed is the rank from which on nothing may overtake a gang that has
	// waited long.
	closedRank int
}

// plan gives waiting tasks their places: by priority, then by the teams' shares
// against their weights, then by age. Smaller work may pass what does not fit.
func (h *Holder) plan(now time.Time) {
	if h.isYielding(now) {
		return
	}
	h.pruneQueues()
	r := &planPass{now: now, remaining: h.settings.PlacementsPerTick, closedRank: len(spec.Priorities)}
	for rank := range spec.Priorities {
		if rank > r.closedRank {
			return
		}
		h.planRank(r, rank)
	}
}

func (h *Holder) planRank(r *planPass, rank int) {
	passed := map[*team]int{}
	for r.remaining > 0 {
		t := h.leastServedTeam(rank, passed)
		if t == nil {
			return
		}
		o := t.queues[rank][passed[t]]
		if placed := h.planObject(r, t, o); placed < maxTasksPerTurn {
			passed[t]++
		}
		if r.closedRank <= rank {
			return
		}
	}
}

// leastServedTeam returns the team with work of the rank and the smallest share for its
// weight.
func (h *Holder) leastServedTeam(rank int, passed map[*team]int) *team {
	var best *team
	least := 0.0
	for _, t := range h.teams {
		if at := passed[t]; at >= len(t.queues[rank]) || at >= maxBlockedObjects {
			continue
		}
		share := t.reserved.DominantShare(h.total.capacity) / t.spec.Weight
		if best == nil || share < least || (share == least && t.spec.Name < best.spec.Name) {
			best, least = t, share
		}
	}
	return best
}

// pruneQueues drops objects that have nothing waiting.
func (h *Holder) pruneQueues() {
	for _, t := range h.teams {
		for rank, queue := range t.queues {
			kept := queue[:0]
			for _, o := range queue {
				if !o.removed && !o.spec.Cancelled() && h.hasWaiting(o) {
					kept = append(kept, o)
				}
			}
			clear(queue[len(kept):])
			t.queues[rank] = kept
		}
	}
}

// planObject places up to burst tasks of o and returns how many it placed.
func (h *Holder) planObject(r *planPass, t *team, o *object) int {
	if reason := h.holdReason(r.now, o); reason != "" {
		o.reason = reason
		return 0
	}
	if o.spec.Kind() == ledger.KindGang {
		return h.planGang(r, t, o)
	}
	placed := 0
	for placed < maxTasksPerTurn && r.remaining > 0 {
		w := h.findWorker(r, t, o)
		if w == nil {
			break
		}
		next, ok := h.popWaiting(r.now, o)
		if !ok {
			break
		}
		h.placeTask(r.now, o, next, w)
		r.remaining--
		placed++
	}
	if placed > 0 && r.remaining > 0 && !h.hasWaiting(o) {
		o.reason = ""
	}
	return placed
}

// holdReason says why no task of o may start now whatever is free, or "".
func (h *Holder) holdReason(now time.Time, o *object) string {
	switch {
	case h.maybeSuperseded:
		return "another box has held workers of the shard, and the log has not told yet whether it is the holder now"
	case h.phase != Active && o.spec.ID().Born <= h.claimRevision:
		return "this entry box is taking the shard over and does not know yet what runs"
	case now.Before(o.notBefore):
		return o.reason
	case o.isPastDeadline(now):
		return "its deadline has passed, so no task of it is started any more"
	case !o.spec.Repeatable() && (h.journal.Full() || h.journal.FailureReason() != ""):
		return "the log cannot be written, and the start of a task that may not be repeated must be recorded first"
	default:
		return ""
	}
}

// isPastDeadline says whether a job's deadline has passed.
func (o *object) isPastDeadline(now time.Time) bool {
	b := o.spec.Batch()
	return b != nil && !b.Deadline.IsZero() && now.After(b.Deadline.Time)
}

// findWorker returns a worker for one task of o, or nil and the reason in o.
func (h *Holder) findWorker(r *planPass, t *team, o *object) *workerState {
	need := o.spec.Work().Resources
	if !t.reserved.Plus(need).Fits(t.quota) {
		o.reason = fmt.Sprintf("team %s has its quota of this shard in use", t.spec.Name)
		return nil
	}
	if r.isUnplaceable(need) {
		o.reason = noCapacityReason(need)
		return nil
	}
	n := h.bestNode(o, need)
	if n != nil {
		return h.workers[n.Name()]
	}
	r.unplaceable = append(r.unplaceable, need)
	o.reason = noCapacityReason(need)
	h.preemptFor(r.now, o, need)
	return nil
}

func noCapacityReason(need resource.Vector) string {
	return fmt.Sprintf("no worker of the shard has %s processors, %s of memory and %d accelerators free together",
		need.Processors, need.Memory, need.Accelerators)
}

func (r *planPass) isUnplaceable(need resource.Vector) bool {
	for _, f := range r.unplaceable {
		if f.Fits(need) {
			return true
		}
	}
	return false
}

func (h *Holder) bestNode(o *object, need resource.Vector) *placement.Node {
	score := func(n *placement.Node) float64 { return h.policy.BatchWeights.Score(n, need) }
	if s := o.spec.Service(); s != nil && s.Spread != spec.SpreadNone {
		score = func(n *placement.Node) float64 {
			return h.policy.ServiceWeights.Score(n, need) + h.policy.SpreadPenalty*float64(o.countNeighbours(n, s.Spread))
		}
	}
	if need.Accelerators == 0 {
		if n := h.plainIndex.Best(need, score); n != nil {
			return n
		}
	}
	return h.acceleratorIndex.Best(need, score)
}

// countNeighbours counts tasks of o in the group of n that they should not share.
func (o *object) countNeighbours(n *placement.Node, s spec.Spread) int {
	if s == spec.SpreadRack {
		// Within a rack, workers that have none yet are still better.
		return o.onRack[n.Rack()] + o.onWorker[n.Name()]
	}
	return o.onWorker[n.Name()]
}

// planGang places all tasks of a gang or none.
func (h *Holder) planGang(r *planPass, t *team, o *object) int {
	if o.active > 0 {
		o.reason = "the rest of the gang has not stopped yet"
		return 0
	}
	need := o.spec.Work().Resources
	waiting := h.popAllWaiting(r.now, o)
	if o.retries.len() > 0 || !t.reserved.Plus(need.Times(len(waiting))).Fits(t.quota) || !h.placeAll(r.now, o, waiting) {
		h.requeueAll(o, waiting)
		h.recordGangWait(r, t, o, len(waiting))
		return 0
	}
	r.remaining -= len(waiting)
	o.reason = ""
	return len(waiting)
}

// popAllWaiting takes all tasks of a gang from its queue, each once: one that comes
// back from an earlier attempt may not have been passed by the cursor yet.
func (h *Holder) popAllWaiting(now time.Time, o *object) []retry {
	var waiting []retry
	taken := map[int]bool{}
	for next, ok := h.popWaiting(now, o); ok; next, ok = h.popWaiting(now, o) {
		if !taken[next.index] {
			taken[next.index] = true
			waiting = append(waiting, next)
		}
	}
	return waiting
}

func (h *Holder) requeueAll(o *object, waiting []retry) {
	for _, r := range slices.Backward(waiting) {
		o.retries.pushFront(r)
	}
}

// placeAll holds a place for each task, and gives them all up if one is missing.
func (h *Holder) placeAll(now time.Time, o *object, waiting []retry) bool {
	need := o.spec.Work().Resources
	held := make([]*placement.Node, 0, len(waiting))
	for range waiting {
		n := h.bestNode(o, need)
		if n == nil {
			break
		}
		n.Reserve(need)
		held = append(held, n)
	}
	for _, n := range held {
		n.Release(need)
	}
	if len(held) < len(waiting) {
		return false
	}
	for i, n := range held {
		h.placeTask(now, o, waiting[i], h.workers[n.Name()])
	}
	return true
}

// recordGangWait notes why a gang waits. One that has waited long stops smaller work
// of its own and lower priorities from overtaking it, so that room gathers.
func (h *Holder) recordGangWait(r *planPass, t *team, o *object, waiting int) {
	all := o.spec.Work().Resources.Times(waiting)
	if !t.reserved.Plus(all).Fits(t.quota) {
		o.reason = fmt.Sprintf("team %s has not enough of its quota of this shard free for all tasks together", t.spec.Name)
		return
	}
	if !h.fitsWithoutJobs(r.now, o, waiting) {
		o.reason = "the workers that the shard has now could not hold all its tasks together beside its services"
		return
	}
	o.reason = "the shard has not room for all its tasks together"
	if r.now.Sub(o.waitingSince) >= h.settings.GangOvertakeTimeout {
		r.closedRank = min(r.closedRank, o.spec.Work().Priority.Rank())
		o.reason += "; smaller work no longer overtakes it"
	}
}

// fitsWithoutJobs says whether so many tasks of o would fit if all jobs had ended. A gang
// that could not must not hold others up.
func (h *Holder) fitsWithoutJobs(now time.Time, o *object, waiting int) bool {
	need := o.spec.Work().Resources
	for _, w := range h.sortedWorkers {
		if !h.canStart(now, w) {
			continue
		}
		room := w.node.Capacity()
		for _, t := range w.tasks {
			if t.object == nil || t.object.spec.Kind() == ledger.KindService {
				room = room.Minus(t.resources)
			}
		}
		for ; need.Fits(room) && waiting > 0; waiting-- {
			room = room.Minus(need)
		}
	}
	return waiting <= 0
}
