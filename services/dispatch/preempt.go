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
	// victimSlack is how much later than now a task that can resume must be able
	// to start again and be on time, to be stopped: a stop, its way through the
	// queue and the work since the last checkpoint take that long.
	victimSlack = 2 * time.Second
	// youngTask is how long a task that cannot resume may have run to be stopped.
	youngTask = time.Second
	// shortTask is how long a task takes at most that ends by itself nearly as soon
	// as it could be stopped.
	shortTask = 2 * time.Second
	// preemptEvery is the least time between two searches for tasks to stop for one
	// step.
	preemptEvery = 300 * time.Millisecond
	// resumedWorks is how long a task that has resumed works at least before it may be
	// stopped again: else what it does between two stops is no more than they lose.
	resumedWorks = 2 * time.Second
	// endsSoon is how much later than a stop would free its room a task may end by
	// itself and be left alone.
	endsSoon = 500 * time.Millisecond
	// resumeLoses is the work that a task loses which resumes: that since its last
	// checkpoint, and the time to begin again.
	resumeLoses = time.Second
)

// gain is room for some more tasks of a step on one worker, and the attempts that have to be
// stopped for it.
type gain = slots.Preemption[*worker, *attempt]

// makeWay stops tasks that may give way to a step which is no gang, as many as its
// waiting tasks need, if they end soon enough for it to be on time. It returns
// whether that gives room for all of them.
func (h *holderState) makeWay(p *pass, r ranked) bool {
	s := r.step
	if r.Tier != ranking.OnTime || h.slack(p.now, s) < h.history.StopTime() {
		return false
	}
	open := h.openWorkers(p, r)
	wanted := min(s.unplacedTasks, h.capRoom(s))
	gains := h.gainsFor(p, r, open, wanted, true)
	h.take(p, r, slots.Cheapest(gains, wanted, byName), wanted)
	return slots.TotalTasks(gains) >= wanted
}

// gainsFor returns what a step could have on some workers: what is free or ending
// there and, if that is not room for the tasks wanted and it may have tasks
// stopped, what can be gained by that.
func (h *holderState) gainsFor(p *pass, r ranked, open []*worker, wanted int, mayStop bool) []gain {
	s := r.step
	all := s.gainsSoon(p.now, open)
	if slots.TotalTasks(all) >= wanted || !mayStop || p.now.Sub(s.preemptedAt) < preemptEvery {
		return all
	}
	s.preemptedAt = p.now
	for _, w := range open {
		all = append(all, h.gainsByStops(p, r, w)...)
	}
	return all
}

// take stops what the chosen gains need, and holds their room for a step until the
// pass ends.
func (h *holderState) take(p *pass, r ranked, chosen []gain, wanted int) {
	stopped := 0
	for _, g := range chosen {
		g.Worker.hold(r.step, min(wanted, g.Tasks))
		wanted -= g.Tasks
		for _, a := range g.Victims {
			h.stopAttempt(p.now, a)
			stopped++
		}
	}
	h.noteStopped(p, r.step, stopped, len(chosen))
}

// noteStopped says that tasks are stopped for a step.
func (h *holderState) noteStopped(p *pass, s *step, stopped, workers int) {
	if stopped > 0 {
		h.core.logEvent("tasks are stopped for a step", logField("job", string(s.job.id)), logField("step", s.id.String()),
			logField("stopped", stopped), logField("workers", workers), logField("slack", h.slack(p.now, s).String()), logField("claim", h.epoch))
	}
}

// gainsSoon returns the room that a step has on workers once what is being stopped
// has ended.
func (s *step) gainsSoon(now time.Time, open []*worker) []gain {
	var all []gain
	for _, w := range open {
		if n := w.slots(s, w.soon()); n > 0 {
			_, ticketed := s.advice.TicketFor(now, w)
			all = append(all, gain{Allocation: share{Worker: w, Tasks: n}, HasTicket: ticketed || s.advice.IsPending(w)})
		}
	}
	return all
}

// gainsByStops returns what can be gained on a worker by stopping more and more of its
// tasks. Costs rise along them.
func (h *holderState) gainsByStops(p *pass, r ranked, w *worker) []gain {
	room := w.soon()
	have := w.slots(r.step, room)
	var all []gain
	next := gain{Allocation: share{Worker: w}}
	least := 0.0
	for _, a := range h.victims(p, r, w) {
		room = room.Plus(a.step.spec.Reserved())
		next.Victims = append(next.Victims, a)
		next.Cost += a.lost(p.now)
		if n := w.slots(r.step, room); n > have {
			next.Tasks = n - have
			next.Cost = max(least, next.Cost/float64(next.Tasks))
			least = next.Cost
			all = append(all, next)
			have = n
			next = gain{Allocation: share{Worker: w}}
		}
	}
	return all
}

// lost returns the work that stopping a task loses, in processor seconds.
func (a *attempt) lost(now time.Time) float64 {
	ran := now.Sub(a.stateSince)
	if a.step.spec.Checkpoints {
		ran = min(ran, resumeLoses)
	}
	return ran.Seconds() * float64(a.step.spec.Need.Processors) / float64(resource.Processor)
}

// victims returns the tasks on a worker that may be stopped for a step, those that
// lose least for their size first.
func (h *holderState) victims(p *pass, r ranked, w *worker) []*attempt {
	var all []*attempt
	for _, a := range w.sortedAttempts() {
		if h.mayStop(p, r, a) {
			all = append(all, a)
		}
	}
	slices.SortStableFunc(all, func(a, b *attempt) int {
		return cmp.Or(
			cmp.Compare(b.step.spec.Need.Processors, a.step.spec.Need.Processors),
			cmp.Compare(a.lost(p.now), b.lost(p.now)),
		)
	})
	return all
}

// mayStop says whether a task may be stopped for a step: it is of less use, or can
// start again and still be on time.
func (h *holderState) mayStop(p *pass, r ranked, a *attempt) bool {
	s := a.step
	if !h.isEnabled(mechanism.Preemption) || a.state != attemptRunning || a.markedForStop || a.isolated || s.spec.Gang || s.spec.Service || s.job.state.Final() {
		return false
	}
	if !s.spec.Checkpoints && (p.now.Sub(a.stateSince) > youngTask || h.expect(s) < shortTask) {
		return false
	}
	if h.spares(p.now, r, a) {
		return false
	}
	v := h.rankOf(p, s)
	return v.Tier > r.Tier || v.queue.Priority > r.queue.Priority && (v.slack > victimSlack || p.roomy)
}

// spares says whether a task is left alone because a stop would gain little. Not for a gang:
// it needs much room at once, and what it marks works on until its tickets come.
func (h *holderState) spares(now time.Time, r ranked, a *attempt) bool {
	if r.step.spec.Gang || !h.isEnabled(mechanism.SparedTasks) {
		return false
	}
	return a.resumed && now.Sub(a.stateSince) < resumedWorks || h.remainingRunTime(now, a) < h.history.StopTime()+endsSoon
}
