// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
)

// share is some tasks on one worker.
type share struct {
	worker *worker
	tasks  int
}

// fit chooses workers for a step's waiting tasks: those near its data first,
// then the fullest that have room, so that large holes stay whole.
func (h *holding) fit(s *step, suited []*worker) ([]share, int) {
	open := make([]share, 0, len(suited))
	for _, w := range suited {
		if w.blockedBy != nil && w.blockedBy != s {
			continue
		}
		if n := w.slots(s, w.room()); n > 0 {
			open = append(open, share{w, n})
		}
	}
	slices.SortFunc(open, func(a, b share) int {
		return cmp.Or(
			cmp.Compare(s.far(a.worker), s.far(b.worker)),
			cmp.Compare(a.worker.room().Processors, b.worker.room().Processors),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	})
	if s.spec.OneRack && s.spec.Gang {
		if shares, ok := inOneRack(s, open); ok {
			return shares, s.waiting
		}
	}
	return take(open, s.waiting)
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
