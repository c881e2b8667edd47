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

// startTask orders a worker to run a task.
func (h *holderState) startTask(now time.Time, s *step, index int, run int64, w *worker, ticket string) {
	a := &attempt{step: s, index: index, run: run, worker: w, state: attemptStarting, stateSince: now, renewalsSent: h.renewalsSent, pace: fullPace, firstOrderedAt: now}
	h.assign(now, a)
	a.task().runs.RecordStart(now)
	h.limitStartRate(now, a)
	saved := a.task().checkpoint
	if s.spec.Gang {
		saved = s.gangCheckpoint()
	}
	a.resumed = saved != ""
	a.checkpoint, a.ticket = saved, ticket
	h.journal.recentStarts.Add(now, recent.Start{Task: a.runID().Task, Run: run, Worker: w.Name, Born: w.BornUnixMilli, UnixMilli: h.core.unixMilli(now)})
	if w.unansweredSince.IsZero() {
		w.unansweredSince = now
	}
	h.sendStart(now, a)
}

// limitStartRate has a step wait one of whose tasks is started too often.
func (h *holderState) limitStartRate(now time.Time, a *attempt) {
	if again, often := a.task().startLimit.RecordStart(now); often {
		a.step.delayStart(again)
		h.core.logEvent("a task is started too often and waits", logField("job", string(a.step.job.id)), logField("task", a.runID().Task.String()),
			logField("run", a.run), logField("wait", again.Sub(now).String()))
	}
}

// sendStart sends the order to start an attempt, for the first time or again.
func (h *holderState) sendStart(now time.Time, a *attempt) {
	a.orderCount++
	a.lastOrderedAt = now
	w := a.worker
	h.core.emit(exchange.StartRun{Worker: w.Incarnation, Address: w.Address, Epoch: h.epoch, Order: order.Start{
		Run: a.runID(), Spec: a.step.job.submission.Spec, LeaseEnd: h.extendLease(now, w), Fence: h.fence(w),
		Checkpoint: a.checkpoint, Ticket: a.ticket,
	}, Timeout: h.orderTimeout(now)})
}

// orderTimeout returns how long the answer to an order is waited for.
func (h *holderState) orderTimeout(now time.Time) time.Duration {
	return h.adaptiveTimeout(now, h.core.settings.OrderTimeout)
}

// gangCheckpoint returns a checkpoint that all members of a gang can resume from.
func (s *step) gangCheckpoint() string {
	for i := range s.tasks {
		if s.tasks[i].checkpoint != "" {
			return s.tasks[i].checkpoint
		}
	}
	return ""
}

// handleStartEnded takes the end of a start's call.
func (h *holderState) handleStartEnded(now time.Time, e exchange.StartEnded) {
	w := h.currentWorker(e.Worker)
	if w == nil || e.Epoch != h.epoch {
		return
	}
	if e.Answer.Outcome == order.WrongIncarnation {
		h.handleIncarnationGone(now, w)
		return
	}
	if e.Answer.Outcome != order.Unknown {
		w.unansweredSince = time.Time{}
	}
	a := w.attempts[e.Run]
	if a == nil {
		return
	}
	if a.orderCount == 1 && e.Answer.Outcome != order.Unknown {
		h.answerDelays.Record(now, now.Sub(a.lastOrderedAt))
	}
	a.stopConfirmed = a.stopConfirmed && a.state == attemptStopping
	if a.orderCount > 1 && e.Answer.Outcome != order.CarriedOut && !w.incarnations.IsFencedByLaterHolder(e.Answer, 0) {
		// An earlier order may have been carried out, or may be yet.
		h.handleStartUnconfirmed(now, a, e.Answer)
		return
	}
	switch e.Answer.Outcome {
	case order.CarriedOut:
		if a.state == attemptStarting {
			a.state = attemptRunning
			h.markStateChange(now, a)
		}
		h.markStarted(a)
	case order.Refused:
		h.handleStartRefused(now, a, e.Answer)
	case order.NotDone:
		w.excludedUntil = ordered.Later(w.excludedUntil, now.Add(notDoneExclusion))
		h.loseAttempt(now, a, "the worker did nothing: "+e.Answer.Problem)
	default:
		h.handleStartUnconfirmed(now, a, e.Answer)
	}
}

// maxStartTries is how often a start is sent that has no answer. Mostly the answer, or
// the order alone, was lost, and a worker that has the run already says so.
const maxStartTries = 4

// notDoneExclusion is how long a worker that did nothing gets no starts.
const notDoneExclusion = 500 * time.Millisecond

// canRetryStart says whether the order to start an attempt may be sent again. It sets
// the worker's lease, which takes authority.
func (h *holderState) canRetryStart(now time.Time, a *attempt) bool {
	return h.isEnabled(mechanism.RepeatedStarts) && a.state == attemptStarting && a.orderCount < maxStartTries && !a.step.job.state.IsFinal() && h.mayRenew(now)
}

// handleStartUnconfirmed keeps the place of a start of which it is not known whether it was
// carried out. The worker's next report tells.
func (h *holderState) handleStartUnconfirmed(now time.Time, a *attempt, answer order.Answer) {
	if h.canRetryStart(now, a) && answer.Outcome == order.Unknown {
		h.sendStart(now, a)
		return
	}
	h.core.logEvent("a start had no answer", logField("job", string(a.step.job.id)), logField("task", a.runID().Task.String()),
		logField("run", a.run), logField("worker", a.worker.Incarnation.String()), logField("problem", answer.Problem))
	if a.state != attemptStarting {
		return
	}
	a.state = attemptUnconfirmed
	a.task().runs.RecordInterruption(delays.OrderUnanswered)
	h.markStateChange(now, a)
	h.restartGang(now, a.step)
}

// handleStartRefused acts on why a worker refused a start.
func (h *holderState) handleStartRefused(now time.Time, a *attempt, answer order.Answer) {
	h.core.logEvent("a start was refused", logField("job", string(a.step.job.id)), logField("task", a.runID().Task.String()),
		logField("run", a.run), logField("worker", a.worker.Incarnation.String()), logField("reason", string(answer.Reason)))
	switch answer.Reason {
	case order.Fenced:
		if a.worker.incarnations.IsFencedByLaterHolder(answer, 0) {
			h.core.stepDown(reasonLaterHolder)
			return
		}
		a.step.delayStart(now.Add(refusedStartDelay))
	case order.BadTicket:
		a.step.advice.DropTicket(a.worker)
	case order.StaleRun:
		// The run has ended there; its end, if it is not known, is still to come.
	default:
		a.step.delayStart(now.Add(refusedStartDelay))
	}
	h.loseAttempt(now, a, "refused: "+string(answer.Reason))
}

// refusedStartDelay delays a step after a start was refused for no reason that can be
// mended at once.
const refusedStartDelay = 50 * time.Millisecond

// markStarted notes that some task of a job is, or was, at work.
func (h *holderState) markStarted(a *attempt) {
	j := a.step.job
	j.started = true
	if j.state == job.Queued {
		j.state = job.Running
	}
	if j.reportedState == job.Queued {
		j.reportedState = job.Running
	}
}
