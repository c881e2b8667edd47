// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/modules/ordered"
	"saddlevane/services/advicecalls"
	"saddlevane/services/fairshare"
	"saddlevane/services/ranking"
	"saddlevane/services/tickets"
)

// requestAdvice calls the advice service for a step and some workers. It returns nil if the boxes
// already have as many calls in flight as they should. Calls for late steps are made only through a
// box that has no call in flight.
func (h *holderState) requestAdvice(now time.Time, s *step, q *job.Advice, workers []*worker) *adviceCall {
	callTime := q.BaseTime + time.Duration(len(workers))*q.TimePerWorker
	class := h.callClass(now, s)
	if h.isEnabled(mechanism.DividedAdvice) && callTime > advicecalls.BriefCall && !h.advisers.FairShare.Admit(now, class) {
		return nil
	}
	maxQueueTime := time.Duration(0)
	if !class.Late {
		maxQueueTime = advicecalls.MaxQueueTime
	}
	box, ok := h.advisers.Assign(now, maps.Keys(h.core.members), callTime, maxQueueTime)
	if !ok {
		h.advisers.FairShare.RecordDeferral(now, class)
		return nil
	}
	h.advisers.FairShare.RecordCall(now, class, callTime)
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
	h.advisers.CallTimeByQueue[s.job.queue] += callTime
	h.core.emit(exchange.Advise{
		Box: box, Address: address, Epoch: h.epoch, Number: c.number, Step: s.id, Workers: names,
		Expected: c.due.Sub(now), Timeout: c.due.Sub(now) + adviceTimeoutMargin,
	})
	return c
}

// callClass returns the class in which a step's calls compete with others.
func (h *holderState) callClass(now time.Time, s *step) fairshare.CallClass {
	return fairshare.CallClass{Queue: s.job.queue, Late: h.rank(now, s).Tier != ranking.OnTime}
}

// requestEarlyAdvice requests advice for the first steps of a job while the job is being appended
// to the log.
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

// requestEarlyStepAdvice requests advice for a step that is not open yet. The pass may be older
// than now.
func (h *holderState) requestEarlyStepAdvice(p *pass, now time.Time, r rankedStep) {
	candidates := h.workersFor(p, r.step, r.queue.Pool).workers
	if r.step.spec.Gang {
		h.widenCandidates(now, r, candidates, false)
		return
	}
	h.requestAdviceForUnplacedTasks(now, r, candidates)
}

// earlyPassLifetime is how long the pass for newly submitted jobs is reused.
const earlyPassLifetime = 10 * time.Millisecond

// earlyPass returns the pass, with its view of the workers, for jobs that are submitted at now.
func (h *holderState) earlyPass(now time.Time) *pass {
	if h.submitPass == nil || now.Sub(h.submitPass.now) > earlyPassLifetime {
		h.submitPass = newPass(now)
	}
	return h.submitPass
}

// unaskedByFreeCapacity returns up to n candidates whose suitability for the step is neither known nor
// requested, those with the most available processors first.
func (s *step) unaskedByFreeCapacity(candidates []*worker, n int) []*worker {
	unasked := func(yield func(*worker) bool) {
		for _, w := range candidates {
			if !s.advice.IsKnownOrPending(w) && !yield(w) {
				return
			}
		}
	}
	return ordered.First(unasked, n, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.available().Processors, a.available().Processors), cmp.Compare(a.Name, b.Name))
	})
}

// requestAdviceOn requests advice on some workers, in as many calls as necessary. It returns false
// if no call was made.
func (h *holderState) requestAdviceOn(now time.Time, r rankedStep, workers []*worker) bool {
	s := r.step
	if now.Before(s.advice.retryAt) {
		return false
	}
	requested := false
	for chunk := range slices.Chunk(workers, advicecalls.MaxWorkersPerCall) {
		if h.requestAdvice(now, s, r.queue.Advice, chunk) == nil {
			break
		}
		requested = true
	}
	return requested
}

// requestAdviceForUnplacedTasks requests advice on as many candidates as should have capacity for the
// step's unplaced tasks, leaving out those whose suitability is known or already requested. It names
// candidates with capacity first; if few have capacity, it names some more, which may have capacity soon. It
// returns false if no call was made.
func (h *holderState) requestAdviceForUnplacedTasks(now time.Time, r rankedStep, candidates []*worker) bool {
	s := r.step
	if !h.hasFreeAdviser(now, r) {
		return false
	}
	naming := advicecalls.NewNaming(r.queue.Advice, s.unplacedTasks, s.advice.knownCount(), h.estimates.SuitableShare(r.queue.Name))
	freeSlots := func(w *worker) int { return w.slots(s, w.available()) }
	var named []*worker
	for w, n := range advicecalls.Rotated(s.id.String(), candidates, s.advice.IsKnownOrPending, freeSlots) {
		if naming.IsEnough() {
			break
		}
		named = append(named, w)
		naming.Add(n)
	}
	return h.requestAdviceOn(now, r, named)
}

// requestAdviceForLargeTasks does the same for the workers of a set that is current.
func (h *holderState) requestAdviceForLargeTasks(now time.Time, r rankedStep, set *workerSet) bool {
	if r.step.advice.HasAskedAll(set.listID, slices.Values(set.healthy)) {
		h.hasFreeAdviser(now, r)
		return false
	}
	return h.requestAdviceForUnplacedTasks(now, r, set.workers)
}

// hasFreeAdviser reports whether a box may make a call for a step, and records it if none may.
func (h *holderState) hasFreeAdviser(now time.Time, r rankedStep) bool {
	if h.advisers.HasFreeBox(now, maps.Keys(h.core.members), r.queue.Advice.BaseTime, advicecalls.MaxQueueTime) {
		return true
	}
	h.advisers.FairShare.RecordDeferral(now, h.callClass(now, r.step))
	return false
}

// requestAdviceOnFreeWorkers requests advice on those of the given workers that have capacity for a task
// of the step now. It returns false if no call was made.
func (h *holderState) requestAdviceOnFreeWorkers(now time.Time, r rankedStep, workers []*worker) bool {
	var withRoom []*worker
	for _, w := range workers {
		if w.slots(r.step, w.available()) > 0 {
			withRoom = append(withRoom, w)
		}
	}
	return h.requestAdviceForUnplacedTasks(now, r, withRoom)
}

// refreshTickets requests tickets for allocations and holds their capacity until the answer.
// Tickets that stay valid until after the call are not requested again.
func (h *holderState) refreshTickets(now time.Time, r rankedStep, allocations []allocation) {
	s := r.step
	if len(allocations) == 0 || now.Before(s.advice.retryAt) {
		return
	}
	callTime := r.queue.Advice.BaseTime + time.Duration(len(allocations))*r.queue.Advice.TimePerWorker
	_, stale := s.splitByTicket(now.Add(callTime+tickets.StartMargin), allocations)
	workers := make([]*worker, len(stale))
	for i, a := range stale {
		workers[i] = a.Worker
	}
	if c := h.requestAdvice(now, s, r.queue.Advice, workers); c != nil {
		for _, a := range allocations {
			c.holdCapacity(a.Worker, a.Tasks)
		}
	}
}

// splitByTicket splits allocations into those with a ticket that is valid for a start at now and
// the others.
func (s *step) splitByTicket(now time.Time, allocations []allocation) (valid, stale []allocation) {
	for _, a := range allocations {
		if _, ok := s.advice.TicketFor(now, a.Worker); ok {
			valid = append(valid, a)
		} else {
			stale = append(stale, a)
		}
	}
	return valid, stale
}
