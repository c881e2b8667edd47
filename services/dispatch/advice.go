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

// advice holds what is known about the workers that may run a step, and the pending calls to the
// advice service.
type advice struct {
	tickets.Eligibility[*worker]
	// calls are the calls whose answers the step waits for.
	calls []*adviceCall
	// prioritized is set if capacity was held for the step until its answer came. The step then
	// goes before all others in the next plan.
	prioritized bool
	// retryAt is the earliest time for the next call after a failed one.
	retryAt time.Time
}

// adviceCall is one call to the advice service.
type adviceCall struct {
	number  int64
	step    *step
	box     string
	workers []*worker
	// due is when the answer is expected.
	due time.Time
	// holds is capacity held on workers until the answer comes.
	holds []capacityHold
}

// capacityHold is capacity held on one worker for a step.
type capacityHold struct {
	worker   *worker
	capacity resource.Vector
}

const (
	// adviceTimeoutMargin is added to the expected duration of an advice call to get its timeout.
	// The service continues to process calls whose callers have given up, so a short margin would
	// only make its queue longer.
	adviceTimeoutMargin = 1500 * time.Millisecond
	// adviceRetryDelay is the wait after a failed call.
	adviceRetryDelay = 100 * time.Millisecond
)

// hasCalls reports whether the step waits for an answer.
func (a *advice) hasCalls() bool { return len(a.calls) > 0 }

// knownCount returns the number of workers for which the service has answered whether they may run
// the step.
func (a *advice) knownCount() int {
	n, _ := a.KnownWorkers()
	return n
}

// holdsCapacity reports whether capacity is held for the step until an answer comes.
func (a *advice) holdsCapacity() bool {
	return slices.ContainsFunc(a.calls, func(c *adviceCall) bool { return len(c.holds) > 0 })
}

// addCall records a pending call.
func (a *advice) addCall(c *adviceCall) {
	a.calls = append(a.calls, c)
	a.BeginCall(c.workers)
}

// removeCall records that the answer to a call is no longer awaited.
func (a *advice) removeCall(c *adviceCall) {
	if i := slices.Index(a.calls, c); i >= 0 {
		a.calls = slices.Delete(a.calls, i, i+1)
		a.EndCall(c.workers)
	}
}

// compareNames orders workers by name; two incarnations of one worker compare equal.
func compareNames(a, b *worker) int { return cmp.Compare(a.Name, b.Name) }

// releaseHolds releases the capacity that was held until the call's answer.
func (c *adviceCall) releaseHolds() {
	for _, hold := range c.holds {
		hold.worker.committed = hold.worker.committed.Minus(hold.capacity)
	}
	c.holds = nil
}

// endCall ends the step's wait for a call and releases the capacity held for it.
func (s *step) endCall(c *adviceCall) {
	c.releaseHolds()
	s.advice.removeCall(c)
}

// releaseCapacity releases all capacity held or reserved for a step and ends its calls.
func (h *holderState) releaseCapacity(now time.Time, s *step) {
	h.releaseReservation(now, s, reservations.StepEnded)
	for _, c := range s.advice.calls {
		c.releaseHolds()
	}
	s.advice.calls = nil
	s.advice.EndAllCalls()
}

// holdCapacity holds capacity for tasks of a step on a worker until the call's answer comes.
func (c *adviceCall) holdCapacity(w *worker, tasks int) {
	capacity := c.step.spec.Reserved().Times(tasks)
	w.committed = w.committed.Plus(capacity)
	c.holds = append(c.holds, capacityHold{worker: w, capacity: capacity})
}

// expireAdvice ends the wait for overdue answers, so that the next plan can request advice again.
func (h *holderState) expireAdvice(now time.Time) {
	for c := range h.advisers.Overdue(now) {
		if slices.Contains(c.step.advice.calls, c) {
			c.step.endCall(c)
			h.planDue = true
		}
	}
}

// handleAdvised handles the end of an advice call. An answer that arrives after the step has
// stopped waiting for it is still used.
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

// handleAdviceFailure delays the next call for a step and records the refusal or failure of the box
// that made the call.
func (h *holderState) handleAdviceFailure(now time.Time, s *step, e exchange.Advised) {
	s.advice.retryAt = now.Add(adviceRetryDelay)
	if e.Busy {
		h.advisers.RecordRefusal(now, e.Box)
		return
	}
	h.advisers.RecordFailure(now, e.Box)
	h.core.logEvent("advice call failed", logField("step", s.id.String()), logField("asked_from", e.Box), logField("problem", e.Failure))
}

// recordAdvice records which of the workers in an answer are eligible for a step, and their
// tickets. The share of suitable workers is learned only from workers that were asked about for the
// first time.
func (h *holderState) recordAdvice(now time.Time, c *adviceCall, e exchange.Advised) {
	s := c.step
	a := &s.advice
	a.RecordAnswer()
	firstAsked := map[*worker]bool{}
	// The answer applies to the incarnations of the workers at the time of the call; a worker that
	// has restarted since is skipped.
	asked := map[string]*worker{}
	for _, w := range c.workers {
		if _, known := a.IsEligible(w); !known {
			firstAsked[w] = true
		}
		if h.currentWorker(w.Incarnation) == w {
			// A worker that no longer gets a ticket is marked as not eligible and not asked about
			// again.
			a.SetEligible(w, false, compareNames)
			asked[w.Name] = w
		}
	}
	suitable := 0
	validity := time.Duration(0)
	if q := h.queueOf(s.job); q.Advice != nil {
		validity = q.Advice.TicketLifetime
	}
	for _, t := range e.Tickets {
		if w := asked[t.Worker]; w != nil {
			a.SetEligible(w, true, compareNames)
			if firstAsked[w] {
				suitable++
			}
			a.SetTicket(w, t.Ticket, now.Add(validity))
		}
	}
	h.estimates.ObserveAdvice(s.job.queue, len(firstAsked), suitable)
}
