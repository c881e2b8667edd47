// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"

	"saddlevane/models/job"
	"saddlevane/models/resource"
)

// workerSetKey is what decides which workers a step may use, advice aside.
type workerSetKey struct{ pool, label string }

// workerSet is the workers for one key, as they were when the pass began.
type workerSet struct {
	workers []*worker
	// at has each of them at its place in the order of all workers.
	byIndex []*worker
	// most bounds the room of each of them in each resource, largest their capacity.
	maxAvailable, maxCapacity resource.Vector
}

// workersFor returns the workers that may run a step, advice aside.
func (h *holderState) workersFor(p *pass, s *step, pool string) *workerSet {
	key := workerSetKey{pool, s.spec.Label}
	if set := p.sets[key]; set != nil {
		return set
	}
	all := h.workersByName()
	set := &workerSet{byIndex: make([]*worker, len(all))}
	for i, w := range all {
		if w.Pool != pool || !h.isSchedulable(p.now, w) || s.spec.Label != "" && !slices.Contains(w.Labels, s.spec.Label) {
			continue
		}
		set.workers = append(set.workers, w)
		set.byIndex[i] = w
		set.maxAvailable = set.maxAvailable.Max(w.available())
		set.maxCapacity = set.maxCapacity.Max(w.Capacity)
	}
	p.sets[key] = set
	return set
}

// contains says whether a worker is one of the set.
func (set *workerSet) contains(w *worker) bool {
	return w.nameIndex < len(set.byIndex) && set.byIndex[w.nameIndex] == w
}

// available returns what is free on a worker and neither promised nor held.
func (w *worker) available() resource.Vector { return w.free.Minus(w.committed).Minus(w.heldInPass) }

// availableAfterStops returns what is free on a worker once all that is being stopped has ended.
func (w *worker) availableAfterStops() resource.Vector {
	room := w.available()
	for _, a := range w.attempts {
		if a.state == attemptStopping {
			room = room.Plus(a.step.spec.Reserved())
		}
	}
	return room
}

// hold keeps room for tasks of a step until the pass ends.
func (w *worker) hold(s *step, tasks int) {
	w.heldInPass = w.heldInPass.Plus(s.spec.Reserved().Times(tasks))
	w.heldFor = s
}

// slots returns how many more tasks of a step a worker has room for.
func (w *worker) slots(s *step, room resource.Vector) int {
	n := room.FitCount(s.spec.Reserved(), job.MaxTasks)
	if s.spec.PerWorker > 0 {
		held := 0
		for _, a := range w.attempts {
			if a.step == s {
				held++
			}
		}
		n = min(n, s.spec.PerWorker-held)
	}
	return max(0, n)
}
