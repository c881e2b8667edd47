// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/services/slots"
)

// placeStep starts what it can of a step, or asks for the advice that this
// needs. It returns false if tasks are left for want of room.
func (h *holderState) placeStep(p *pass, r ranked) bool {
	s := r.step
	defer func() { s.advice.goesFirst = false }()
	if r.queue.Pool == "" || s.advice.keepsRoom() {
		return true
	}
	set := h.workersFor(p, s, r.queue.Pool)
	if s.spec.Gang {
		return h.placeGang(p, r, set)
	}
	wanted := h.mayPlace(s)
	if s.capReached = wanted < h.toPlace(s); s.capReached && wanted == 0 {
		return true
	}
	if h.blame.SuspectCount(s.id) > 0 {
		h.tryOut(p, r, set)
		if h.toPlace(s) == 0 {
			return true
		}
	}
	if s.advice.asking() || r.queue.Advice != nil && set.large(s) && h.requestAdviceForRoom(p.now, r, set.workers) {
		// Which workers suit large tasks must be known before one of them is empty, so
		// that it is kept for them.
		return true
	}
	if !s.spec.Reserved().Fits(set.most) {
		return false
	}
	shares, placed := h.fit(p.now, s, r.suited(set))
	if r.queue.Advice != nil {
		if placed == 0 && h.requestMoreAdvice(p.now, r, set.workers) {
			return true
		}
		var stale []share
		shares, stale = s.splitByTicket(p.now, shares)
		h.refreshTickets(p.now, r, stale)
	}
	if len(shares) > 0 {
		h.startShares(p.now, s, shares)
	}
	return placed > 0 && placed == wanted || s.advice.asking()
}

// placeGang starts a gang whole, or not at all.
func (h *holderState) placeGang(p *pass, r ranked, set *workerSet) bool {
	s := r.step
	if h.gangSuspected(s) && !h.mayTry(p.now, s, 0) {
		return true
	}
	if s.reservation != nil {
		h.advance(p, r)
		return true
	}
	if s.capReached = h.capRoom(s) < len(s.tasks); s.capReached {
		return true
	}
	if r.queue.Advice != nil {
		h.widenChoice(p.now, r, set.workers, p.roomy)
	}
	if !s.spec.Reserved().Fits(set.most) {
		return false
	}
	shares, placed := h.fit(p.now, s, r.suited(set))
	if placed < len(s.tasks) {
		return false
	}
	if r.queue.Advice != nil {
		if _, stale := s.splitByTicket(p.now, shares); len(stale) > 0 {
			return false
		}
	}
	h.startShares(p.now, s, shares)
	return true
}

// suited returns the workers of a set that may run the step: all, if its queue needs no
// advice, else those that the advice service named.
func (r ranked) suited(set *workerSet) []*worker {
	if r.queue.Advice == nil {
		return set.workers
	}
	var all []*worker
	for _, w := range r.step.advice.EligibleWorkers() {
		if set.has(w) {
			all = append(all, w)
		}
	}
	return all
}

// startShares starts a step's waiting tasks on the workers chosen.
func (h *holderState) startShares(now time.Time, s *step, shares []share) {
	next := 0
	run := h.nextRunNumber(s)
	for _, sh := range shares {
		ticket, _ := s.advice.TicketFor(now, sh.Worker)
		for range sh.Tasks {
			for s.tasks[next].done || s.tasks[next].attempt != nil || h.waitsSuspected(s, next) {
				next++
			}
			h.startTask(now, s, next, run, sh.Worker, ticket)
		}
	}
	h.core.logEvent("tasks started", logField("job", string(s.job.id)), logField("step", s.id.String()), logField("run", run),
		logField("workers", slots.Format(shares, func(w *worker) string { return w.Name })), logField("still_waiting", s.unplacedTasks), logField("advised", s.advice.told()),
		logField("claim", h.epoch), logField("config", h.core.config.Version), logField("age", now.Sub(s.instance.dueAt).String()),
		logField("slack", h.slack(now, s).String()))
}
