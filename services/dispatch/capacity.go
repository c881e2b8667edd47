// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"

	"saddlevane/models/job"
	"saddlevane/models/resource"
)

// workerSetKey identifies the workers that a step may use, without regard to advice.
type workerSetKey struct{ pool, label string }

// workerSet holds the schedulable workers for one key, as they were when the pass first needed
// them.
type workerSet struct {
	workers []*worker
	// byIndex holds each worker of the set at its nameIndex; other entries are nil.
	byIndex []*worker
	// maxAvailable and maxCapacity are the maxima of the workers' available and total capacity, for
	// each resource separately.
	maxAvailable, maxCapacity resource.Vector
}

// workersFor returns the schedulable workers of a pool that have the step's label, without regard
// to advice.
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

// contains reports whether a worker is in the set.
func (set *workerSet) contains(w *worker) bool {
	return w.nameIndex < len(set.byIndex) && set.byIndex[w.nameIndex] == w
}

// available returns a worker's free capacity that is neither committed to calls and reservations
// nor held in this pass.
func (w *worker) available() resource.Vector { return w.free.Minus(w.committed).Minus(w.heldInPass) }

// availableAfterStops returns a worker's available capacity once all attempts that are being
// stopped have ended.
func (w *worker) availableAfterStops() resource.Vector {
	capacity := w.available()
	for _, a := range w.attempts {
		if a.state == attemptStopping {
			capacity = capacity.Plus(a.step.spec.Reserved())
		}
	}
	return capacity
}

// hold sets aside capacity for tasks of a step until the pass ends.
func (w *worker) hold(s *step, tasks int) {
	w.heldInPass = w.heldInPass.Plus(s.spec.Reserved().Times(tasks))
	w.heldFor = s
}

// slots returns how many more tasks of a step fit on a worker with the given available capacity.
func (w *worker) slots(s *step, available resource.Vector) int {
	n := available.FitCount(s.spec.Reserved(), job.MaxTasks)
	if s.spec.PerWorker > 0 {
		running := 0
		for _, a := range w.attempts {
			if a.step == s {
				running++
			}
		}
		n = min(n, s.spec.PerWorker-running)
	}
	return max(0, n)
}
