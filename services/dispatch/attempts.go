// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
)

// attempt is one start of a task, from its order until its end is known.
type attempt struct {
	step   *step
	index  int
	run    int64
	worker *worker
	state  attemptState
	// since is when the state began; for a stop, when it was confirmed.
	since time.Time
	// looks is how many renewals the holder had asked for by then.
	looks     int64
	confirmed bool
	// checkpoint and ticket are what it was ordered with, tries how often the order was
	// sent: the same order again changes nothing more.
	checkpoint, ticket string
	tries              int
	// figure is the worker's rough figure of the run.
	figure int64
	// pace is the percentage of its speed at which it works, or paceUnknown; pacing says
	// that another was ordered.
	pace   int
	pacing bool
	// progress is how much of its work was done, in percent, when a look last told of
	// more, at progressAt.
	progress   int
	progressAt time.Time
	// seenAt is when a look last told of it.
	seenAt time.Time
	// marked says that it is to be stopped for a gang that has its place reserved.
	marked bool
	// stopAt is when its end was first ordered.
	stopAt time.Time
	// adopted says that an earlier holder started it, resumed that it began from a
	// checkpoint.
	adopted, resumed bool
}

// mark notes that an attempt has come to its present state.
func (h *holding) mark(now time.Time, a *attempt) {
	a.since = now
	a.looks = h.looks
}

// attemptState is how far an attempt has come.
type attemptState string

const (
	// starting: the order is under way.
	starting attemptState = "starting"
	// running: the worker has confirmed it.
	running attemptState = "running"
	// unsure: the order had no answer.
	unsure attemptState = "unsure"
	// stopping: it is to end; its place stays taken until it has.
	stopping attemptState = "stopping"
)

// task returns the task that the attempt is a start of.
func (a *attempt) task() *task { return &a.step.tasks[a.index] }

// name returns the name under which the worker knows the attempt.
func (a *attempt) name() order.Run {
	return order.Run{Task: job.TaskID{StepID: a.step.id, Index: a.index}, Number: a.run}
}

// place takes an attempt's room on its worker.
func (h *holding) place(a *attempt) {
	a.worker.attempts[a.name()] = a
	a.worker.free = a.worker.free.Minus(a.step.spec.Reserved())
	t := a.task()
	t.attempt = a
	t.lastRun = a.run
	a.step.attempts++
	if !t.done {
		a.step.waiting--
	}
}

// unplace gives the room back.
func (h *holding) unplace(a *attempt) {
	delete(a.worker.attempts, a.name())
	a.worker.free = a.worker.free.Plus(a.step.spec.Reserved())
	t := a.task()
	if t.attempt == a {
		t.attempt = nil
		if !t.done {
			a.step.waiting++
		}
	}
	a.step.attempts--
	h.planDue = true
}

// nextRun returns a run number above all earlier ones of the step's tasks, under
// this claim and those before.
func (h *holding) nextRun(s *step) int64 {
	s.lastRun = max(s.lastRun+1, h.epoch*runsPerEpoch)
	return s.lastRun
}

// start orders a worker to run a task.
func (h *holding) start(now time.Time, s *step, index int, run int64, w *worker, ticket string) {
	a := &attempt{step: s, index: index, run: run, worker: w, state: starting, since: now, looks: h.looks, pace: fullPace}
	h.place(a)
	a.task().began(now)
	saved := a.task().saved
	if s.spec.Gang {
		saved = s.gangSaved()
	}
	a.resumed = saved != ""
	a.checkpoint, a.ticket = saved, ticket
	if w.owesSince.IsZero() {
		w.owesSince = now
	}
	h.orderStart(now, a)
}

// orderStart sends the order to start an attempt, for the first time or again.
func (h *holding) orderStart(now time.Time, a *attempt) {
	a.tries++
	w := a.worker
	h.core.do(StartRun{Worker: w.ID, Address: w.Address, Epoch: h.epoch, Order: order.Start{
		Run: a.name(), Spec: a.step.job.submission.Spec, Until: h.until(now, w), Fence: h.epoch,
		Checkpoint: a.checkpoint, Ticket: a.ticket,
	}})
}

// gangSaved returns a checkpoint that all members of a gang can resume from.
func (s *step) gangSaved() string {
	for i := range s.tasks {
		if s.tasks[i].saved != "" {
			return s.tasks[i].saved
		}
	}
	return ""
}

// startEnded takes the end of a start's call.
func (h *holding) startEnded(now time.Time, e StartEnded) {
	w := h.workers[e.Worker]
	if w == nil || e.Epoch != h.epoch {
		return
	}
	if e.Answer.Fate == order.NoLife {
		h.workerDied(now, w, otherLife)
		return
	}
	if e.Answer.Fate != order.Unknown {
		w.owesSince = time.Time{}
	}
	a := w.attempts[e.Run]
	if a == nil {
		return
	}
	a.confirmed = a.confirmed && a.state == stopping
	if a.tries > 1 && e.Answer.Fate != order.Carried && e.Answer.Reason != order.Fenced {
		// An earlier order may have been carried out, or may be yet.
		h.startUnsure(now, a, e.Answer)
		return
	}
	switch e.Answer.Fate {
	case order.Carried:
		if a.state == starting {
			a.state = running
			h.mark(now, a)
		}
		h.started(a)
	case order.Refused:
		h.startRefused(now, a, e.Answer)
	case order.NotDone:
		w.excludedTill = maxTime(w.excludedTill, now.Add(notDoneFor))
		h.lose(now, a, "the worker did nothing: "+e.Answer.Problem)
	default:
		h.startUnsure(now, a, e.Answer)
	}
}

// startTries is how often a start is sent that has no answer. Mostly the answer, or
// the order alone, was lost, and a worker that has the run already says so.
const startTries = 4

// notDoneFor is how long a worker that did nothing gets no starts.
const notDoneFor = 500 * time.Millisecond

// startUnsure keeps the place of a start of which it is not known whether it was
// carried out. The worker's next report tells.
func (h *holding) startUnsure(now time.Time, a *attempt, answer order.Answer) {
	if h.uses(RepeatedStarts) && answer.Fate == order.Unknown && a.state == starting && a.tries < startTries && !a.step.job.state.Final() {
		h.orderStart(now, a)
		return
	}
	h.core.note("a start had no answer", Field{"job", string(a.step.job.id)}, Field{"task", a.name().Task.String()},
		Field{"run", a.run}, Field{"worker", a.worker.ID}, Field{"problem", answer.Problem})
	if a.state != starting {
		return
	}
	a.state = unsure
	a.task().interrupted(delayUnsure)
	h.mark(now, a)
	h.gangBroke(now, a.step)
}

// startRefused acts on why a worker refused a start.
func (h *holding) startRefused(now time.Time, a *attempt, answer order.Answer) {
	h.core.note("a start was refused", Field{"job", string(a.step.job.id)}, Field{"task", a.name().Task.String()},
		Field{"run", a.run}, Field{"worker", a.worker.ID}, Field{"reason", string(answer.Reason)})
	switch answer.Reason {
	case order.Fenced:
		h.core.stepDown(laterHolder)
		return
	case order.BadTicket:
		a.step.advice.dropTicket(a.worker)
	case order.OldRun:
		// The run has ended there; its end, if it is not known, is still to come.
	default:
		a.step.notBefore = now.Add(refusedWait)
	}
	h.lose(now, a, "refused: "+string(answer.Reason))
}

// refusedWait delays a step after a start was refused for no reason that can be
// mended at once.
const refusedWait = 50 * time.Millisecond

// started notes that some task of a job is, or was, at work.
func (h *holding) started(a *attempt) {
	j := a.step.job
	j.started = true
	if j.state == job.Queued {
		j.state = job.Running
	}
	if j.shown == job.Queued {
		j.shown = job.Running
	}
}

// stop orders the end of an attempt. Its room stays taken until it has ended.
func (h *holding) stop(now time.Time, a *attempt) {
	if a.state == stopping {
		return
	}
	a.state = stopping
	h.mark(now, a)
	a.confirmed = false
	a.stopAt = now
	h.orderStop(a.worker, a.name())
}

// orderStop sends a worker the order to end a run.
func (h *holding) orderStop(w *worker, run order.Run) {
	h.core.do(StopRun{Worker: w.ID, Address: w.Address, Epoch: h.epoch, Order: order.Stop{Run: run, Fence: h.epoch}})
}

// awaitsStop says whether some stop was not confirmed.
func (w *worker) awaitsStop() bool {
	for _, a := range w.attempts {
		if a.state == stopping && !a.confirmed {
			return true
		}
	}
	return false
}

// resendStops sends stops again that had no answer.
func (h *holding) resendStops(now time.Time, w *worker) {
	if w.failures > 0 || !w.awaitsStop() {
		return
	}
	for _, a := range w.sorted() {
		if a.state == stopping && !a.confirmed && now.Sub(a.since) > stopAgain {
			h.mark(now, a)
			h.orderStop(a.worker, a.name())
		}
	}
}

// stopEnded takes the end of a stop's call. The place stays taken until a report
// tells the end of the run.
func (h *holding) stopEnded(now time.Time, e StopEnded) {
	w := h.workers[e.Worker]
	if w == nil || e.Epoch != h.epoch {
		return
	}
	if h.ousted(now, w, e.Answer) {
		return
	}
	a := w.attempts[e.Run]
	if a == nil || a.state != stopping || a.confirmed {
		return
	}
	if e.Answer.Fate == order.Carried || e.Answer.Fate == order.Refused {
		a.confirmed = true
		h.mark(now, a)
		h.renewSoon(now, w)
	}
}
