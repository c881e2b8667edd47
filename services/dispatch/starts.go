// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/models/order"
	"saddlevane/modules/ordered"
	"saddlevane/services/delays"
	"saddlevane/services/recent"
)

// start orders a worker to run a task.
func (h *holding) start(now time.Time, s *step, index int, run int64, w *worker, ticket string) {
	a := &attempt{step: s, index: index, run: run, worker: w, state: starting, since: now, looks: h.looks, pace: fullPace, beganAt: now}
	h.place(now, a)
	a.task().runs.RecordStart(now)
	h.pace(now, a)
	saved := a.task().saved
	if s.spec.Gang {
		saved = s.gangSaved()
	}
	a.resumed = saved != ""
	a.checkpoint, a.ticket = saved, ticket
	h.journal.starts.Add(now, recent.Start{Task: a.name().Task, Run: run, Worker: w.Name, Born: w.BornUnixMilli, UnixMilli: h.core.unixMilli(now)})
	if w.unansweredSince.IsZero() {
		w.unansweredSince = now
	}
	h.orderStart(now, a)
}

// pace has a step wait one of whose tasks is started too often.
func (h *holding) pace(now time.Time, a *attempt) {
	if again, often := a.task().starts.RecordStart(now); often {
		a.step.wait(again)
		h.core.note("a task is started too often and waits", field("job", string(a.step.job.id)), field("task", a.name().Task.String()),
			field("run", a.run), field("wait", again.Sub(now).String()))
	}
}

// orderStart sends the order to start an attempt, for the first time or again.
func (h *holding) orderStart(now time.Time, a *attempt) {
	a.tries++
	a.orderedAt = now
	w := a.worker
	h.core.do(exchange.StartRun{Worker: w.Life, Address: w.Address, Epoch: h.epoch, Order: order.Start{
		Run: a.name(), Spec: a.step.job.submission.Spec, Until: h.extendLease(now, w), Fence: h.fence(w),
		Checkpoint: a.checkpoint, Ticket: a.ticket,
	}, Timeout: h.orderTimeout(now)})
}

// orderTimeout returns how long the answer to an order is waited for.
func (h *holding) orderTimeout(now time.Time) time.Duration {
	return h.adaptiveTimeout(now, h.core.settings.OrderTimeout)
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
func (h *holding) startEnded(now time.Time, e exchange.StartEnded) {
	w := h.currentWorker(e.Worker)
	if w == nil || e.Epoch != h.epoch {
		return
	}
	if e.Answer.Fate == order.NoLife {
		h.incarnationGone(now, w)
		return
	}
	if e.Answer.Fate != order.Unknown {
		w.unansweredSince = time.Time{}
	}
	a := w.attempts[e.Run]
	if a == nil {
		return
	}
	if a.tries == 1 && e.Answer.Fate != order.Unknown {
		h.answers.Record(now, now.Sub(a.orderedAt))
	}
	a.confirmed = a.confirmed && a.state == stopping
	if a.tries > 1 && e.Answer.Fate != order.Carried && !w.lives.Outranked(e.Answer, 0) {
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
		w.excludedUntil = ordered.Later(w.excludedUntil, now.Add(notDoneFor))
		h.loseAttempt(now, a, "the worker did nothing: "+e.Answer.Problem)
	default:
		h.startUnsure(now, a, e.Answer)
	}
}

// startTries is how often a start is sent that has no answer. Mostly the answer, or
// the order alone, was lost, and a worker that has the run already says so.
const startTries = 4

// notDoneFor is how long a worker that did nothing gets no starts.
const notDoneFor = 500 * time.Millisecond

// mayTryAgain says whether the order to start an attempt may be sent again. It sets
// the worker's lease, which takes authority.
func (h *holding) mayTryAgain(now time.Time, a *attempt) bool {
	return h.uses(mechanism.RepeatedStarts) && a.state == starting && a.tries < startTries && !a.step.job.state.Final() && h.mayRenew(now)
}

// startUnsure keeps the place of a start of which it is not known whether it was
// carried out. The worker's next report tells.
func (h *holding) startUnsure(now time.Time, a *attempt, answer order.Answer) {
	if h.mayTryAgain(now, a) && answer.Fate == order.Unknown {
		h.orderStart(now, a)
		return
	}
	h.core.note("a start had no answer", field("job", string(a.step.job.id)), field("task", a.name().Task.String()),
		field("run", a.run), field("worker", a.worker.Life.String()), field("problem", answer.Problem))
	if a.state != starting {
		return
	}
	a.state = unsure
	a.task().runs.RecordInterruption(delays.OrderUnanswered)
	h.mark(now, a)
	h.gangBroke(now, a.step)
}

// startRefused acts on why a worker refused a start.
func (h *holding) startRefused(now time.Time, a *attempt, answer order.Answer) {
	h.core.note("a start was refused", field("job", string(a.step.job.id)), field("task", a.name().Task.String()),
		field("run", a.run), field("worker", a.worker.Life.String()), field("reason", string(answer.Reason)))
	switch answer.Reason {
	case order.Fenced:
		if a.worker.lives.Outranked(answer, 0) {
			h.core.stepDown(reasonLaterHolder)
			return
		}
		a.step.wait(now.Add(refusedWait))
	case order.BadTicket:
		a.step.advice.DropTicket(a.worker)
	case order.OldRun:
		// The run has ended there; its end, if it is not known, is still to come.
	default:
		a.step.wait(now.Add(refusedWait))
	}
	h.loseAttempt(now, a, "refused: "+string(answer.Reason))
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
