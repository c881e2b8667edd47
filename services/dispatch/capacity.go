// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/services/tickets"
)

// workerSetKey identifies the workers that a step may use, without regard to advice.
type workerSetKey struct{ pool, label string }

// matches reports whether a worker belongs to the pool and has the label.
func (k workerSetKey) matches(w *worker) bool {
	return w.Pool == k.pool && (k.label == "" || slices.Contains(w.Labels, k.label))
}

// workerSet holds the schedulable workers for one key, as they were when the pass first needed
// them.
type workerSet struct {
	key     workerSetKey
	workers []*worker
	// healthy are the healthy workers for the key, of which workers are a part, and listID
	// identifies them.
	healthy []*worker
	listID  tickets.ListID
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
	healthy := h.healthyWorkers(key)
	set := &workerSet{key: key, workers: healthy, healthy: healthy, listID: tickets.ListID{Key: key, Version: h.healthChanges}}
	isUnusable := func(w *worker) bool { return w.isKeptForSuspect() || h.hasOverdueStart(p.now, w) }
	if slices.ContainsFunc(set.workers, isUnusable) {
		set.workers = slices.DeleteFunc(slices.Clone(set.workers), isUnusable)
	}
	for _, w := range set.workers {
		set.maxAvailable = set.maxAvailable.Max(w.available())
		set.maxCapacity = set.maxCapacity.Max(w.Capacity)
	}
	p.sets[key] = set
	return set
}

// contains reports whether a worker is in the set.
func (set *workerSet) contains(w *worker) bool {
	return w.healthy && !w.isKeptForSuspect() && set.key.matches(w)
}

// healthyWorkers returns the healthy workers for a key, sorted by name. They are kept between passes,
// since a worker's health changes far less often than its free capacity.
func (h *holderState) healthyWorkers(key workerSetKey) []*worker {
	if all, known := h.healthyByKey[key]; known {
		return all
	}
	all := []*worker{}
	for _, w := range h.workersByName() {
		if w.healthy && key.matches(w) {
			all = append(all, w)
		}
	}
	h.healthyByKey[key] = all
	return all
}

// refreshHealth updates whether a worker is healthy. It is called after each event that concerns the
// worker, and for all workers at each sweep, since health also changes with time.
func (h *holderState) refreshHealth(now time.Time, w *worker) {
	if healthy := h.isHealthy(now, w); healthy != w.healthy {
		w.healthy = healthy
		h.forgetHealthy()
	}
}

// forgetHealthy forgets the cached lists of healthy workers.
func (h *holderState) forgetHealthy() {
	h.healthChanges++
	clear(h.healthyByKey)
}

// refreshHealthOf updates whether the worker of a name is healthy, if there is one.
func (h *holderState) refreshHealthOf(now time.Time, name string) {
	if w := h.workers[name]; w != nil {
		h.refreshHealth(now, w)
	}
}

// refreshAllHealth updates whether the workers are healthy.
func (h *holderState) refreshAllHealth(now time.Time) {
	for _, w := range h.workersByName() {
		h.refreshHealth(now, w)
	}
}

// available returns a worker's free capacity that is neither committed to calls and reservations
// nor held in this pass.
func (w *worker) available() resource.Vector { return w.free.Minus(w.committed).Minus(w.heldInPass) }

// availableAfterStops returns a worker's available capacity once all attempts that are being
// stopped have ended.
func (w *worker) availableAfterStops() resource.Vector { return w.available().Plus(w.stopping) }

// addStopping records that an attempt of the worker is being stopped.
func (w *worker) addStopping(a *attempt) {
	w.stopping = w.stopping.Plus(a.step.spec.Reserved())
	w.stoppingCount++
}

// hold sets aside capacity of a worker for tasks of a step until the pass ends.
func (h *holderState) hold(w *worker, s *step, tasks int) {
	h.markPlanned(w)
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
