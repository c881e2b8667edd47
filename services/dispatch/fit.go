// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"time"

	"saddlevane/models/resource"
	"saddlevane/services/slots"
	"saddlevane/services/speeds"
)

// allocation is the number of tasks of a step that a worker has capacity for, or is given.
type allocation = slots.Allocation[*worker]

// candidate is a worker with capacity for some tasks of a step, and its sort key. The fields are in the
// order in which they are compared; lower values are better.
type candidate struct {
	allocation
	// failed is 1 if a task of the step has failed on the worker.
	failed int
	// offRack is 1 if the worker is not in the rack of the step's data.
	offRack int
	// speedClass is the class of the worker's speed, or 0 where that does not matter for the step.
	speedClass int
	// heldForOther is 1 if the previous pass held capacity on the worker for another step.
	// unticketed is 1 if a start there has to wait for a ticket.
	heldForOther, unticketed int
	// freeProcessors is the worker's available processor capacity.
	freeProcessors resource.Millis
}

// fit allocates a step's waiting tasks to workers, and returns the allocations and how many tasks
// they hold. It prefers, in this order: workers on which no task of the step has failed, workers in
// the rack of its data, workers on which it ends sooner, workers whose capacity was not held for another
// step in the previous pass, workers with a valid ticket, and the fullest workers that still have
// free capacity, so that large free capacity is preserved for large tasks.
func (h *holderState) fit(now time.Time, s *step, eligible []*worker) ([]allocation, int) {
	candidates := h.candidates(now, s, eligible)
	if s.spec.OneRack && s.spec.Gang {
		sorted := slots.Sorted(candidates, candidate.compare, candidate.slots)
		if inOneRack, ok := slots.FillInOneGroup(sorted, s.unplacedTasks, func(w *worker) string { return w.Rack }); ok {
			return inOneRack, s.unplacedTasks
		}
	}
	filled, n := slots.FillBest(candidates, candidate.compare, candidate.slots, h.placeable(s))
	classOf := func(a allocation) int { return h.speedOf(now, a.Worker).Class() }
	if slowest, mixed := speeds.SlowestClass(filled, classOf); s.spec.Gang && mixed && n == len(s.tasks) {
		// The gang has to wait for its slowest member, so faster workers are left to others.
		candidates = h.candidates(now, s, eligible)
		for i := range candidates {
			candidates[i].speedClass = speeds.GangClass(classOf(candidates[i].allocation), slowest)
		}
		return slots.FillBest(candidates, candidate.compare, candidate.slots, n)
	}
	return filled, n
}

// slots returns the allocation of all tasks that the worker has capacity for.
func (c candidate) slots() allocation { return c.allocation }

// candidates returns the workers that have capacity for a step. The result is valid until the next
// call.
func (h *holderState) candidates(now time.Time, s *step, eligible []*worker) []candidate {
	candidates := h.candidateBuffer[:0]
	short, urgency := h.expectedTime(s) <= maxShortStep, h.urgencyOf(now, s)
	for _, w := range eligible {
		if !h.canUse(now, w, s, short) {
			continue
		}
		n := min(w.slots(s, w.available()), h.startsWithinReport(w))
		if n == 0 {
			continue
		}
		c := s.candidate(now, w, n)
		c.speedClass = urgency.SpeedClass(h.speedOf(now, w))
		candidates = append(candidates, c)
	}
	h.candidateBuffer = candidates
	return candidates
}

// canUse reports whether a step may use a worker. A worker that is drained for another step takes
// only short steps, a worker that runs a suspect takes no suspected gang, and a very slow one no gang.
func (h *holderState) canUse(now time.Time, w *worker, s *step, short bool) bool {
	return (!s.spec.Gang || h.speedOf(now, w).SuitsGang()) && (w.drainedFor == nil || w.drainedFor == s || short) && !(w.suspectAttempts > 0 && h.isSuspectedGang(s))
}

// candidate returns the sort key of a worker that has capacity for n tasks, without the class of its speed.
func (s *step) candidate(now time.Time, w *worker, n int) candidate {
	c := candidate{allocation: allocation{Worker: w, Tasks: n}, freeProcessors: w.available().Processors}
	if s.failedOn[w] {
		c.failed = 1
	}
	if s.spec.NearRack != "" && s.spec.NearRack != w.Rack {
		c.offRack = 1
	}
	if w.prevHeldFor != nil && w.prevHeldFor != s {
		c.heldForOther = 1
	}
	if _, valid := s.advice.TicketFor(now, w); !valid && s.advice.knownCount() > 0 {
		c.unticketed = 1
	}
	return c
}

// compare orders candidates by their fields. The worker name is the last criterion, so that the
// order is deterministic.
func (c candidate) compare(o candidate) int {
	return cmp.Or(
		cmp.Compare(c.failed, o.failed), cmp.Compare(c.offRack, o.offRack), cmp.Compare(c.speedClass, o.speedClass),
		cmp.Compare(c.heldForOther, o.heldForOther),
		cmp.Compare(c.unticketed, o.unticketed), cmp.Compare(c.freeProcessors, o.freeProcessors), cmp.Compare(c.Worker.Name, o.Worker.Name),
	)
}
