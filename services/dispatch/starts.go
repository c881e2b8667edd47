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
	"saddlevane/services/startlog"
	"saddlevane/services/transit"
)

// startTask assigns a task to a worker and orders the worker to start it.
func (h *holderState) startTask(now time.Time, s *step, index int, run int64, w *worker, ticket string) {
	a := &attempt{
		step: s, index: index, run: run, worker: w, state: attemptStarting, stateSince: now, renewalsSent: h.renewalsSent,
		pace: fullPace, firstOrderedAt: now,
	}
	h.assign(now, a)
	a.task().runs.RecordStart(now)
	h.limitStartRate(now, a)
	checkpoint := a.task().checkpoint
	if s.spec.Gang {
		checkpoint = s.gangCheckpoint()
	}
	a.resumed = checkpoint != ""
	a.checkpoint, a.ticket = checkpoint, ticket
	h.journal.recentStarts.Add(now, startlog.Start{
		Task: a.runID().Task, Run: run,
		Worker: w.Name, Born: w.BornUnixMilli, UnixMilli: h.core.unixMilli(now),
	})
	if w.unansweredSince.IsZero() {
		w.unansweredSince = now
	}
	h.sendStart(now, a)
}

// limitStartRate delays a step if one of its tasks is started too often.
func (h *holderState) limitStartRate(now time.Time, a *attempt) {
	if notBefore, tooOften := a.task().startLimit.RecordStart(now); tooOften {
		a.step.delayStart(notBefore)
		h.core.logEvent("task is started too often and is delayed", logField("job", string(a.step.job.id)),
			logField("task", a.runID().Task.String()), logField("run", a.run), logField("wait", notBefore.Sub(now).String()))
	}
}

// sendStart sends the order to start an attempt, for the first time or as a retry.
func (h *holderState) sendStart(now time.Time, a *attempt) {
	w := a.worker
	a.orderCount++
	a.lastOrderedAt = now
	timeout := h.orderTimeout(now)
	h.startOrders.Send(now, transit.Start{Task: a.runID().Task, Number: a.run, Worker: w.Name}, timeout)
	h.core.emit(exchange.StartRun{Worker: w.Incarnation, Address: w.Address, Epoch: h.epoch, Order: order.Start{
		Run: a.runID(), Spec: a.step.job.submission.Spec, LeaseEnd: h.extendLease(now, w), Fence: h.raiseFenceForStart(w),
		Checkpoint: a.checkpoint, Ticket: a.ticket,
	}, Timeout: timeout})
}

// orderTimeout returns the timeout of an order to a worker at now.
func (h *holderState) orderTimeout(now time.Time) time.Duration {
	return h.adaptiveTimeout(now, h.core.settings.OrderTimeout)
}

// gangCheckpoint returns a checkpoint from which all members of a gang can resume, or "".
func (s *step) gangCheckpoint() string {
	for i := range s.tasks {
		if s.tasks[i].checkpoint != "" {
			return s.tasks[i].checkpoint
		}
	}
	return ""
}

// handleStartEnded applies the answer to a start order, or that there was none.
func (h *holderState) handleStartEnded(now time.Time, e exchange.StartEnded) {
	if e.Epoch != h.epoch {
		return
	}
	answered := e.Answer.Outcome != order.Unknown
	h.startOrders.End(now, e.Run, answered)
	if !answered {
		h.recordStartInTransit(now, e.Worker.Name, e.Run)
	}
	w := h.currentWorker(e.Worker)
	if w == nil {
		return
	}
	switch {
	case e.Answer.Outcome == order.WrongIncarnation:
		h.handleWrongIncarnation(now, w)
		return
	case answered:
		w.unansweredSince = time.Time{}
	default:
		w.incarnations.RaiseFence(e.Fence)
	}
	if a := w.attempts[e.Run]; a != nil {
		h.applyStartAnswer(now, a, e)
	}
}

// applyStartAnswer applies the answer to the last order to start an attempt, or that there was none.
func (h *holderState) applyStartAnswer(now time.Time, a *attempt, e exchange.StartEnded) {
	w := a.worker
	if a.orderCount == 1 && e.Answer.Outcome != order.Unknown {
		h.answerDelays.Record(now, now.Sub(a.lastOrderedAt))
	}
	a.stopConfirmed = a.stopConfirmed && a.state == attemptStopping
	if e.Answer.IsFenced() {
		h.handleStartFenced(now, a, e)
		return
	}
	if a.orderCount > 1 && e.Answer.Outcome != order.CarriedOut {
		// An earlier copy of the order may have been carried out, or may still be.
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
		h.loseAttempt(now, a, "the worker did not carry out the start: "+e.Answer.Problem)
	default:
		h.handleStartUnconfirmed(now, a, e.Answer)
	}
}

// maxStartTries is how often an unanswered start is sent in all. In most cases only the
// order or its answer was lost, and a worker that already has the run reports it.
const maxStartTries = 4

// notDoneExclusion is how long a worker that did not carry out a start gets no more starts.
const notDoneExclusion = 500 * time.Millisecond

// canRetryStart reports whether the order to start an attempt may be sent again. A start
// order also extends the worker's lease, so the holder must be allowed to renew leases. It is not sent
// while the task is known to run elsewhere.
func (h *holderState) canRetryStart(now time.Time, a *attempt) bool {
	return h.isEnabled(mechanism.RepeatedStarts) && a.state == attemptStarting && a.orderCount < maxStartTries &&
		!a.task().done && !a.step.job.state.IsFinal() && h.mayRenew(now) && !h.isEvacuated(a.worker) && !h.runsAsOrphan(a)
}

// handleStartUnconfirmed handles a start that may or may not have been carried out. It sends
// the order again if that is allowed.
func (h *holderState) handleStartUnconfirmed(now time.Time, a *attempt, answer order.Answer) {
	if answer.Outcome != order.Unknown || !h.repeatStart(now, a) {
		h.markUnconfirmed(now, a, answer.Problem)
	}
}

// markUnconfirmed handles a start that may or may not have been carried out and is not sent again. The
// attempt keeps its capacity until the worker's next report shows whether the run exists.
func (h *holderState) markUnconfirmed(now time.Time, a *attempt, problem string) {
	h.core.logEvent("start order was not answered", logField("job", string(a.step.job.id)), logField("task", a.runID().Task.String()),
		logField("run", a.run), logField("worker", a.worker.Incarnation.String()), logField("problem", problem))
	if a.state != attemptStarting {
		return
	}
	a.state = attemptUnconfirmed
	a.task().runs.RecordInterruption(delays.OrderUnanswered)
	h.markStateChange(now, a)
	h.restartGang(now, a.step, a.run)
}

// handleStartFenced handles a start that the worker refused because of its fence number. If the
// holder has raised the number since, an order that was sent later has arrived earlier, and the start
// is sent again.
func (h *holderState) handleStartFenced(now time.Time, a *attempt, e exchange.StartEnded) {
	if a.worker.incarnations.IsFencedByLaterHolder(e.Answer, e.Fence) {
		h.core.stepDown(reasonLaterHolder)
		return
	}
	// The refused order does not count as one that may have been carried out.
	a.orderCount--
	switch {
	case h.canRetryStart(now, a):
		h.sendStart(now, a)
	case a.orderCount > 0:
		h.handleStartUnconfirmed(now, a, e.Answer)
	default:
		h.handleStartRefused(now, a, e.Answer)
	}
}

// handleStartRefused drops an attempt whose start the worker refused, and does what the
// reason of the refusal requires.
func (h *holderState) handleStartRefused(now time.Time, a *attempt, answer order.Answer) {
	h.core.logEvent("start order was refused", logField("job", string(a.step.job.id)), logField("task", a.runID().Task.String()),
		logField("run", a.run), logField("worker", a.worker.Incarnation.String()), logField("reason", string(answer.Reason)))
	switch answer.Reason {
	case order.BadTicket:
		a.step.advice.DropTicket(a.worker)
	case order.StaleRun:
		// The run has ended on the worker. An end that is not known yet will be reported.
	default:
		a.step.delayStart(now.Add(refusedStartDelay))
	}
	h.loseAttempt(now, a, "refused: "+string(answer.Reason))
}

// refusedStartDelay is how long a step is delayed after a start was refused for a reason
// that the holder cannot resolve at once.
const refusedStartDelay = 50 * time.Millisecond

// markStarted records that some task of a job is running or has run.
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
