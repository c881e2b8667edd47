// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"saddlevane/models/resource"
	"saddlevane/modules/ordered"
	"saddlevane/services/advicecalls"
	"saddlevane/services/ranking"
	"saddlevane/services/reservations"
	"saddlevane/services/slots"
	"saddlevane/services/tickets"
)

// reservation is capacity reserved for a gang that cannot start at once, because it waits for
// tickets or for tasks on that capacity to end.
type reservation struct {
	// allocations are the workers and how many tasks of the gang each is to run.
	allocations []allocation
	// victims are the tasks still to be stopped for the gang. They keep running until the gang's
	// tickets are about to arrive.
	victims []*attempt
	// since is when the capacity was reserved.
	since time.Time
}

const (
	// maxReservationTime is how long a gang may hold a reservation: enough for two advice calls and
	// for tasks to stop.
	maxReservationTime = 3 * time.Second
	// reserveRetryDelay is how long a gang waits after a failed reservation before its next start
	// or reservation.
	reserveRetryDelay = 300 * time.Millisecond
	// reserveSearchDelay is the minimum time between two searches for capacity to reserve for the
	// same gang, because each goes through all eligible workers.
	reserveSearchDelay = 100 * time.Millisecond
	// stopLead is how much earlier than strictly necessary victims are stopped, in addition to the
	// time that stops usually take.
	stopLead = 100 * time.Millisecond
)

// reserve reserves capacity for a waiting gang: capacity that is free, capacity that is about to
// become free and, if that is not enough, capacity of tasks that may be preempted. If all of that
// is still not enough, workers are drained for the gang.
func (h *holderState) reserve(p *pass, r rankedStep) {
	s := r.step
	if p.now.Before(s.nextReserveAt) {
		return
	}
	workers := h.usableWorkers(p, r)
	preemptions := h.preemptionsFor(p, r, workers, len(s.tasks), r.Tier != ranking.Hopeless || p.ampleFreeCapacity)
	if slots.TotalTasks(preemptions) < len(s.tasks) {
		s.nextReserveAt = p.now.Add(reserveSearchDelay)
		h.drainForGang(p, s, workers)
		return
	}
	s.reservation = newReservation(p.now, s, slots.Cheapest(preemptions, len(s.tasks), compareNames))
	h.usage.Add(s.job.workspace, s.spec.Need.Times(len(s.tasks)))
	h.reservations.Begin(p.now, s.id, s.spec.Reserved().Times(len(s.tasks)).Processors)
	h.advanceReservation(p, r)
}

// newReservation reserves the capacity of the given preemptions for all tasks of a gang and marks
// the tasks that are to be stopped for it.
func newReservation(now time.Time, s *step, preemptions []preemption) *reservation {
	res := &reservation{since: now}
	wanted := len(s.tasks)
	for _, p := range preemptions {
		res.allocations = slots.Add(res.allocations, p.Worker, min(wanted, p.Tasks))
		wanted -= p.Tasks
		for _, a := range p.Victims {
			a.markedForStop = true
			res.victims = append(res.victims, a)
		}
	}
	for _, al := range res.allocations {
		capacity := s.spec.Reserved().Times(al.Tasks)
		al.Worker.committed = al.Worker.committed.Plus(capacity)
		al.Worker.gangReservations.Add(s, capacity)
	}
	return res
}

// releaseReservation releases the capacity reserved for a step, if any, and counts the outcome.
func (h *holderState) releaseReservation(now time.Time, s *step, outcome reservations.Outcome) {
	res := s.reservation
	if res == nil {
		return
	}
	for _, al := range res.allocations {
		al.Worker.committed = al.Worker.committed.Minus(s.spec.Reserved().Times(al.Tasks))
		al.Worker.gangReservations.Remove(s)
	}
	for _, a := range res.victims {
		a.markedForStop = false
	}
	s.reservation = nil
	h.usage.Subtract(s.job.workspace, s.spec.Need.Times(len(s.tasks)))
	h.reservations.End(now, s.id, outcome)
	h.planDue = true
}

// advanceReservation moves a gang with a reservation towards its start: it requests the tickets,
// stops the victims once the tickets are about to arrive, and starts the gang when it has all
// tickets and the capacity is free. A failed reservation is released.
func (h *holderState) advanceReservation(p *pass, r rankedStep) {
	s := r.step
	res := s.reservation
	if failure := h.reservationFailure(p.now, s); failure != "" {
		h.failReservation(p.now, s, failure)
		return
	}
	ready, due := h.requestTickets(p.now, r)
	if ready || due.Sub(p.now) <= h.estimates.StopTime()+stopLead {
		h.stopVictims(p, s)
	}
	if ready && len(res.victims) == 0 && h.isReservationFree(s) {
		h.releaseReservation(p.now, s, reservations.Started)
		if s.capReached = h.slotsUnderCap(s) < len(s.tasks); s.capReached {
			// The workspace's cap was lowered after the reservation was made.
			return
		}
		h.startTasks(p.now, s, res.allocations)
	}
}

// failReservation releases a reservation whose gang cannot start with it, and delays the gang.
func (h *holderState) failReservation(now time.Time, s *step, failure reservations.Outcome) {
	h.logReservationFailure(now, s, failure)
	h.releaseReservation(now, s, failure)
	s.delayStart(now.Add(reserveRetryDelay))
}

// reservationFailure returns why the reservation of a step has failed, or "" if it has not.
func (h *holderState) reservationFailure(now time.Time, s *step) reservations.Outcome {
	if !h.isReservationUsable(now, s.reservation, s.spec.Reserved()) {
		return reservations.WorkerUnusable
	}
	if now.Sub(s.reservation.since) <= maxReservationTime {
		return ""
	}
	_, stale := s.splitByTicket(now, s.reservation.allocations)
	switch {
	case h.queueOf(s.job).Advice == nil || len(stale) == 0:
		return reservations.Occupied
	case s.advice.hasCalls():
		return reservations.TicketsNotReceived
	default:
		return reservations.TicketsNotRequested
	}
}

// logReservationFailure logs why a gang releases its reservation without having started.
func (h *holderState) logReservationFailure(now time.Time, s *step, outcome reservations.Outcome) {
	_, stale := s.splitByTicket(now, s.reservation.allocations)
	due := now
	for _, c := range s.advice.calls {
		due = ordered.Later(due, c.due)
	}
	h.core.logEvent("gang reservation released without a start", logField("job", string(s.job.id)), logField("step", s.id.String()),
		logField("reason", string(outcome)),
		logField("tasks", len(s.tasks)), logField("workers", len(s.reservation.allocations)), logField("without_ticket", len(stale)),
		logField("calls", len(s.advice.calls)), logField("tickets_due_in", due.Sub(now).String()), logField("to_stop", len(s.reservation.victims)),
		logField("held_for", now.Sub(s.reservation.since).String()), logField("claim", h.epoch))
}

// isReservationUsable reports whether all workers of a reservation are still schedulable and large
// enough for the tasks allocated to them, which need the given capacity each. A worker's capacity
// may shrink.
func (h *holderState) isReservationUsable(now time.Time, res *reservation, need resource.Vector) bool {
	return !slices.ContainsFunc(res.allocations, func(al allocation) bool {
		return h.workers[al.Worker.Name] != al.Worker || !h.isSchedulable(now, al.Worker) || !need.Times(al.Tasks).Fits(al.Worker.Capacity)
	})
}

// isReservationFree reports whether all capacity reserved for a step is free. Capacity that other
// gangs reserved later on the same workers is not subtracted: a later gang waits there for tasks
// that it has stopped, and if both counted, each gang could wait for the other.
func (h *holderState) isReservationFree(s *step) bool {
	return !slices.ContainsFunc(s.reservation.allocations, func(al allocation) bool {
		free := al.Worker.free.Minus(al.Worker.committed)
		return free.Plus(al.Worker.gangReservations.After(s)).IsNegative()
	})
}

// requestTickets reports whether a gang with a reservation has all its tickets. If not, it requests
// those that are not being requested yet and returns when the last answer is due.
func (h *holderState) requestTickets(now time.Time, r rankedStep) (ready bool, due time.Time) {
	s := r.step
	if r.queue.Advice == nil {
		return true, now
	}
	_, stale := s.splitByTicket(now, s.reservation.allocations)
	if len(stale) == 0 {
		return true, now
	}
	if missing := h.unrequestedWorkers(now, r, len(stale)); len(missing) > 0 && !h.requestTicketsInEqualCalls(now, r, missing) {
		return false, now.Add(maxReservationTime)
	}
	for _, c := range s.advice.calls {
		due = ordered.Later(due, c.due)
	}
	return false, due
}

// unrequestedWorkers returns the workers of a reservation whose tickets are not being requested and
// would have expired when an answer about the given number of workers arrives. All tickets of a
// gang must be valid at the same time, and a call takes about as long as a ticket is valid.
func (h *holderState) unrequestedWorkers(now time.Time, r rankedStep, askedWorkers int) []*worker {
	s := r.step
	callTime := r.queue.Advice.BaseTime + time.Duration(min(askedWorkers, advicecalls.MaxWorkersPerCall))*r.queue.Advice.TimePerWorker
	_, stale := s.splitByTicket(now.Add(callTime+advicecalls.MaxQueueTime+tickets.StartMargin), s.reservation.allocations)
	var missing []*worker
	for _, al := range stale {
		if !s.advice.IsPending(al.Worker) {
			missing = append(missing, al.Worker)
		}
	}
	return missing
}

// requestTicketsInEqualCalls requests tickets in as few calls as possible, all of about the same
// size, so that their answers arrive at about the same time. It returns false if a call could not
// be made. After a failed call it makes no calls until the retry is due, and returns true.
func (h *holderState) requestTicketsInEqualCalls(now time.Time, r rankedStep, workers []*worker) bool {
	if now.Before(r.step.advice.retryAt) {
		return true
	}
	for chunk := range slices.Chunk(workers, advicecalls.EqualCalls(len(workers))) {
		if h.requestAdvice(now, r.step, r.queue.Advice, chunk) == nil {
			return false
		}
	}
	return true
}

// stopVictims stops the tasks that run on capacity reserved for a gang.
func (h *holderState) stopVictims(p *pass, s *step) {
	res := s.reservation
	if len(res.victims) == 0 {
		return
	}
	stopped := 0
	for _, a := range res.victims {
		a.markedForStop = false
		if a.state == attemptRunning && a.worker.attempts[a.runID()] == a {
			h.stopAttempt(p.now, a)
			stopped++
		}
	}
	res.victims = nil
	h.logPreemption(p, s, stopped, len(res.allocations))
}
