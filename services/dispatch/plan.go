// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/resource"
	"saddlevane/services/ranking"
)

// pass is one run of the planner over all open steps.
type pass struct {
	now  time.Time
	sets map[workerSetKey]*workerSet
	// misses counts the steps whose tasks could not all be placed for lack of capacity.
	misses int
	// ampleFreeCapacity is set if much of the workers' capacity is free, so that preempted tasks are placed
	// again at once.
	ampleFreeCapacity bool
	// drained counts the workers that are being drained for a step: until they are empty, they get
	// no new tasks of other steps, except short ones.
	drained int
	// victimRanks caches the ranks of the steps whose tasks may be preempted, because the tasks of
	// one step are on many workers.
	victimRanks map[*step]victimRank
}

// victimRank is the rank and slack of a step whose running tasks may be preempted.
type victimRank struct {
	rankedStep
	slack time.Duration
}

// newPass returns a pass with empty caches.
func newPass(now time.Time) *pass {
	return &pass{now: now, sets: map[workerSetKey]*workerSet{}, victimRanks: map[*step]victimRank{}}
}

// victimRankOf returns the rank and slack of a step whose tasks may be preempted, from the cache of
// the pass if it is there.
func (h *holderState) victimRankOf(p *pass, s *step) victimRank {
	r, ok := p.victimRanks[s]
	if !ok {
		r = victimRank{rankedStep: h.rank(p.now, s), slack: h.slack(p.now, s)}
		r.OverShare = h.shares.IsOver(s.job.workspace, r.Work)
		p.victimRanks[s] = r
	}
	return r
}

// plan places the tasks of the open steps in rank order. Once the number of steps without room
// reaches the miss limit it stops early, unless a full plan is due.
func (h *holderState) plan(now time.Time) {
	h.planCount++
	h.setUnreportedUsage()
	ranked := h.rankOpenSteps(now)
	if len(ranked) == 0 {
		return
	}
	h.beginPass()
	p := newPass(now)
	p.ampleFreeCapacity = h.hasAmpleFreeCapacity
	defer func() { h.hasUnplacedTasks = p.misses > 0 }()
	for _, r := range ranked {
		if p.misses >= h.planBudget.MissLimit() && !h.planBudget.IsFullPlan(h.planCount) {
			return
		}
		if !h.placeStep(p, r) {
			p.misses++
			h.handleUnplaced(p, r)
		}
		if r.step.unplacedTasks > 0 {
			r.step.recordWait(now, r.step.waitCause())
		}
	}
}

// beginPass forgets what the pass before the previous one kept workers for, and makes what the previous
// one kept them for the previous value.
func (h *holderState) beginPass() {
	for _, w := range h.plannedBefore {
		w.prevHeldFor, w.prevDrainedFor = nil, nil
	}
	for _, w := range h.planned {
		w.planned = false
		w.prevHeldFor, w.heldFor, w.heldInPass = w.heldFor, nil, resource.Vector{}
		w.prevDrainedFor, w.drainedFor = w.drainedFor, nil
	}
	h.planned, h.plannedBefore = h.plannedBefore[:0], h.planned
}

// markPlanned notes that the current pass keeps a worker for a step.
func (h *holderState) markPlanned(w *worker) {
	if !w.planned {
		w.planned = true
		h.planned = append(h.planned, w)
	}
}

// ampleFreeCapacityShare is the share of the schedulable workers' processors that must be free for
// h.hasAmpleFreeCapacity to be set.
const ampleFreeCapacityShare = 0.4

// updateCapacity recomputes the total capacity of the schedulable workers and the capacity of the
// largest worker, and reports whether more
// than ampleFreeCapacityShare of their processors is free.
func (h *holderState) updateCapacity() bool {
	var free resource.Vector
	h.capacity, h.largestWorker = resource.Vector{}, resource.Vector{}
	for _, w := range h.workersByName() {
		if w.Capacity.Processors > h.largestWorker.Processors {
			h.largestWorker = w.Capacity
		}
		if w.healthy && !w.isKeptForSuspect() {
			free = free.Plus(w.free)
			h.capacity = h.capacity.Plus(w.Capacity)
		}
	}
	return float64(free.Processors) > ampleFreeCapacityShare*float64(h.capacity.Processors)
}

// handleUnplaced makes room for a step whose tasks could not all be placed. A gang reserves
// capacity unless too many gangs already do. Any other step preempts tasks of lower rank; if that
// is not enough and its tasks are large, workers are drained for it.
func (h *holderState) handleUnplaced(p *pass, r rankedStep) {
	if !r.step.spec.Gang {
		if !h.preemptFor(p, r) && r.Tier == ranking.OnTime && h.workersFor(p, r.step, r.queue.Pool).isLarge(r.step) {
			h.drainForLargeTasks(p, r)
		}
		return
	}
	if p.misses <= maxExplained {
		h.logGangWait(p, r)
	}
	if h.reservations.MayBegin(len(h.workers)) {
		h.reserve(p, r)
	}
}

// maxExplained limits how many of the steps without room, in rank order, may log in one pass why
// they wait.
const maxExplained = 20

// explainInterval is the minimum time between two log lines about the same waiting gang.
const explainInterval = 2 * time.Second

// logGangWait logs why a gang does not start, at most once per explainInterval.
func (h *holderState) logGangWait(p *pass, r rankedStep) {
	s := r.step
	if p.now.Sub(s.explainedAt) < explainInterval {
		return
	}
	s.explainedAt = p.now
	eligible := r.eligibleWorkers(h.workersFor(p, s, r.queue.Pool))
	_, placed := h.fit(p.now, s, eligible)
	h.core.logEvent("gang waits for capacity", logField("job", string(s.job.id)), logField("step", s.id.String()), logField("tasks", len(s.tasks)),
		logField("need", s.spec.Need.Processors.String()), logField("room_for", placed), logField("workers_asked", s.advice.knownCount()),
		logField("workers_suited", len(eligible)), logField("gangs_reserving", h.reservations.Len()), logField("tier", int(r.Tier)),
		logField("slack", h.slack(p.now, s).String()))
}
