// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"saddlevane/models/mechanism"
	"saddlevane/models/resource"
	"saddlevane/services/ranking"
	"saddlevane/services/slots"
)

const (
	// minVictimSlack is how much later than now a task that can resume must be able
	// to start again and be on time, to be stopped: a stop, its way through the
	// queue and the work since the last checkpoint take that long.
	minVictimSlack = 2 * time.Second
	// maxRestartableAge is how long a task that cannot resume may have run to be stopped.
	maxRestartableAge = time.Second
	// minPreemptableTime is how long a task takes at most that ends by itself nearly as soon
	// as it could be stopped.
	minPreemptableTime = 2 * time.Second
	// preemptInterval is the least time between two searches for tasks to stop for one
	// step.
	preemptInterval = 300 * time.Millisecond
	// minResumedTime is how long a task that has resumed works at least before it may be
	// stopped again: else what it does between two stops is no more than they lose.
	minResumedTime = 2 * time.Second
	// endsSoonMargin is how much later than a stop would free its room a task may end by
	// itself and be left alone.
	endsSoonMargin = 500 * time.Millisecond
	// maxResumeLoss is the work that a task loses which resumes: that since its last
	// checkpoint, and the time to begin again.
	maxResumeLoss = time.Second
)

// preemption is room for some more tasks of a step on one worker, and the attempts that have to be
// stopped for it.
type preemption = slots.Preemption[*worker, *attempt]

// preemptFor stops tasks that may give way to a step which is no gang, as many as its
// waiting tasks need, if they end soon enough for it to be on time. It returns
// whether that gives room for all of them.
func (h *holderState) preemptFor(p *pass, r rankedStep) bool {
	s := r.step
	if r.Tier != ranking.OnTime || h.slack(p.now, s) < h.history.StopTime() {
		return false
	}
	open := h.usableWorkers(p, r)
	wanted := min(s.unplacedTasks, h.slotsUnderCap(s))
	gains := h.preemptionsFor(p, r, open, wanted, true)
	h.applyPreemptions(p, r, slots.Cheapest(gains, wanted, compareNames), wanted)
	return slots.TotalTasks(gains) >= wanted
}

// preemptionsFor returns what a step could have on some workers: what is free or ending
// there and, if that is not room for the tasks wanted and it may have tasks
// stopped, what can be gained by that.
func (h *holderState) preemptionsFor(p *pass, r rankedStep, open []*worker, wanted int, mayStop bool) []preemption {
	s := r.step
	all := s.capacityWithoutStops(p.now, open)
	if slots.TotalTasks(all) >= wanted || !mayStop || p.now.Sub(s.preemptedAt) < preemptInterval {
		return all
	}
	s.preemptedAt = p.now
	for _, w := range open {
		all = append(all, h.preemptionsOn(p, r, w)...)
	}
	return all
}

// applyPreemptions stops what the chosen gains need, and holds their room for a step until the
// pass ends.
func (h *holderState) applyPreemptions(p *pass, r rankedStep, chosen []preemption, wanted int) {
	stopped := 0
	for _, g := range chosen {
		g.Worker.hold(r.step, min(wanted, g.Tasks))
		wanted -= g.Tasks
		for _, a := range g.Victims {
			h.stopAttempt(p.now, a)
			stopped++
		}
	}
	h.logPreemption(p, r.step, stopped, len(chosen))
}

// logPreemption says that tasks are stopped for a step.
func (h *holderState) logPreemption(p *pass, s *step, stopped, workers int) {
	if stopped > 0 {
		h.core.logEvent("tasks are stopped for a step", logField("job", string(s.job.id)), logField("step", s.id.String()),
			logField("stopped", stopped), logField("workers", workers), logField("slack", h.slack(p.now, s).String()), logField("claim", h.epoch))
	}
}

// capacityWithoutStops returns the room that a step has on workers once what is being stopped
// has ended.
func (s *step) capacityWithoutStops(now time.Time, open []*worker) []preemption {
	var all []preemption
	for _, w := range open {
		if n := w.slots(s, w.availableAfterStops()); n > 0 {
			_, ticketed := s.advice.TicketFor(now, w)
			all = append(all, preemption{Allocation: allocation{Worker: w, Tasks: n}, HasTicket: ticketed || s.advice.IsPending(w)})
		}
	}
	return all
}

// preemptionsOn returns what can be gained on a worker by stopping more and more of its
// tasks. Costs rise along them.
func (h *holderState) preemptionsOn(p *pass, r rankedStep, w *worker) []preemption {
	room := w.availableAfterStops()
	have := w.slots(r.step, room)
	var all []preemption
	next := preemption{Allocation: allocation{Worker: w}}
	least := 0.0
	for _, a := range h.victims(p, r, w) {
		room = room.Plus(a.step.spec.Reserved())
		next.Victims = append(next.Victims, a)
		next.Cost += a.lostWork(p.now)
		if n := w.slots(r.step, room); n > have {
			next.Tasks = n - have
			next.Cost = max(least, next.Cost/float64(next.Tasks))
			least = next.Cost
			all = append(all, next)
			have = n
			next = preemption{Allocation: allocation{Worker: w}}
		}
	}
	return all
}

// lostWork returns the work that stopping a task loses, in processor seconds.
func (a *attempt) lostWork(now time.Time) float64 {
	ran := now.Sub(a.stateSince)
	if a.step.spec.Checkpoints {
		ran = min(ran, maxResumeLoss)
	}
	return ran.Seconds() * float64(a.step.spec.Need.Processors) / float64(resource.Processor)
}

// victims returns the tasks on a worker that may be stopped for a step, those that
// lose least for their size first.
func (h *holderState) victims(p *pass, r rankedStep, w *worker) []*attempt {
	var all []*attempt
	for _, a := range w.sortedAttempts() {
		if h.canPreempt(p, r, a) {
			all = append(all, a)
		}
	}
	slices.SortStableFunc(all, func(a, b *attempt) int {
		return cmp.Or(
			cmp.Compare(b.step.spec.Need.Processors, a.step.spec.Need.Processors),
			cmp.Compare(a.lostWork(p.now), b.lostWork(p.now)),
		)
	})
	return all
}

// canPreempt says whether a task may be stopped for a step: it is of less use, or can
// start again and still be on time.
func (h *holderState) canPreempt(p *pass, r rankedStep, a *attempt) bool {
	s := a.step
	if !h.isEnabled(mechanism.Preemption) || a.state != attemptRunning || a.markedForStop || a.isolated || s.spec.Gang || s.spec.Service || s.job.state.IsFinal() {
		return false
	}
	if !s.spec.Checkpoints && (p.now.Sub(a.stateSince) > maxRestartableAge || h.expectedTime(s) < minPreemptableTime) {
		return false
	}
	if h.isSpared(p.now, r, a) {
		return false
	}
	v := h.victimRankOf(p, s)
	return v.Tier > r.Tier || v.queue.Priority > r.queue.Priority && (v.slack > minVictimSlack || p.ampleRoom)
}

// isSpared says whether a task is left alone because a stop would gain little. Not for a gang:
// it needs much room at once, and what it marks works on until its tickets come.
func (h *holderState) isSpared(now time.Time, r rankedStep, a *attempt) bool {
	if r.step.spec.Gang || !h.isEnabled(mechanism.SparedTasks) {
		return false
	}
	return a.resumed && now.Sub(a.stateSince) < minResumedTime || h.remainingRunTime(now, a) < h.history.StopTime()+endsSoonMargin
}
