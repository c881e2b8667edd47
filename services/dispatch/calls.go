// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/services/jobrecords"
)

// submit accepts a job once the log has it. Submissions with the same ID are the same job.
func (h *holderState) submit(now time.Time, e exchange.Submitted) {
	if e.Caller != nil {
		e.Submission.Workspace = e.Caller.Workspace
	}
	if j := h.jobs[e.Submission.ID]; j != nil {
		if !e.Caller.MayActOn(j.workspace, j.queue) {
			h.replyUnavailable(e.Call, "a job cannot be submitted under this ID")
			return
		}
		if j.accepted {
			h.core.reply(e.Call, exchange.Answer{Outcome: exchange.OK, State: j.reportedState})
			return
		}
		if h.journal.isFailing(now) {
			h.core.reply(e.Call, exchange.Answer{Outcome: exchange.MaybeDone, Reason: "the log has not confirmed the job"})
			return
		}
		j.acceptCalls = append(j.acceptCalls, e.Call)
		return
	}
	if h.replyUndecodable(e.Call, e.Submission.ID, true) {
		return
	}
	switch {
	case h.shuttingDown:
		h.core.replyElsewhere(e.Call, "this box is handing the cell over")
		return
	case e.RetryAfter > 0:
		h.core.reply(e.Call, exchange.Answer{
			Outcome: exchange.Unavailable, Reason: "the holder is overloaded", RetryAfter: job.Milliseconds(e.RetryAfter.Milliseconds()),
		})
		return
	case h.journal.isFailing(now):
		h.replyUnavailable(e.Call, "the log is currently not accepting records")
		return
	}
	within, refusal := h.checkAdmission(now, &e.Submission)
	if !within && refusal == nil || refusal != nil && refusal.RetryAfter > 0 {
		h.core.emit(exchange.JobOverShare{Refused: refusal != nil})
	}
	if refusal != nil {
		if refusal.RetryAfter > 0 {
			h.shares.RecordRefusal(e.Submission.Workspace)
		}
		h.core.reply(e.Call, *refusal)
		return
	}
	j := h.addJob(now, jobrecords.Submission{
		Queue: h.core.config.Queues[e.Submission.Queue], ConfigVersion: h.core.config.Version, Submission: e.Submission, Accepted: h.core.unixMilli(now),
	})
	j.beyondShare = !within
	j.acceptCalls = append(j.acceptCalls, e.Call)
	h.journal.unloggedJobs = append(h.journal.unloggedJobs, j)
	h.requestEarlyAdvice(now, j)
}

// replyUnavailable replies that nothing was done and when to retry.
func (h *holderState) replyUnavailable(call exchange.CallID, reason string) {
	h.core.reply(call, exchange.Answer{
		Outcome: exchange.Unavailable, Reason: reason, RetryAfter: job.Milliseconds(noHolderRetryAfter.Milliseconds()),
	})
}

// cancel ends a job. The caller gets the reply once the log has the cancellation.
func (h *holderState) cancel(now time.Time, e exchange.CancelAsked) {
	if h.replyUndecodable(e.Call, e.Job, false) {
		return
	}
	j := h.jobs[e.Job]
	switch {
	case j == nil, !e.Caller.MayActOn(j.workspace, j.queue):
		h.core.reply(e.Call, exchange.Answer{Outcome: exchange.NoJob})
		return
	case j.reportedState.IsFinal():
		h.core.reply(e.Call, exchange.Answer{Outcome: exchange.OK, State: j.reportedState})
		return
	case h.journal.isFailing(now) && j.state.IsFinal():
		h.core.reply(e.Call, cancelUnsureAnswer)
		return
	}
	h.finishJob(now, j, job.Cancelled, "a caller cancelled it")
	j.cancelCalls = append(j.cancelCalls, e.Call)
	h.markDirty(j)
}

// replyState replies with a job's state in the log, or with running once one of its tasks has run.
func (h *holderState) replyState(e exchange.StateAsked) {
	if h.replyUndecodable(e.Call, e.Job, false) {
		return
	}
	j := h.jobs[e.Job]
	if j == nil || !e.Caller.MayActOn(j.workspace, j.queue) {
		h.core.reply(e.Call, exchange.Answer{Outcome: exchange.NoJob})
		return
	}
	state := j.reportedState
	if state == job.Queued && j.started {
		state = job.Running
	}
	h.core.reply(e.Call, exchange.Answer{Outcome: exchange.OK, State: state})
}

// replyCount replies with the number of accepted jobs of a queue of which no task has run yet.
func (h *holderState) replyCount(e exchange.CountAsked) {
	count := 0
	for _, j := range h.jobs {
		if j.queue == e.Queue && j.accepted && !j.started && !j.state.IsFinal() {
			count++
		}
	}
	h.core.reply(e.Call, exchange.Answer{Outcome: exchange.OK, Waiting: count})
}
