// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"saddlevane/models/job"
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
	// adviceCalls is how many calls of one box may wait: the service refuses more
	// than 32 (the users' protocol), and other holders' calls may be among them.
	adviceCalls = 20
	// adviserBad is how long a box is left out after a call through it failed.
	adviserBad = 4 * time.Second
	// adviceAgain delays a call after one that failed.
	adviceAgain = 100 * time.Millisecond
	// firstAsk bounds the workers named in the first call for a step. The
	// objective of a job allows for a call that names 30 (the users' rules).
	firstAsk = 30
	// wholeAsk bounds the workers named in a call whose time hardly depends on
	// their number.
	wholeAsk = 60
	// adviceQueue bounds the calls that wait at one box: the service refuses more
	// than 32 of them, and a ticket that comes late helps nobody.
	adviceQueue = 250 * time.Millisecond
	// adviceBusy is how long a box that the service refused gets no calls.
	adviceBusy = 300 * time.Millisecond
	// shortCall is the longest call for advice that counts as short.
	shortCall = 150 * time.Millisecond
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

// ask calls for advice on some workers. It returns false if the boxes have as
// many calls under way as they should. What is late anyway waits until a box has
// none.
func (h *holding) ask(now time.Time, s *step, q *job.Advice, workers []*worker) bool {
	takes := q.Base + time.Duration(len(workers))*q.Each
	patience := time.Duration(0)
	if h.rank(now, s).tier == onTime {
		patience = adviceQueue + takes
	}
	box, address, ok := h.chooseAdviser(now, takes, patience)
	if !ok {
		return false
	}
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.ID
	}
	s.advice.asking, s.advice.due = true, h.advisers.busyUntil[box]
	h.advisers.began(box, s.id, s.advice.due)
	h.core.do(Advise{
		Box: box, Address: address, Epoch: h.epoch, Step: s.id, Workers: ids,
		Timeout: h.advisers.busyUntil[box].Sub(now) + adviceMargin,
	})
	return true
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
		if w := h.workers[id]; w != nil && !a.suits[w] {
			// Asked about; a ticket that came earlier still counts.
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

// adviseEarly asks for the first steps of a job while the log takes it in.
func (h *holding) adviseEarly(now time.Time, j *submitted) {
	q := h.queueOf(j)
	if q.Advice == nil {
		return
	}
	p := newPass(now)
	for _, in := range ordered.Map(j.instances) {
		for _, s := range in.steps {
			if len(s.spec.After) == 0 {
				h.askUnknown(now, s, q, h.workersFor(p, s, q.Pool).workers)
			}
		}
	}
}

// askUnknown calls for advice on workers of which nothing is known for a step,
// those with most room first. It returns false if there are none to ask about.
func (h *holding) askUnknown(now time.Time, s *step, q job.Queue, candidates []*worker) bool {
	var unknown []*worker
	for _, w := range candidates {
		if _, asked := s.advice.suits[w]; !asked {
			unknown = append(unknown, w)
		}
	}
	if len(unknown) == 0 || s.advice.asking || now.Before(s.advice.askAgain) {
		return false
	}
	slices.SortFunc(unknown, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.room().Processors, a.room().Processors), cmp.Compare(a.ID, b.ID))
	})
	return h.ask(now, s, q.Advice, unknown[:min(len(unknown), h.howMany(s, q))])
}

// howMany returns how many workers the next call for a step should name: enough
// that those which suit have room for its tasks twice over.
func (h *holding) howMany(s *step, q job.Queue) int {
	perWorker := 1
	if c := h.usualCapacity(); s.spec.Need.Processors > 0 {
		perWorker = max(1, int(c.Processors/s.spec.Need.Processors)/2)
	}
	if s.spec.PerWorker > 0 {
		perWorker = min(perWorker, s.spec.PerWorker)
	}
	if s.spec.Gang && q.Advice.Base > shortCall {
		// A second call would cost more than the workers named in this one.
		return wholeAsk
	}
	wanted := (len(s.tasks)+perWorker-1)/perWorker + 1
	return min(firstAsk, max(4, int(float64(wanted)*1.5/h.learned.goodShare(q.Name))))
}

// usualCapacity returns the capacity of the largest worker.
func (h *holding) usualCapacity() resource.Vector {
	most := resource.Vector{}
	for _, w := range h.workers {
		if w.Capacity.Processors > most.Processors {
			most = w.Capacity
		}
	}
	return most
}
