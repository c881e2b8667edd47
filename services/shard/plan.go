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

// Policy holds the placement parameters that vary between deployments and are compared with
// baselines.
type Policy struct {
	// BatchWeights score places for jobs and gangs, and for services that do not spread.
	BatchWeights placement.Weights
	// ServiceWeights score places for services that spread.
	ServiceWeights placement.Weights
	// SpreadPenalty is added to a place's score for each task of the same service on the
	// worker or in the rack that the service's tasks should not share.
	SpreadPenalty float64
}

// DefaultPolicy returns the policy that gave the best results in measurements.
func DefaultPolicy() Policy {
	return Policy{BatchWeights: placement.DefaultWeights(), ServiceWeights: placement.DefaultWeights(), SpreadPenalty: 10}
}

// maxTasksPerTurn is how many tasks of one object are placed before the shares of the teams
// are compared again.
const maxTasksPerTurn = 16

// maxBlockedObjects is how many blocked objects of one team may be skipped to place smaller
// tasks behind them.
const maxBlockedObjects = 64

// planPass is the state of one run of plan.
type planPass struct {
	now         time.Time
	remaining   int
	unplaceable []resource.Vector
	// closedRank is the rank of the highest priority with a gang that has waited for
	// GangOvertakeTimeout. Objects of this or a lower priority may no longer overtake the gang.
	closedRank int
}

// plan places waiting tasks, ordered by priority, then by the teams' shares relative to
// their weights, then by age. Smaller tasks may overtake tasks that do not fit.
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

// planRank places the waiting tasks of one rank of priority.
func (h *Holder) planRank(r *planPass, rank int) {
	skipped := map[*team]int{}
	for r.remaining > 0 {
		t := h.leastServedTeam(rank, skipped)
		if t == nil {
			return
		}
		o := t.queues[rank][skipped[t]]
		if placed := h.planObject(r, t, o); placed < maxTasksPerTurn {
			skipped[t]++
		}
		if r.closedRank <= rank {
			return
		}
	}
}

// leastServedTeam returns the team with waiting objects of the rank whose share is smallest
// relative to its weight, or nil.
func (h *Holder) leastServedTeam(rank int, skipped map[*team]int) *team {
	var best *team
	minShare := 0.0
	for _, t := range h.teams {
		if at := skipped[t]; at >= len(t.queues[rank]) || at >= maxBlockedObjects {
			continue
		}
		share := t.reserved.DominantShare(h.total.capacity) / t.spec.Weight
		if best == nil || share < minShare || (share == minShare && t.spec.Name < best.spec.Name) {
			best, minShare = t, share
		}
	}
	return best
}

// pruneQueues removes objects that have nothing waiting from the queues.
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

// planObject places up to maxTasksPerTurn tasks of o, or a whole gang, and returns how many
// it placed.
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

// holdReason returns why no task of o may start now, regardless of free capacity, or "".
func (h *Holder) holdReason(now time.Time, o *object) string {
	switch {
	case h.maybeSuperseded:
		return "another entry box has held leases of the shard's workers, and the log does not show yet whether it is the holder now"
	case h.phase != Active && o.spec.ID().Born <= h.claimRevision:
		return "this entry box is taking the shard over and has not read yet which tasks run"
	case h.phase != Active && !h.excludesLaterHolder(now):
		return "this entry box is taking the shard over and has not read yet whether another one is the holder now"
	case now.Before(o.notBefore):
		return o.reason
	case o.isPastDeadline(now):
		return "its deadline has passed, so none of its tasks is started any more"
	case !o.spec.Repeatable() && (h.journal.Full() || h.journal.FailureReason() != ""):
		return "the log cannot be written, and the start of a task that may not be repeated must be recorded first"
	default:
		return ""
	}
}

// excludesLaterHolder reports whether no later holder can have started a task: it would need
// the lease of every worker first, and this holder has had one of them since before it last
// read the log to the end.
func (h *Holder) excludesLaterHolder(now time.Time) bool {
	return slices.ContainsFunc(h.sortedWorkers, func(w *workerState) bool {
		return w.holdsLease(now) && h.logEndReadAt.After(w.leaseSince)
	})
}

// isPastDeadline reports whether o is a job whose deadline has passed.
func (o *object) isPastDeadline(now time.Time) bool {
	b := o.spec.Batch()
	return b != nil && !b.Deadline.IsZero() && now.After(b.Deadline.Time)
}

// findWorker returns a worker for one task of o. If there is none, it returns nil and sets
// the reason in o, and for urgent objects it preempts other tasks.
func (h *Holder) findWorker(r *planPass, t *team, o *object) *workerState {
	need := o.spec.Work().Resources
	if !t.reserved.Plus(need).Fits(t.quota) {
		o.reason = fmt.Sprintf("team %s has used its quota in this shard", t.spec.Name)
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

// noCapacityReason returns the reason of a task for whose need no worker has the capacity.
func noCapacityReason(need resource.Vector) string {
	return fmt.Sprintf("no single worker of the shard has %s processors, %s of memory and %d accelerators free",
		need.Processors, need.Memory, need.Accelerators)
}

// isUnplaceable reports whether no place was found earlier in this pass for the same or a
// smaller need.
func (r *planPass) isUnplaceable(need resource.Vector) bool {
	for _, f := range r.unplaceable {
		if f.Fits(need) {
			return true
		}
	}
	return false
}

// bestNode returns the best place for one task of o, or nil. Tasks without accelerators use
// workers with accelerators only if no other worker fits.
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

// countNeighbours counts tasks of o on the same worker as n or, if o spreads over racks, in
// the same rack.
func (o *object) countNeighbours(n *placement.Node, s spec.Spread) int {
	if s == spec.SpreadRack {
		// Counting the worker too prefers workers without a task of o within a rack.
		return o.onRack[n.Rack()] + o.onWorker[n.Name()]
	}
	return o.onWorker[n.Name()]
}

// planGang places all tasks of a gang or none. It returns how many it placed.
func (h *Holder) planGang(r *planPass, t *team, o *object) int {
	if o.active > 0 {
		o.reason = "other tasks of the gang have not stopped yet"
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

// popAllWaiting removes all tasks of a gang that may start now and returns them, each once:
// a task queued for a retry may also still be found as never started.
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

// requeueAll puts all waiting tasks of a gang back in their order.
func (h *Holder) requeueAll(o *object, waiting []retry) {
	for _, r := range slices.Backward(waiting) {
		o.retries.pushFront(r)
	}
}

// placeAll places all waiting tasks of o. It returns false and places none if a place is
// missing.
func (h *Holder) placeAll(now time.Time, o *object, waiting []retry) bool {
	need := o.spec.Work().Resources
	reserved := make([]*placement.Node, 0, len(waiting))
	for range waiting {
		n := h.bestNode(o, need)
		if n == nil {
			break
		}
		n.Reserve(need)
		reserved = append(reserved, n)
	}
	for _, n := range reserved {
		n.Release(need)
	}
	if len(reserved) < len(waiting) {
		return false
	}
	for i, n := range reserved {
		h.placeTask(now, o, waiting[i], h.workers[n.Name()])
	}
	return true
}

// recordGangWait records why a gang waits. Once a gang has waited for GangOvertakeTimeout,
// objects of the same and lower priorities may no longer overtake it, so that free capacity
// accumulates.
func (h *Holder) recordGangWait(r *planPass, t *team, o *object, waiting int) {
	all := o.spec.Work().Resources.Times(waiting)
	if !t.reserved.Plus(all).Fits(t.quota) {
		o.reason = fmt.Sprintf("team %s has not enough unused quota in this shard for all tasks of the gang", t.spec.Name)
		return
	}
	if !h.fitsWithoutJobs(r.now, o, waiting) {
		o.reason = "the current workers of the shard could not run all tasks of the gang beside the services, even without any jobs"
		return
	}
	o.reason = "the shard has not enough free resources for all tasks of the gang"
	if r.now.Sub(o.waitingSince) >= h.settings.GangOvertakeTimeout {
		r.closedRank = min(r.closedRank, o.spec.Work().Priority.Rank())
		o.reason += "; smaller tasks may no longer overtake it"
	}
}

// fitsWithoutJobs reports whether that many tasks of o would fit if all jobs and gangs had
// ended. A gang that would not fit even then must not block other objects.
func (h *Holder) fitsWithoutJobs(now time.Time, o *object, waiting int) bool {
	need := o.spec.Work().Resources
	for _, w := range h.sortedWorkers {
		if !h.canStart(now, w) {
			continue
		}
		free := w.node.Capacity()
		for _, t := range w.tasks {
			if t.object == nil || t.object.spec.Kind() == ledger.KindService {
				free = free.Minus(t.resources)
			}
		}
		for ; need.Fits(free) && waiting > 0; waiting-- {
			free = free.Minus(need)
		}
	}
	return waiting <= 0
}
