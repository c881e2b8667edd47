// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/resource"
	"saddlevane/modules/ordered"
)

// advice is what is known of the workers that may run a step.
type advice struct {
	// suits says of each worker asked about whether it may.
	suits   map[*worker]bool
	tickets map[*worker]ticket
	asking  bool
	// first says that room was kept for the step until now, so that it goes
	// before all others in the next plan.
	first bool
	// due is when the answer to the last call should come.
	due time.Time
	// askAgain delays the next call after one that failed.
	askAgain time.Time
	// promises is room kept on workers until their tickets come.
	promises []promise
}

// ticket is the advice service's leave to run a step on one worker.
type ticket struct {
	text  string
	until time.Time
}

// promise is room kept on one worker for a step.
type promise struct {
	worker *worker
	room   resource.Vector
}

const (
	// ticketMargin is taken off a ticket's time for the start's way.
	ticketMargin = 120 * time.Millisecond
	// adviceMargin is added to the time that a call for advice should take before
	// it is given up. The service goes on with calls that were given up, so that
	// a short margin only makes its queue longer.
	adviceMargin = 1500 * time.Millisecond
	// adviceOverdue is how late an answer makes its box be passed over, and its
	// step be asked about through another box.
	adviceOverdue = 250 * time.Millisecond
	// adviceAgain delays a call after one that failed.
	adviceAgain = 100 * time.Millisecond
)

func (a *advice) dropTicket(w *worker) { delete(a.tickets, w) }

// ticketFor returns the ticket for a worker that a start now could still use.
func (a *advice) ticketFor(now time.Time, w *worker) (string, bool) {
	t, ok := a.tickets[w]
	return t.text, ok && now.Before(t.until)
}

// releasePromises gives back the room that was kept for a step.
func (h *holding) releasePromises(s *step) {
	for _, p := range s.advice.promises {
		p.worker.promised = p.worker.promised.Minus(p.room)
	}
	s.advice.promises = nil
}

// promise keeps room for tasks of a step on a worker until their tickets come.
func (h *holding) promise(s *step, w *worker, tasks int) {
	room := s.spec.Reserved().Times(tasks)
	w.promised = w.promised.Plus(room)
	s.advice.promises = append(s.advice.promises, promise{worker: w, room: room})
}

// sweepAdvice has steps asked about anew whose answers are overdue.
func (h *holding) sweepAdvice(now time.Time) {
	for _, calls := range ordered.Map(h.advisers.calls) {
		for id, due := range calls {
			if s := h.findStep(id); s != nil && s.advice.asking && s.advice.due == due && now.Sub(due) > adviceOverdue {
				h.releasePromises(s)
				s.advice.asking = false
				h.planDue = true
			}
		}
	}
}

// advised takes the end of a call. An answer that was given up still counts, but
// does not end the wait for a later call.
func (h *holding) advised(now time.Time, e Advised) {
	if e.Epoch != h.epoch {
		return
	}
	due := h.advisers.calls[e.Box][e.Step]
	delete(h.advisers.calls[e.Box], e.Step)
	s := h.findStep(e.Step)
	if s == nil {
		return
	}
	if s.advice.due == due {
		s.advice.first = len(s.advice.promises) > 0
		h.releasePromises(s)
		s.advice.asking = false
	}
	h.planDue = true
	if e.Busy || e.Failed != "" {
		h.notAdvised(now, s, e)
		return
	}
	h.noteAdvice(now, s, e)
}

// notAdvised delays the next call for a step and spares the box that failed.
func (h *holding) notAdvised(now time.Time, s *step, e Advised) {
	s.advice.askAgain = now.Add(adviceAgain)
	if e.Busy {
		h.advisers.busyUntil[e.Box] = maxTime(h.advisers.busyUntil[e.Box], now.Add(adviceBusy))
		return
	}
	if e.Box != h.core.self.Box {
		h.advisers.badUntil[e.Box] = now.Add(adviserBad)
	}
	h.core.note("advice failed", Field{"step", s.id.String()}, Field{"asked_from", e.Box}, Field{"problem", e.Failed})
}

// noteAdvice keeps which of the workers asked about suit a step, and their
// tickets.
func (h *holding) noteAdvice(now time.Time, s *step, e Advised) {
	a := &s.advice
	if a.suits == nil {
		a.suits, a.tickets = map[*worker]bool{}, map[*worker]ticket{}
	}
	for _, id := range e.Asked {
		if w := h.workers[id]; w != nil {
			// A worker that gets no ticket any more is not asked about again.
			a.suits[w] = false
		}
	}
	valid := time.Duration(0)
	if q := h.queueOf(s.job); q.Advice != nil {
		valid = q.Advice.Valid
	}
	for _, t := range e.Good {
		if w := h.workers[t.Worker]; w != nil {
			a.suits[w] = true
			a.tickets[w] = ticket{text: t.Ticket, until: now.Add(valid - ticketMargin)}
		}
	}
	h.learned.advised(s.job.queue, len(e.Asked), len(e.Good))
}
