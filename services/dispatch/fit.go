// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"saddlevane/models/resource"
	"saddlevane/services/learned"
	"saddlevane/services/slots"
)

// allocation is how many tasks of a step a worker has room for, or gets.
type allocation = slots.Allocation[*worker]

// candidate is a worker with room for some tasks of a step, and what speaks
// against it, in this order.
type candidate struct {
	allocation
	// failed is 1 if a task of the step has failed on the worker.
	failed int
	// far is 1 if the worker is not near the step's data.
	offRack int
	// slowness is how slow the worker is, as far as that matters to the step.
	slowness learned.Slowness
	// kept is 1 if the last pass kept its room for another step, unticketed if a
	// start there has to wait for a ticket.
	heldForOther, unticketed int
	// left is what is free of its processors.
	freeProcessors resource.Millis
}

// fit chooses workers for a step's waiting tasks, and returns for how many of them
// they have room: those on which none of its tasks has failed first, then those near
// its data, then those that are not slow, then those whose room no step of higher rank
// waits for, then those whose tickets are valid, then the fullest that have room, so
// that large holes stay whole.
func (h *holderState) fit(now time.Time, s *step, suited []*worker) ([]allocation, int) {
	open := h.candidates(now, s, suited)
	slices.SortFunc(open, candidate.compare)
	shares := make([]allocation, len(open))
	for i, c := range open {
		shares[i] = c.allocation
	}
	if s.spec.OneRack && s.spec.Gang {
		if together, ok := slots.FillInOneGroup(shares, s.unplacedTasks, func(w *worker) string { return w.Rack }); ok {
			return together, s.unplacedTasks
		}
	}
	return slots.FillInOrder(shares, h.placeable(s))
}

// candidates returns the workers that have room for a step. Avoided ones take no
// gang; to a step that is not short, slow ones are as good as others.
func (h *holderState) candidates(now time.Time, s *step, suited []*worker) []candidate {
	open := make([]candidate, 0, len(suited))
	short := h.expectedTime(s) <= maxShortStep
	for _, w := range suited {
		if !h.canUse(w, s, short) {
			continue
		}
		n := w.slots(s, w.available())
		if n == 0 {
			continue
		}
		c := s.candidate(now, w, n)
		c.slowness = h.slownessOf(now, w)
		if c.slowness == learned.Avoided && s.spec.Gang {
			continue
		}
		if c.slowness == learned.Slow && !short {
			c.slowness = learned.Normal
		}
		open = append(open, c)
	}
	return open
}

// canUse says whether a step may use a worker: one that is drained for a gang takes
// short steps only besides, and one with a suspect no suspected gang.
func (h *holderState) canUse(w *worker, s *step, short bool) bool {
	return (w.drainedFor == nil || w.drainedFor == s || short) && !(w.suspectAttempts > 0 && h.isSuspectedGang(s))
}

// candidate returns what speaks against a worker that has room for n tasks.
func (s *step) candidate(now time.Time, w *worker, n int) candidate {
	c := candidate{allocation: allocation{Worker: w, Tasks: n}, offRack: s.offRack(w), freeProcessors: w.available().Processors}
	if s.failedOn[w] {
		c.failed = 1
	}
	if w.prevHeldFor != nil && w.prevHeldFor != s {
		c.heldForOther = 1
	}
	if _, valid := s.advice.TicketFor(now, w); !valid && s.advice.knownCount() > 0 {
		c.unticketed = 1
	}
	return c
}

// compare orders candidates by what speaks against them. The names come last, so
// that the same candidates always have the same order.
func (c candidate) compare(o candidate) int {
	return cmp.Or(
		cmp.Compare(c.failed, o.failed), cmp.Compare(c.offRack, o.offRack), cmp.Compare(c.slowness, o.slowness), cmp.Compare(c.heldForOther, o.heldForOther),
		cmp.Compare(c.unticketed, o.unticketed), cmp.Compare(c.freeProcessors, o.freeProcessors), cmp.Compare(c.Worker.Name, o.Worker.Name),
	)
}

// offRack returns 1 if the worker is not near the step's data.
func (s *step) offRack(w *worker) int {
	if s.spec.NearRack == "" || s.spec.NearRack == w.Rack {
		return 0
	}
	return 1
}
