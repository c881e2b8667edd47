// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/modules/ordered"
	"saddlevane/services/slots"
)

const (
	// workersPerDrained limits draining to one in this many workers, because drained capacity is
	// idle meanwhile. A single gang may exceed the limit.
	workersPerDrained = 8
	// maxShortStep is the expected run time up to which a step counts as short. Short steps may use
	// drained workers.
	maxShortStep = time.Second
)

// usableWorkers returns the eligible workers that a step may use.
func (h *holderState) usableWorkers(p *pass, r rankedStep) []*worker {
	short := h.expectedTime(r.step) <= maxShortStep
	var workers []*worker
	for _, w := range r.eligibleWorkers(h.workersFor(p, r.step, r.queue.Pool)) {
		if h.canUse(p.now, w, r.step, short) {
			workers = append(workers, w)
		}
	}
	return workers
}

// drainForGang drains workers that can hold a gang once they are empty: long tasks of lower rank
// are kept off them. It does nothing if too many workers would be drained.
func (h *holderState) drainForGang(p *pass, s *step, workers []*worker) {
	chosen, ok := slots.ChooseToEmpty(workers, len(s.tasks),
		func(w *worker) int { return w.slots(s, w.available()) }, func(w *worker) int { return w.slots(s, w.Capacity) })
	if !ok || !h.isEnabled(mechanism.Draining) || p.drained+len(chosen) > max(len(chosen), len(h.workers)/workersPerDrained) ||
		p.drained > 0 && len(h.workers) < workersPerDrained {
		return
	}
	p.drained += len(chosen)
	for _, w := range chosen {
		h.markPlanned(w)
		w.drainedFor = s
	}
}

// largeTaskSlots is the number of slots below which a task is large: two large tasks do not fit on
// the largest worker.
const largeTaskSlots = 2

// isLarge reports whether each worker of the set has capacity for at most one of a step's tasks at a
// time. Smaller tasks use the capacity that becomes free before it is enough for such a task.
func (set *workerSet) isLarge(s *step) bool {
	return set.maxCapacity.FitCount(s.spec.Reserved(), job.MaxTasks) < largeTaskSlots
}

// drainForLargeTasks drains the workers that will be empty first, one for each waiting task of a
// step, as long as not too many workers are drained. Workers that were drained for the step in the
// previous pass are preferred.
func (h *holderState) drainForLargeTasks(p *pass, r rankedStep) {
	if !h.isEnabled(mechanism.Draining) {
		return
	}
	s := r.step
	workers := h.usableWorkers(p, r)
	emptyIn := make(map[*worker]time.Duration, len(workers))
	for _, w := range workers {
		emptyIn[w] = h.timeUntilEmpty(p.now, w)
	}
	slices.SortStableFunc(workers, func(a, b *worker) int {
		return cmp.Or(ordered.TrueFirst(a.prevDrainedFor == s, b.prevDrainedFor == s), cmp.Compare(emptyIn[a], emptyIn[b]))
	})
	for _, w := range workers[:min(s.unplacedTasks, len(workers))] {
		if p.drained >= max(1, len(h.workers)/workersPerDrained) {
			return
		}
		if w.drainedFor == nil && w.slots(s, w.Capacity) > 0 {
			h.markPlanned(w)
			w.drainedFor = s
			p.drained++
		}
	}
}

// timeUntilEmpty returns when the last task on a worker is expected to end, counted from now.
func (h *holderState) timeUntilEmpty(now time.Time, w *worker) time.Duration {
	longest := time.Duration(0)
	for _, a := range w.attempts {
		if a.step.spec.Service {
			return unbounded
		}
		longest = max(longest, h.remainingRunTime(now, a))
	}
	return longest
}

// unbounded is the remaining run time of a service, which has no end.
const unbounded = time.Duration(math.MaxInt64)
