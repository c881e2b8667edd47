// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"saddlevane/models/resource"
	"saddlevane/modules/ordered"
	"saddlevane/services/advisers"
	"saddlevane/services/ranking"
	"saddlevane/services/reservations"
	"saddlevane/services/slots"
	"saddlevane/services/tickets"
)

// reservation is room kept for a gang that cannot start at once: until its tickets
// have come, and until what is in its place has ended.
type reservation struct {
	// shares say where the room is.
	allocations []allocation
	// victims are tasks that are still to be stopped for it. They work on as long
	// as the tickets are not about to come.
	victims []*attempt
	// since is when the room was reserved.
	since time.Time
}

const (
	// baseReservingGangs is how many gangs may reserve room at a time, and one more may
	// for each workersPerReservingGang workers: most of that room is idle.
	baseReservingGangs      = 3
	workersPerReservingGang = 25
	// maxReservationTime is how long room is reserved for one gang: two calls for
	// advice and what a stop takes.
	maxReservationTime = 3 * time.Second
	// reserveRetryDelay delays the next reservation of a gang whose last one came to
	// nothing.
	reserveRetryDelay = 300 * time.Millisecond
	// reserveSearchDelay is the least time between two looks for room to reserve for one gang: each
	// goes through all workers that suit.
	reserveSearchDelay = 100 * time.Millisecond
	// stopLead is how much earlier tasks are stopped than their room is needed,
	// besides the time that stops usually take.
	stopLead = 100 * time.Millisecond
)

// canReserve says whether one more gang may reserve room.
func (h *holderState) canReserve() bool {
	return h.reservations.Len() < baseReservingGangs+len(h.workers)/workersPerReservingGang
}

// reserve keeps room for a waiting gang: what is free, what is ending and, where
// that is not enough, what tasks take that may give way to it. If all of that would
// not do, workers are drained for it.
func (h *holderState) reserve(p *pass, r rankedStep) {
	s := r.step
	if p.now.Before(s.nextReserveAt) {
		return
	}
	open := h.usableWorkers(p, r)
	gains := h.preemptionsFor(p, r, open, len(s.tasks), r.Tier != ranking.Hopeless || p.ampleRoom)
	if slots.TotalTasks(gains) < len(s.tasks) {
		s.nextReserveAt = p.now.Add(reserveSearchDelay)
		h.drainForGang(p, s, open)
		return
	}
	s.reservation = newReservation(p.now, s, slots.Cheapest(gains, len(s.tasks), compareNames))
	h.usage.Add(s.job.workspace, s.spec.Need.Times(len(s.tasks)))
	h.reservations.Begin(p.now, s.id, s.spec.Reserved().Times(len(s.tasks)).Processors)
	h.advanceReservation(p, r)
}

// newReservation keeps the room that gains give for all tasks of a gang, and marks
// the tasks that are to be stopped for it.
func newReservation(now time.Time, s *step, gains []preemption) *reservation {
	res := &reservation{since: now}
	wanted := len(s.tasks)
	for _, g := range gains {
		res.addTasks(g.Worker, min(wanted, g.Tasks))
		wanted -= g.Tasks
		for _, a := range g.Victims {
			a.markedForStop = true
			res.victims = append(res.victims, a)
		}
	}
	for _, sh := range res.allocations {
		room := s.spec.Reserved().Times(sh.Tasks)
		sh.Worker.committed = sh.Worker.committed.Plus(room)
		sh.Worker.gangReservations = append(sh.Worker.gangReservations, gangReservation{step: s, capacity: room})
	}
	return res
}

// addTasks reserves room for some more tasks on a worker.
func (res *reservation) addTasks(w *worker, tasks int) {
	if i := slices.IndexFunc(res.allocations, func(sh allocation) bool { return sh.Worker == w }); i >= 0 {
		res.allocations[i].Tasks += tasks
		return
	}
	res.allocations = append(res.allocations, allocation{Worker: w, Tasks: tasks})
}

// releaseReservation gives back the room reserved for a step, if any is.
func (h *holderState) releaseReservation(now time.Time, s *step, o reservations.Outcome) {
	res := s.reservation
	if res == nil {
		return
	}
	for _, sh := range res.allocations {
		sh.Worker.committed = sh.Worker.committed.Minus(s.spec.Reserved().Times(sh.Tasks))
		sh.Worker.gangReservations = slices.DeleteFunc(sh.Worker.gangReservations, func(k gangReservation) bool { return k.step == s })
	}
	for _, a := range res.victims {
		a.markedForStop = false
	}
	s.reservation = nil
	h.usage.Subtract(s.job.workspace, s.spec.Need.Times(len(s.tasks)))
	h.reservations.End(now, s.id, o)
	h.planDue = true
}

// advanceReservation brings a gang with reserved room nearer to its start: it asks for
// tickets, stops what is in the way once they are about to come, and starts the
// gang when both are there.
func (h *holderState) advanceReservation(p *pass, r rankedStep) {
	s := r.step
	res := s.reservation
	if failed := h.reservationFailure(p.now, s); failed != "" {
		h.logReservationFailure(p.now, s, failed)
		h.releaseReservation(p.now, s, failed)
		s.delayStart(p.now.Add(reserveRetryDelay))
		return
	}
	ready, due := h.requestTickets(p.now, r)
	if ready || due.Sub(p.now) <= h.history.StopTime()+stopLead {
		h.stopVictims(p, s)
	}
	if ready && len(res.victims) == 0 && h.isReservationFree(s) {
		h.releaseReservation(p.now, s, reservations.Started)
		if s.capReached = h.slotsUnderCap(s) < len(s.tasks); s.capReached {
			// The cap has fallen since.
			return
		}
		h.startTasks(p.now, s, res.allocations)
	}
}

// reservationFailure returns why the reservation of a step comes to nothing, or "".
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

// logReservationFailure says why a gang gives room back without having started.
func (h *holderState) logReservationFailure(now time.Time, s *step, why reservations.Outcome) {
	_, stale := s.splitByTicket(now, s.reservation.allocations)
	due := now
	for _, c := range s.advice.calls {
		due = ordered.Later(due, c.due)
	}
	h.core.logEvent("a gang gives room back", logField("job", string(s.job.id)), logField("step", s.id.String()), logField("reason", string(why)),
		logField("tasks", len(s.tasks)), logField("workers", len(s.reservation.allocations)), logField("without_ticket", len(stale)),
		logField("calls", len(s.advice.calls)), logField("tickets_due_in", due.Sub(now).String()), logField("to_stop", len(s.reservation.victims)),
		logField("held_for", now.Sub(s.reservation.since).String()), logField("claim", h.epoch))
}

// isReservationUsable says whether all workers of a reservation still take tasks, and could hold those
// that need some room each: room may shrink.
func (h *holderState) isReservationUsable(now time.Time, res *reservation, need resource.Vector) bool {
	return !slices.ContainsFunc(res.allocations, func(sh allocation) bool {
		return h.workers[sh.Worker.Name] != sh.Worker || !h.isSchedulable(now, sh.Worker) || !need.Times(sh.Tasks).Fits(sh.Worker.Capacity)
	})
}

// isReservationFree says whether all room reserved for a step is there. Room that was reserved
// later on the same worker takes nothing from it: the later gang waits for tasks that it
// has stopped, and each could wait for the other.
func (h *holderState) isReservationFree(s *step) bool {
	return !slices.ContainsFunc(s.reservation.allocations, func(sh allocation) bool {
		room := sh.Worker.free.Minus(sh.Worker.committed)
		for _, later := range sh.Worker.reservedAfter(s) {
			room = room.Plus(later)
		}
		return room.IsNegative()
	})
}

// reservedAfter returns what is reserved on a worker for gangs later than for a step.
func (w *worker) reservedAfter(s *step) []resource.Vector {
	var all []resource.Vector
	first := slices.IndexFunc(w.gangReservations, func(k gangReservation) bool { return k.step == s })
	for _, k := range w.gangReservations[first+1:] {
		all = append(all, k.capacity)
	}
	return all
}

// gangReservation is room on a worker that is reserved for a gang.
type gangReservation struct {
	step     *step
	capacity resource.Vector
}

// requestTickets says whether a gang with reserved room has all its tickets, or when
// those should come that are being asked for.
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

// unrequestedWorkers returns the workers of a reservation whose tickets are not being asked for
// and would have run out when the answers about some workers come: all tickets of a gang
// must hold at one time, and a call takes about as long as one holds.
func (h *holderState) unrequestedWorkers(now time.Time, r rankedStep, asked int) []*worker {
	s := r.step
	takes := r.queue.Advice.BaseTime + time.Duration(min(asked, advisers.MaxWorkersPerCall))*r.queue.Advice.TimePerWorker
	_, stale := s.splitByTicket(now.Add(takes+advisers.MaxQueueTime+tickets.StartMargin), s.reservation.allocations)
	var missing []*worker
	for _, sh := range stale {
		if !s.advice.IsPending(sh.Worker) {
			missing = append(missing, sh.Worker)
		}
	}
	return missing
}

// requestTicketsInEqualCalls calls for tickets in as many calls of one size as it takes, so that their
// answers come at about the same time. It returns false if not all could be made.
func (h *holderState) requestTicketsInEqualCalls(now time.Time, r rankedStep, workers []*worker) bool {
	if now.Before(r.step.advice.retryAt) {
		return true
	}
	calls := (len(workers) + advisers.MaxWorkersPerCall - 1) / advisers.MaxWorkersPerCall
	for chunk := range slices.Chunk(workers, (len(workers)+calls-1)/calls) {
		if h.requestAdvice(now, r.step, r.queue.Advice, chunk) == nil {
			return false
		}
	}
	return true
}

// stopVictims stops the tasks that are in the place of a gang.
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
