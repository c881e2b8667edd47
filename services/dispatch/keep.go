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
	"saddlevane/services/learned"
)

const (
	// workersPerDrained is one over the share of workers that may be kept until they are
	// empty, unless they are for one gang: their room is idle meanwhile.
	workersPerDrained = 8
	// maxShortStep is how long a step takes at most that may use them.
	maxShortStep = time.Second
)

// usableWorkers returns the workers that a step may use and that are not drained for
// another.
func (h *holderState) usableWorkers(p *pass, r rankedStep) []*worker {
	short := h.expectedTime(r.step) <= maxShortStep
	var open []*worker
	for _, w := range r.eligible(h.workersFor(p, r.step, r.queue.Pool)) {
		if h.canUse(w, r.step, short) && (!r.step.spec.Gang || h.slownessOf(p.now, w) != learned.Avoided) {
			open = append(open, w)
		}
	}
	return open
}

// drainForGang keeps long tasks of lower rank off the workers that could hold a gang once
// they are empty, if not too many are kept like that already.
func (h *holderState) drainForGang(p *pass, s *step, open []*worker) {
	kept, ok := chooseWorkersToDrain(s, open)
	if !ok || !h.isEnabled(mechanism.Draining) || p.drained+len(kept) > max(len(kept), len(h.workers)/workersPerDrained) || p.drained > 0 && len(h.workers) < workersPerDrained {
		return
	}
	p.drained += len(kept)
	for _, w := range kept {
		w.drainedFor = s
	}
}

// largeTaskSlots is one over the share of the largest worker from which a task is large:
// two of them do not fit one worker.
const largeTaskSlots = 2

// isLarge says whether a worker has room for only one of a step's tasks at a time, so
// that they find none while smaller tasks come and go.
func (set *workerSet) isLarge(s *step) bool {
	return set.maxCapacity.FitCount(s.spec.Reserved(), job.MaxTasks) < largeTaskSlots
}

// drainForLargeTasks keeps other tasks off the workers that will be empty first, one for each
// waiting task of a step, if not too many are kept already.
func (h *holderState) drainForLargeTasks(p *pass, r rankedStep) {
	if !h.isEnabled(mechanism.Draining) {
		return
	}
	s := r.step
	open := h.usableWorkers(p, r)
	emptyIn := make(map[*worker]time.Duration, len(open))
	for _, w := range open {
		emptyIn[w] = h.timeUntilEmpty(p.now, w)
	}
	slices.SortStableFunc(open, func(a, b *worker) int {
		return cmp.Or(ordered.TrueFirst(a.prevDrainedFor == s, b.prevDrainedFor == s), cmp.Compare(emptyIn[a], emptyIn[b]))
	})
	for _, w := range open[:min(s.unplacedTasks, len(open))] {
		if p.drained >= max(1, len(h.workers)/workersPerDrained) {
			return
		}
		if w.drainedFor == nil && w.slots(s, w.Capacity) > 0 {
			w.drainedFor = s
			p.drained++
		}
	}
}

// timeUntilEmpty returns how long the tasks on a worker will be at work.
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

// unbounded is how long a service takes.
const unbounded = time.Duration(math.MaxInt64)

// chooseWorkersToDrain chooses the workers with most room among those that could hold a
// gang if they were empty.
func chooseWorkersToDrain(s *step, open []*worker) ([]*worker, bool) {
	slices.SortStableFunc(open, func(a, b *worker) int {
		return cmp.Compare(b.slots(s, b.available()), a.slots(s, a.available()))
	})
	placed := 0
	var kept []*worker
	for _, w := range open {
		if placed >= len(s.tasks) {
			break
		}
		placed += w.slots(s, w.Capacity)
		kept = append(kept, w)
	}
	return kept, placed >= len(s.tasks)
}
