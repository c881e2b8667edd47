// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/resource"
	"saddlevane/services/reservations"
	"saddlevane/services/tickets"
)

// advice is what is known of the workers that may run a step.
type advice struct {
	tickets.Eligibility[*worker]
	// calls are those whose answers the step waits for.
	calls []*adviceCall
	// prioritized says that room was kept for the step until now, so that it goes
	// before all others in the next plan.
	prioritized bool
	// retryAt delays the next call after one that failed.
	retryAt time.Time
}

// adviceCall is one call to the advice service.
type adviceCall struct {
	number  int64
	step    *step
	box     string
	workers []*worker
	// due is when the answer should come.
	due time.Time
	// promises is room kept on workers until it does.
	holds []capacityHold
}

// capacityHold is room kept on one worker for a step.
type capacityHold struct {
	worker   *worker
	capacity resource.Vector
}

const (
	// adviceTimeoutMargin is added to the time that a call for advice should take before
	// it is given up. The service goes on with calls that were given up, so that
	// a short margin only makes its queue longer.
	adviceTimeoutMargin = 1500 * time.Millisecond
	// adviceRetryDelay delays a call after one that failed.
	adviceRetryDelay = 100 * time.Millisecond
)

// hasCalls says whether the step waits for an answer.
func (a *advice) hasCalls() bool { return len(a.calls) > 0 }

// knownCount counts the workers of which the service has told.
func (a *advice) knownCount() int {
	n, _ := a.KnownWorkers()
	return n
}

// holdsCapacity says whether room is kept for the step until an answer comes.
func (a *advice) holdsCapacity() bool {
	return slices.ContainsFunc(a.calls, func(c *adviceCall) bool { return len(c.holds) > 0 })
}

// addCall notes a call that names some workers.
func (a *advice) addCall(c *adviceCall) {
	a.calls = append(a.calls, c)
	a.BeginCall(c.workers)
}

// removeCall notes that the answer to a call is not waited for any more.
func (a *advice) removeCall(c *adviceCall) {
	if i := slices.Index(a.calls, c); i >= 0 {
		a.calls = slices.Delete(a.calls, i, i+1)
		a.EndCall(c.workers)
	}
}

// compareNames orders workers by their names: lives of one worker are equal.
func compareNames(a, b *worker) int { return cmp.Compare(a.Name, b.Name) }

// releaseHolds gives back the room that was kept until a call's answer.
func (c *adviceCall) releaseHolds() {
	for _, p := range c.holds {
		p.worker.committed = p.worker.committed.Minus(p.capacity)
	}
	c.holds = nil
}

// endCall ends the step's wait for one call.
func (s *step) endCall(c *adviceCall) {
	c.releaseHolds()
	s.advice.removeCall(c)
}

// releaseCapacity gives back all room that was kept for a step.
func (h *holderState) releaseCapacity(now time.Time, s *step) {
	h.releaseReservation(now, s, reservations.StepEnded)
	for _, c := range s.advice.calls {
		c.releaseHolds()
	}
	s.advice.calls = nil
	s.advice.EndAllCalls()
}

// holdCapacity keeps room for tasks of a step on a worker until a call's answer comes.
func (c *adviceCall) holdCapacity(w *worker, tasks int) {
	room := c.step.spec.Reserved().Times(tasks)
	w.committed = w.committed.Plus(room)
	c.holds = append(c.holds, capacityHold{worker: w, capacity: room})
}

// expireAdvice has steps asked about anew whose answers are overdue.
func (h *holderState) expireAdvice(now time.Time) {
	for c := range h.advisers.Overdue(now) {
		if slices.Contains(c.step.advice.calls, c) {
			c.step.endCall(c)
			h.planDue = true
		}
	}
}

// handleAdvised takes the end of a call. An answer that was given up still counts.
func (h *holderState) handleAdvised(now time.Time, e exchange.Advised) {
	if e.Epoch != h.epoch {
		return
	}
	c, known := h.advisers.End(e.Box, e.Number)
	if !known {
		return
	}
	s := c.step
	s.advice.prioritized = s.advice.prioritized || len(c.holds) > 0
	s.endCall(c)
	h.planDue = true
	if s.job.state.IsFinal() {
		return
	}
	if e.Busy || e.Failure != "" {
		h.handleAdviceFailure(now, s, e)
		return
	}
	h.recordAdvice(now, c, e)
}

// handleAdviceFailure delays the next call for a step and spares the box that failed.
func (h *holderState) handleAdviceFailure(now time.Time, s *step, e exchange.Advised) {
	s.advice.retryAt = now.Add(adviceRetryDelay)
	if e.Busy {
		h.advisers.RecordRefusal(now, e.Box)
		return
	}
	h.advisers.RecordFailure(now, e.Box)
	h.core.logEvent("advice failed", logField("step", s.id.String()), logField("asked_from", e.Box), logField("problem", e.Failure))
}

// recordAdvice keeps which of the workers asked about suit a step, and their
// tickets. How many suit is learned from those asked about for the first time.
func (h *holderState) recordAdvice(now time.Time, c *adviceCall, e exchange.Advised) {
	s := c.step
	a := &s.advice
	a.RecordAnswer()
	fresh := map[*worker]bool{}
	// An answer holds for the lives that were asked about.
	asked := map[string]*worker{}
	for _, w := range c.workers {
		if _, known := a.IsEligible(w); !known {
			fresh[w] = true
		}
		if h.currentWorker(w.Incarnation) == w {
			// A worker that gets no ticket any more is not asked about again.
			a.SetEligible(w, false, compareNames)
			asked[w.Name] = w
		}
	}
	good := 0
	valid := time.Duration(0)
	if q := h.queueOf(s.job); q.Advice != nil {
		valid = q.Advice.TicketLifetime
	}
	for _, t := range e.Tickets {
		if w := asked[t.Worker]; w != nil {
			a.SetEligible(w, true, compareNames)
			if fresh[w] {
				good++
			}
			a.SetTicket(w, t.Ticket, now.Add(valid))
		}
	}
	h.history.ObserveAdvice(s.job.queue, len(fresh), good)
}
