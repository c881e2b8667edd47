// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"saddlevane/models/mechanism"
	"saddlevane/services/ranking"
	"saddlevane/services/slots"
	"saddlevane/services/victims"
)

// preemptInterval is the minimum time between two searches for tasks to preempt for the same step.
const preemptInterval = 300 * time.Millisecond

// preemption is capacity for some more tasks of a step on one worker, and the attempts that have to
// be stopped for it. It has no victims if the capacity is free or about to become free.
type preemption = slots.Preemption[*worker, *attempt]

// preemptFor preempts as many tasks as the waiting tasks of a step that is not a gang need, if they
// stop soon enough for the step to be on time. It reports whether there is capacity for all of its
// waiting tasks then.
func (h *holderState) preemptFor(p *pass, r rankedStep) bool {
	s := r.step
	if r.Tier != ranking.OnTime || h.slack(p.now, s) < h.estimates.StopTime() {
		return false
	}
	workers := h.usableWorkers(p, r)
	wanted := min(s.unplacedTasks, h.slotsUnderCap(s))
	preemptions := h.preemptionsFor(p, r, workers, wanted, true)
	h.applyPreemptions(p, r, slots.Cheapest(preemptions, wanted, compareNames), wanted)
	return slots.TotalTasks(preemptions) >= wanted
}

// preemptionsFor returns how a step can get capacity for the wanted tasks on the given workers:
// capacity that is free or about to become free and, if that is not enough and mayStop is set,
// capacity of tasks that can be preempted.
func (h *holderState) preemptionsFor(p *pass, r rankedStep, workers []*worker, wanted int, mayStop bool) []preemption {
	s := r.step
	all := s.capacityWithoutStops(p.now, workers)
	if slots.TotalTasks(all) >= wanted || !mayStop || p.now.Sub(s.preemptedAt) < preemptInterval {
		return all
	}
	s.preemptedAt = p.now
	for _, w := range workers {
		all = append(all, h.preemptionsOn(p, r, w)...)
	}
	return all
}

// applyPreemptions stops the victims of the chosen preemptions and holds the capacity for the step
// until the pass ends.
func (h *holderState) applyPreemptions(p *pass, r rankedStep, chosen []preemption, wanted int) {
	stopped := 0
	for _, c := range chosen {
		h.hold(c.Worker, r.step, min(wanted, c.Tasks))
		wanted -= c.Tasks
		for _, a := range c.Victims {
			h.stopAttempt(p.now, a)
			stopped++
		}
	}
	h.logPreemption(p, r.step, stopped, len(chosen))
}

// logPreemption logs how many tasks are stopped for a step, if any.
func (h *holderState) logPreemption(p *pass, s *step, stopped, workers int) {
	if stopped > 0 {
		h.core.logEvent("tasks preempted for a step", logField("job", string(s.job.id)), logField("step", s.id.String()),
			logField("stopped", stopped), logField("workers", workers), logField("slack", h.slack(p.now, s).String()), logField("claim", h.epoch))
	}
}

// capacityWithoutStops returns for how many more tasks of a step each worker has capacity, without
// further stops, once all attempts that are being stopped have ended.
func (s *step) capacityWithoutStops(now time.Time, workers []*worker) []preemption {
	var all []preemption
	for _, w := range workers {
		if n := w.slots(s, w.availableAfterStops()); n > 0 {
			_, hasTicket := s.advice.TicketFor(now, w)
			all = append(all, preemption{Allocation: allocation{Worker: w, Tasks: n}, HasTicket: hasTicket || s.advice.IsPending(w)})
		}
	}
	return all
}

// preemptionsOn returns what a step gains on a worker by stopping more and more of its tasks. The
// cost for each task gained does not decrease from one entry to the next.
func (h *holderState) preemptionsOn(p *pass, r rankedStep, w *worker) []preemption {
	capacity := w.availableAfterStops()
	fitting := w.slots(r.step, capacity)
	return slots.Gains(w, fitting, h.victims(p, r, w), func(a *attempt) (int, float64) {
		capacity = capacity.Plus(a.step.spec.Reserved())
		return w.slots(r.step, capacity), a.lostWork(p.now)
	})
}

// preemptableRun describes the run of an attempt to package victims.
func (a *attempt) preemptableRun(now time.Time) victims.Run {
	return victims.Run{Ran: now.Sub(a.stateSince), Checkpoints: a.step.spec.Checkpoints, Resumed: a.resumed}
}

// lostWork returns the work that is lost when an attempt is stopped, in processor seconds.
func (a *attempt) lostWork(now time.Time) float64 {
	return a.preemptableRun(now).LostWork(a.step.spec.Need.Processors)
}

// victims returns the attempts on a worker that may be preempted for a step: those with the most
// processors first, and among equals those that lose the least work.
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

// canPreempt reports whether an attempt may be preempted for a step. Preemption for gangs spares no
// tasks that end soon, because gangs need much capacity at once and let their victims run until the
// tickets are about to arrive.
func (h *holderState) canPreempt(p *pass, r rankedStep, a *attempt) bool {
	s := a.step
	if !h.isEnabled(mechanism.Preemption) || a.state != attemptRunning || a.markedForStop || a.isolated || s.spec.Gang ||
		s.spec.Service || s.job.state.IsFinal() {
		return false
	}
	run := a.preemptableRun(p.now)
	if !run.MayStartAgain(h.expectedTime(s)) {
		return false
	}
	sparing := !r.step.spec.Gang && h.isEnabled(mechanism.SparedTasks)
	if sparing && run.IsSpared(h.remainingRunTime(p.now, a), h.estimates.StopTime()) {
		return false
	}
	v := h.victimRankOf(p, s)
	return victims.MayTakeFrom(r.Rank, v.Rank, v.slack, p.ampleFreeCapacity)
}
