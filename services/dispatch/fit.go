// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"saddlevane/models/resource"
)

// share is some tasks on one worker.
type share struct {
	worker *worker
	tasks  int
}

// candidate is a worker with room for some tasks of a step, and what speaks
// against it.
type candidate struct {
	share
	far, kept, unticketed int
	slowness              slowness
	left                  resource.Millis
}

// fit chooses workers for a step's waiting tasks: those near its data first, then
// those that no gang waits for, then those whose tickets are valid, then the
// fullest that have room, so that large holes stay whole. Slow workers come late.
func (h *holding) fit(now time.Time, s *step, suited []*worker) ([]share, int) {
	open := make([]candidate, 0, len(suited))
	short := h.expect(s) <= shortStep
	for _, w := range suited {
		if !w.openTo(s, short) {
			continue
		}
		if n := w.slots(s, w.room()); n > 0 {
			c := s.candidate(now, w, n)
			if c.slowness = h.slownessOf(now, w); c.slowness == avoided && s.spec.Gang {
				continue
			} else if c.slowness == slow && !short {
				c.slowness = usual
			}
			open = append(open, c)
		}
	}
	slices.SortFunc(open, candidate.compare)
	shares := make([]share, len(open))
	for i, c := range open {
		shares[i] = c.share
	}
	if s.spec.OneRack && s.spec.Gang {
		if together, ok := inOneRack(s, shares); ok {
			return together, s.waiting
		}
	}
	return take(shares, s.waiting)
}

// openTo says whether no step of higher rank keeps a worker's room from a step.
func (w *worker) openTo(s *step, short bool) bool {
	return w.drainedFor == nil || w.drainedFor == s || short
}

// candidate returns what speaks against a worker that has room for n tasks.
func (s *step) candidate(now time.Time, w *worker, n int) candidate {
	c := candidate{share: share{w, n}, far: s.far(w), left: w.room().Processors}
	if w.keptFor != nil && w.keptFor != s {
		c.kept = 1
	}
	if _, valid := s.advice.ticketFor(now, w); !valid && s.advice.suits != nil {
		c.unticketed = 1
	}
	return c
}

func (c candidate) compare(o candidate) int {
	return cmp.Or(
		cmp.Compare(c.far, o.far), cmp.Compare(c.slowness, o.slowness), cmp.Compare(c.kept, o.kept),
		cmp.Compare(c.unticketed, o.unticketed), cmp.Compare(c.left, o.left), cmp.Compare(c.worker.ID, o.worker.ID),
	)
}

// take takes as many tasks as wanted from the front.
func take(open []share, wanted int) ([]share, int) {
	var taken []share
	placed := 0
	for _, o := range open {
		if placed == wanted {
			break
		}
		n := min(o.tasks, wanted-placed)
		taken = append(taken, share{o.worker, n})
		placed += n
	}
	return taken, placed
}

// inOneRack looks for a rack that has room for the whole gang.
func inOneRack(s *step, open []share) ([]share, bool) {
	racks := map[string][]share{}
	var names []string
	for _, o := range open {
		if racks[o.worker.Rack] == nil {
			names = append(names, o.worker.Rack)
		}
		racks[o.worker.Rack] = append(racks[o.worker.Rack], o)
	}
	slices.Sort(names)
	for _, name := range names {
		if shares, placed := take(racks[name], s.waiting); placed == s.waiting {
			return shares, true
		}
	}
	return nil, false
}

// far returns 1 if the worker is not near the step's data.
func (s *step) far(w *worker) int {
	if s.spec.NearRack == "" || s.spec.NearRack == w.Rack {
		return 0
	}
	return 1
}
