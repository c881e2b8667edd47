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
	shares []share
	// victims are tasks that are still to be stopped for it. They work on as long
	// as the tickets are not about to come.
	victims []*attempt
	// since is when the room was reserved.
	since time.Time
}

const (
	// gangsReserving is how many gangs may reserve room at a time, and one more may
	// for each workersPerGang workers: most of that room is idle.
	gangsReserving = 3
	workersPerGang = 25
	// reservationMost is how long room is reserved for one gang: two calls for
	// advice and what a stop takes.
	reservationMost = 3 * time.Second
	// reserveAgain delays the next reservation of a gang whose last one came to
	// nothing.
	reserveAgain = 300 * time.Millisecond
	// lookAgain is the least time between two looks for room to reserve for one gang: each
	// goes through all workers that suit.
	lookAgain = 100 * time.Millisecond
	// stopLead is how much earlier tasks are stopped than their room is needed,
	// besides the time that stops usually take.
	stopLead = 100 * time.Millisecond
)

// mayReserve says whether one more gang may reserve room.
func (h *holderState) mayReserve() bool {
	return h.reservations.Len() < gangsReserving+len(h.workers)/workersPerGang
}

// reserve keeps room for a waiting gang: what is free, what is ending and, where
// that is not enough, what tasks take that may give way to it. If all of that would
// not do, workers are drained for it.
func (h *holderState) reserve(p *pass, r ranked) {
	s := r.step
	if p.now.Before(s.nextReserveAt) {
		return
	}
	open := h.openWorkers(p, r)
	gains := h.gainsFor(p, r, open, len(s.tasks), r.Tier != ranking.Hopeless || p.roomy)
	if slots.TotalTasks(gains) < len(s.tasks) {
		s.nextReserveAt = p.now.Add(lookAgain)
		h.drain(p, s, open)
		return
	}
	s.reservation = newReservation(p.now, s, slots.Cheapest(gains, len(s.tasks), byName))
	h.usage.Add(s.job.workspace, s.spec.Need.Times(len(s.tasks)))
	h.reservations.Begin(p.now, s.id, s.spec.Reserved().Times(len(s.tasks)).Processors)
	h.advance(p, r)
}

// newReservation keeps the room that gains give for all tasks of a gang, and marks
// the tasks that are to be stopped for it.
func newReservation(now time.Time, s *step, gains []gain) *reservation {
	res := &reservation{since: now}
	wanted := len(s.tasks)
	for _, g := range gains {
		res.add(g.Worker, min(wanted, g.Tasks))
		wanted -= g.Tasks
		for _, a := range g.Victims {
			a.markedForStop = true
			res.victims = append(res.victims, a)
		}
	}
	for _, sh := range res.shares {
		room := s.spec.Reserved().Times(sh.Tasks)
		sh.Worker.committed = sh.Worker.committed.Plus(room)
		sh.Worker.gangReservations = append(sh.Worker.gangReservations, keptRoom{step: s, room: room})
	}
	return res
}

// add reserves room for some more tasks on a worker.
func (res *reservation) add(w *worker, tasks int) {
	if i := slices.IndexFunc(res.shares, func(sh share) bool { return sh.Worker == w }); i >= 0 {
		res.shares[i].Tasks += tasks
		return
	}
	res.shares = append(res.shares, share{Worker: w, Tasks: tasks})
}

// unreserve gives back the room reserved for a step, if any is.
func (h *holderState) unreserve(now time.Time, s *step, o reservations.Outcome) {
	res := s.reservation
	if res == nil {
		return
	}
	for _, sh := range res.shares {
		sh.Worker.committed = sh.Worker.committed.Minus(s.spec.Reserved().Times(sh.Tasks))
		sh.Worker.gangReservations = slices.DeleteFunc(sh.Worker.gangReservations, func(k keptRoom) bool { return k.step == s })
	}
	for _, a := range res.victims {
		a.markedForStop = false
	}
	s.reservation = nil
	h.usage.Subtract(s.job.workspace, s.spec.Need.Times(len(s.tasks)))
	h.reservations.End(now, s.id, o)
	h.planDue = true
}

// advance brings a gang with reserved room nearer to its start: it asks for
// tickets, stops what is in the way once they are about to come, and starts the
// gang when both are there.
func (h *holderState) advance(p *pass, r ranked) {
	s := r.step
	res := s.reservation
	if failed := h.failure(p.now, s); failed != "" {
		h.noteFailed(p.now, s, failed)
		h.unreserve(p.now, s, failed)
		s.delayStart(p.now.Add(reserveAgain))
		return
	}
	ready, due := h.ticketsFor(p.now, r)
	if ready || due.Sub(p.now) <= h.history.StopTime()+stopLead {
		h.stopVictims(p, s)
	}
	if ready && len(res.victims) == 0 && h.isFree(s) {
		h.unreserve(p.now, s, reservations.Started)
		if s.capReached = h.capRoom(s) < len(s.tasks); s.capReached {
			// The cap has fallen since.
			return
		}
		h.startShares(p.now, s, res.shares)
	}
}

// failure returns why the reservation of a step comes to nothing, or "".
func (h *holderState) failure(now time.Time, s *step) reservations.Outcome {
	if !h.usable(now, s.reservation, s.spec.Reserved()) {
		return reservations.WorkerUnusable
	}
	if now.Sub(s.reservation.since) <= reservationMost {
		return ""
	}
	_, stale := s.splitByTicket(now, s.reservation.shares)
	switch {
	case h.queueOf(s.job).Advice == nil || len(stale) == 0:
		return reservations.Occupied
	case s.advice.asking():
		return reservations.TicketsNotReceived
	default:
		return reservations.TicketsNotRequested
	}
}

// noteFailed says why a gang gives room back without having started.
func (h *holderState) noteFailed(now time.Time, s *step, why reservations.Outcome) {
	_, stale := s.splitByTicket(now, s.reservation.shares)
	due := now
	for _, c := range s.advice.calls {
		due = ordered.Later(due, c.due)
	}
	h.core.logEvent("a gang gives room back", logField("job", string(s.job.id)), logField("step", s.id.String()), logField("reason", string(why)),
		logField("tasks", len(s.tasks)), logField("workers", len(s.reservation.shares)), logField("without_ticket", len(stale)),
		logField("calls", len(s.advice.calls)), logField("tickets_due_in", due.Sub(now).String()), logField("to_stop", len(s.reservation.victims)),
		logField("held_for", now.Sub(s.reservation.since).String()), logField("claim", h.epoch))
}

// usable says whether all workers of a reservation still take tasks, and could hold those
// that need some room each: room may shrink.
func (h *holderState) usable(now time.Time, res *reservation, need resource.Vector) bool {
	return !slices.ContainsFunc(res.shares, func(sh share) bool {
		return h.workers[sh.Worker.Name] != sh.Worker || !h.isSchedulable(now, sh.Worker) || !need.Times(sh.Tasks).Fits(sh.Worker.Capacity)
	})
}

// isFree says whether all room reserved for a step is there. Room that was reserved
// later on the same worker takes nothing from it: the later gang waits for tasks that it
// has stopped, and each could wait for the other.
func (h *holderState) isFree(s *step) bool {
	return !slices.ContainsFunc(s.reservation.shares, func(sh share) bool {
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
	first := slices.IndexFunc(w.gangReservations, func(k keptRoom) bool { return k.step == s })
	for _, k := range w.gangReservations[first+1:] {
		all = append(all, k.room)
	}
	return all
}

// keptRoom is room on a worker that is reserved for a gang.
type keptRoom struct {
	step *step
	room resource.Vector
}

// ticketsFor says whether a gang with reserved room has all its tickets, or when
// those should come that are being asked for.
func (h *holderState) ticketsFor(now time.Time, r ranked) (ready bool, due time.Time) {
	s := r.step
	if r.queue.Advice == nil {
		return true, now
	}
	_, stale := s.splitByTicket(now, s.reservation.shares)
	if len(stale) == 0 {
		return true, now
	}
	if missing := h.notAwaited(now, r, len(stale)); len(missing) > 0 && !h.askTogether(now, r, missing) {
		return false, now.Add(reservationMost)
	}
	for _, c := range s.advice.calls {
		due = ordered.Later(due, c.due)
	}
	return false, due
}

// notAwaited returns the workers of a reservation whose tickets are not being asked for
// and would have run out when the answers about some workers come: all tickets of a gang
// must hold at one time, and a call takes about as long as one holds.
func (h *holderState) notAwaited(now time.Time, r ranked, asked int) []*worker {
	s := r.step
	takes := r.queue.Advice.Base + time.Duration(min(asked, advisers.MaxWorkersPerCall))*r.queue.Advice.Each
	_, stale := s.splitByTicket(now.Add(takes+advisers.MaxQueueTime+tickets.StartMargin), s.reservation.shares)
	var missing []*worker
	for _, sh := range stale {
		if !s.advice.IsPending(sh.Worker) {
			missing = append(missing, sh.Worker)
		}
	}
	return missing
}

// askTogether calls for tickets in as many calls of one size as it takes, so that their
// answers come at about the same time. It returns false if not all could be made.
func (h *holderState) askTogether(now time.Time, r ranked, workers []*worker) bool {
	if now.Before(r.step.advice.askAgain) {
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
	h.noteStopped(p, s, stopped, len(res.shares))
}
