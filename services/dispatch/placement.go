// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/services/advicecalls"
	"saddlevane/services/slots"
)

// placeStep starts as many waiting tasks of a step as possible, or requests the advice that is
// needed for that. It returns false if tasks remain unplaced for lack of capacity.
func (h *holderState) placeStep(p *pass, r rankedStep) bool {
	s := r.step
	defer func() { s.advice.prioritized = false }()
	if r.queue.Pool == "" || s.advice.holdsCapacity() {
		return true
	}
	set := h.workersFor(p, s, r.queue.Pool)
	if s.spec.Gang {
		return h.placeGang(p, r, set)
	}
	wanted := h.placeable(s)
	if s.capReached = wanted < h.unsuspectedWaiting(s); s.capReached && wanted == 0 {
		return true
	}
	if h.blame.SuspectCount(s.id) > 0 {
		h.startSuspects(p, r, set)
		if h.unsuspectedWaiting(s) == 0 {
			return true
		}
	}
	if s.advice.hasCalls() {
		return true
	}
	var allocations []allocation
	placed := 0
	if s.spec.Reserved().Fits(set.maxAvailable) {
		allocations, placed = h.fit(p.now, s, r.eligibleWorkers(set))
	}
	if r.queue.Advice != nil {
		if h.requestAdviceOnMoreWorkers(p.now, r, set, placed) && placed == 0 {
			return true
		}
		var stale []allocation
		allocations, stale = s.splitByTicket(p.now, allocations)
		h.refreshTickets(p.now, r, stale)
	}
	if len(allocations) > 0 {
		h.startTasks(p.now, s, allocations)
	}
	return placed > 0 && placed == wanted || s.advice.hasCalls()
}

// requestAdviceOnMoreWorkers requests advice for a step that has capacity for only some of its tasks on the
// workers known to be eligible. It returns false if no call was made.
func (h *holderState) requestAdviceOnMoreWorkers(now time.Time, r rankedStep, set *workerSet, placed int) bool {
	switch {
	case placed == h.placeable(r.step):
		return false
	case set.isLarge(r.step):
		// The workers that are eligible for large tasks must be known before one of them is empty, so
		// that it can be drained for such a task.
		return h.requestAdviceForLargeTasks(now, r, set)
	case placed > 0 && !advicecalls.AreFasterThanStops(r.queue.Advice, h.estimates.StopTime()) || !r.step.spec.Reserved().Fits(set.maxAvailable):
		return false
	default:
		return h.requestAdviceOnFreeWorkers(now, r, set.workers)
	}
}

// awaitsBriefAdvice reports whether a gang waits for advice on workers that have capacity now, which it requests
// if necessary, instead of stopping tasks on the workers that are known.
func (h *holderState) awaitsBriefAdvice(now time.Time, r rankedStep, set *workerSet) bool {
	if r.queue.Advice == nil || !advicecalls.AreFasterThanStops(r.queue.Advice, h.estimates.StopTime()) {
		return false
	}
	return r.step.advice.hasCalls() || h.requestAdviceOnFreeWorkers(now, r, set.workers)
}

// placeGang starts all tasks of a gang or none of them. It returns false if the gang could not
// start for lack of capacity or valid tickets.
func (h *holderState) placeGang(p *pass, r rankedStep, set *workerSet) bool {
	s := r.step
	if h.isSuspectedGang(s) && !h.canStartTrial(p.now, s, 0) {
		return true
	}
	if s.reservation != nil {
		h.advanceReservation(p, r)
		return true
	}
	if s.capReached = h.slotsUnderCap(s) < len(s.tasks); s.capReached {
		return true
	}
	if r.queue.Advice != nil {
		h.widenCandidates(p.now, r, set.workers, p.ampleFreeCapacity)
	}
	if !s.spec.Reserved().Fits(set.maxAvailable) {
		return false
	}
	allocations, placed := h.fit(p.now, s, r.eligibleWorkers(set))
	if placed < len(s.tasks) {
		return h.awaitsBriefAdvice(p.now, r, set)
	}
	if r.queue.Advice != nil {
		if _, stale := s.splitByTicket(p.now, allocations); len(stale) > 0 {
			return false
		}
	}
	h.startTasks(p.now, s, allocations)
	return true
}

// eligibleWorkers returns the workers of a set that may run the step: all of them if its queue needs no
// advice, otherwise those that the advice service named.
func (r rankedStep) eligibleWorkers(set *workerSet) []*worker {
	if r.queue.Advice == nil {
		return set.workers
	}
	var all []*worker
	for _, w := range r.step.advice.EligibleWorkers() {
		if set.contains(w) {
			all = append(all, w)
		}
	}
	return all
}

// startTasks starts waiting tasks of a step on the allocated workers. Suspect tasks are skipped,
// because startSuspects starts them.
func (h *holderState) startTasks(now time.Time, s *step, allocations []allocation) {
	h.checkForecast(now, s.job)
	next := 0
	run := h.nextRunNumber(s)
	for _, al := range allocations {
		ticket, _ := s.advice.TicketFor(now, al.Worker)
		for range al.Tasks {
			for s.tasks[next].done || s.tasks[next].attempt != nil || h.isWaitingSuspect(s, next) {
				next++
			}
			h.startTask(now, s, next, run, al.Worker, ticket)
		}
	}
	h.core.logEvent("tasks started", logField("job", string(s.job.id)), logField("step", s.id.String()), logField("run", run),
		logField("workers", slots.Format(allocations, func(w *worker) string { return w.Name })),
		logField("still_waiting", s.unplacedTasks), logField("advised", s.advice.knownCount()),
		logField("claim", h.epoch), logField("config", h.core.config.Version), logField("age", now.Sub(s.instance.dueAt).String()),
		logField("slack", h.slack(now, s).String()))
}
