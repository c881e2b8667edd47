// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// drainedShare is one over the share of workers that may be kept until they are
	// empty, unless they are for one gang: their room is idle meanwhile.
	drainedShare = 8
	// shortStep is how long a step takes at most that may use them.
	shortStep = time.Second
)

// openWorkers returns the workers that a step may use and that are not drained for
// another.
func (h *holding) openWorkers(p *pass, r ranked) []*worker {
	short := h.expect(r.step) <= shortStep
	var open []*worker
	for _, w := range r.suited(h.workersFor(p, r.step, r.queue.Pool).workers) {
		if w.openTo(r.step, short) && (!r.step.spec.Gang || h.slownessOf(p.now, w) != avoided) {
			open = append(open, w)
		}
	}
	return open
}

// drain keeps long tasks of lower rank off the workers that could hold a gang once
// they are empty, if not too many are kept like that already.
func (h *holding) drain(p *pass, s *step, open []*worker) {
	kept, ok := keepEmptied(s, open)
	if !ok || p.drained+len(kept) > max(len(kept), len(h.workers)/drainedShare) || p.drained > 0 && len(h.workers) < drainedShare {
		return
	}
	p.drained += len(kept)
	for _, w := range kept {
		w.drainedFor = s
	}
}

// keepEmptied chooses the workers with most room among those that could hold a
// gang if they were empty.
func keepEmptied(s *step, open []*worker) ([]*worker, bool) {
	slices.SortStableFunc(open, func(a, b *worker) int {
		return cmp.Compare(b.slots(s, b.room()), a.slots(s, a.room()))
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
