// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/modules/ordered"
	"saddlevane/services/advisers"
	"saddlevane/services/ranking"
	"saddlevane/services/tickets"
	"saddlevane/services/turns"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAskedForRoom bounds the workers that a step is asked about at a time because they
	// have room.
	maxAskedForRoom = 60
	// askFactor is for how many times the waiting tasks workers are named.
	askFactor = 1.5
	// minRoomPerWorker is the room, in tasks, that a named worker counts for which has none
	// now.
	minRoomPerWorker = 0.3
)

// requestAdvice calls for advice on some workers. It returns nil if the boxes have as many
// calls under way as they should. What is late anyway waits until a box has none.
func (h *holderState) requestAdvice(now time.Time, s *step, q *job.Advice, workers []*worker) *adviceCall {
	takes := q.BaseTime + time.Duration(len(workers))*q.TimePerWorker
	class := h.callClass(now, s)
	if h.isEnabled(mechanism.DividedAdvice) && takes > advisers.BriefCall && !h.advisers.FairShare.Admit(now, class) {
		return nil
	}
	patience := time.Duration(0)
	if !class.Late {
		patience = advisers.MaxQueueTime
	}
	box, ok := h.advisers.Assign(now, maps.Keys(h.core.members), takes, patience)
	if !ok {
		h.advisers.FairShare.RecordDeferral(now, class)
		return nil
	}
	h.advisers.FairShare.RecordCall(now, class, takes)
	names := make([]string, len(workers))
	for i, w := range workers {
		names[i] = w.Name
	}
	c := &adviceCall{step: s, box: box, workers: workers}
	c.number, c.due = h.advisers.Begin(box, c)
	address := ""
	if box != h.core.self.Box {
		address = h.core.members[box].Address
	}
	s.advice.addCall(c)
	h.advisers.CallTimeByQueue[s.job.queue] += takes
	h.core.emit(exchange.Advise{
		Box: box, Address: address, Epoch: h.epoch, Number: c.number, Step: s.id, Workers: names,
		Expected: c.due.Sub(now), Timeout: c.due.Sub(now) + adviceTimeoutMargin,
	})
	return c
}

// callClass returns what a step competes as for calls.
func (h *holderState) callClass(now time.Time, s *step) turns.CallClass {
	return turns.CallClass{Queue: s.job.queue, Late: h.rank(now, s).Tier != ranking.OnTime}
}

// requestEarlyAdvice asks for the first steps of a job while the log takes it in.
func (h *holderState) requestEarlyAdvice(now time.Time, j *trackedJob) {
	q := h.queueOf(j)
	if q.Advice == nil || !h.isEnabled(mechanism.EarlyAdvice) {
		return
	}
	p := h.earlyPass(now)
	for _, in := range ordered.Map(j.instances) {
		for _, s := range in.steps {
			if len(s.spec.After) == 0 {
				h.requestEarlyStepAdvice(p, now, rankedStep{step: s, queue: q})
			}
		}
	}
}

// requestEarlyStepAdvice asks for a step that is not open yet. The pass is the look at the
// workers, which may be older than now.
func (h *holderState) requestEarlyStepAdvice(p *pass, now time.Time, r rankedStep) {
	candidates := h.workersFor(p, r.step, r.queue.Pool).workers
	if r.step.spec.Gang {
		h.widenCandidates(now, r, candidates, false)
		return
	}
	h.requestAdviceForRoom(now, r, candidates)
}

// earlyPassLifetime is how long jobs that are handed in share one look at the workers.
const earlyPassLifetime = 10 * time.Millisecond

// earlyPass returns the look at the workers for jobs that are handed in now.
func (h *holderState) earlyPass(now time.Time) *pass {
	if h.submitPass == nil || now.Sub(h.submitPass.now) > earlyPassLifetime {
		h.submitPass = newPass(now)
	}
	return h.submitPass
}

// unaskedByRoom returns the candidates about which nothing is known for a step and nobody
// is asked, those with most room first.
func (s *step) unaskedByRoom(candidates []*worker) []*worker {
	var all []*worker
	for _, w := range candidates {
		if !s.advice.IsKnownOrPending(w) {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.available().Processors, a.available().Processors), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// unaskedRotated yields the candidates about which nothing is known for a step and nobody
// is asked, with the room they have for its tasks: those that have some first. It
// begins at a place of the step's own, so that steps which wait at once ask about
// different ones.
func (s *step) unaskedRotated(candidates []*worker) iter.Seq2[*worker, int] {
	return func(yield func(*worker, int) bool) {
		if len(candidates) == 0 {
			return
		}
		start := int(xxhash.Sum64String(s.id.String()) % uint64(len(candidates)))
		var full []*worker
		for i := range candidates {
			w := candidates[(start+i)%len(candidates)]
			if s.advice.IsKnownOrPending(w) {
				continue
			}
			room := w.slots(s, w.available())
			if room == 0 {
				full = append(full, w)
			} else if !yield(w, room) {
				return
			}
		}
		for _, w := range full {
			if !yield(w, 0) {
				return
			}
		}
	}
}

// requestAdviceOn calls for advice on some workers, in as many calls as that takes. It
// returns false if none was made.
func (h *holderState) requestAdviceOn(now time.Time, r rankedStep, workers []*worker) bool {
	s := r.step
	if now.Before(s.advice.retryAt) {
		return false
	}
	asked := false
	for chunk := range slices.Chunk(workers, advisers.MaxWorkersPerCall) {
		if h.requestAdvice(now, s, r.queue.Advice, chunk) == nil {
			break
		}
		asked = true
	}
	return asked
}

// requestAdviceForRoom asks about as many unknown workers as should have room for the waiting
// tasks of a step, those that have some first. Where few have room it names some
// more, which may have it next. It returns false if no call was made.
func (h *holderState) requestAdviceForRoom(now time.Time, r rankedStep, candidates []*worker) bool {
	s := r.step
	if !h.advisers.HasFreeBox(now, maps.Keys(h.core.members), r.queue.Advice.BaseTime, advisers.MaxQueueTime) {
		h.advisers.FairShare.RecordDeferral(now, h.callClass(now, s))
		return false
	}
	missing := askFactor * float64(s.unplacedTasks) / h.history.SuitableShare(r.queue.Name)
	least := advisers.MinWorkersPerCall(r.queue.Advice)
	var named []*worker
	for w, room := range s.unaskedRotated(candidates) {
		if len(named) == maxAskedForRoom || len(named) >= least && missing <= 0 {
			break
		}
		named = append(named, w)
		missing -= max(minRoomPerWorker, float64(room))
	}
	return h.requestAdviceOn(now, r, named)
}

// requestMoreAdvice asks about those of some workers that have room now. It returns false if
// no call was made.
func (h *holderState) requestMoreAdvice(now time.Time, r rankedStep, workers []*worker) bool {
	var open []*worker
	for _, w := range workers {
		if w.slots(r.step, w.available()) > 0 {
			open = append(open, w)
		}
	}
	return h.requestAdviceForRoom(now, r, open)
}

// refreshTickets asks for tickets for shares, and keeps their room until they come.
// Tickets that outlast the call are not asked for again.
func (h *holderState) refreshTickets(now time.Time, r rankedStep, shares []allocation) {
	s := r.step
	if len(shares) == 0 || now.Before(s.advice.retryAt) {
		return
	}
	takes := r.queue.Advice.BaseTime + time.Duration(len(shares))*r.queue.Advice.TimePerWorker
	_, stale := s.splitByTicket(now.Add(takes+tickets.StartMargin), shares)
	workers := make([]*worker, len(stale))
	for i, sh := range stale {
		workers[i] = sh.Worker
	}
	if c := h.requestAdvice(now, s, r.queue.Advice, workers); c != nil {
		for _, sh := range shares {
			c.holdCapacity(sh.Worker, sh.Tasks)
		}
	}
}

// splitByTicket splits shares into those whose tickets a start could use now and the
// others.
func (s *step) splitByTicket(now time.Time, shares []allocation) (valid, stale []allocation) {
	for _, sh := range shares {
		if _, ok := s.advice.TicketFor(now, sh.Worker); ok {
			valid = append(valid, sh)
		} else {
			stale = append(stale, sh)
		}
	}
	return valid, stale
}
