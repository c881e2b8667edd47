// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"errors"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/stream"
)

// handleJournalAppendEnded handles the end of the append in flight. ErrDuplicateSequence means that
// an earlier attempt of the same append succeeded. After ErrOutOfSequence it is not known what the log
// has, so a holder with a new epoch must read it again.
func (h *holderState) handleJournalAppendEnded(now time.Time, e exchange.AppendEnded) {
	j := &h.journal
	if j.batch == nil || !j.batch.sent || e.Number != j.batch.append.Writer.Number() {
		return
	}
	switch {
	case e.Err == nil || errors.Is(e.Err, stream.ErrDuplicateSequence):
		h.handleJournalAppended(now)
	case errors.Is(e.Err, stream.ErrFenced):
		h.core.stepDown("a later holder has appended to the log")
	case errors.Is(e.Err, stream.ErrOutOfSequence):
		h.core.stepDown("the log lacks an append that came before")
	default:
		h.retryAppend(now, e.Err)
	}
}

// retryAppend schedules the same append again after a failure. The log may have it already.
func (h *holderState) retryAppend(now time.Time, err error) {
	j := &h.journal
	j.batch.sent = false
	j.nextSendAt = now.Add(appendRetryDelay)
	if j.failingSince.IsZero() {
		j.failingSince = now
		h.core.logEvent("appending to the log failed", logField("error", err.Error()))
	}
	h.replyUnsure(j.batch)
	h.refuseWhileFailing(now)
}

// replyUnsure replies to the callers waiting for a batch that the outcome is unknown.
func (h *holderState) replyUnsure(b *batch) {
	for _, tj := range b.newJobs {
		h.replyToCalls(tj.acceptCalls, exchange.Answer{Outcome: exchange.MaybeDone, Reason: "the log has not confirmed the job"})
		tj.acceptCalls = nil
	}
	for i := range b.progressEntries {
		p := &b.progressEntries[i]
		h.replyToCalls(p.cancelCalls, cancelUnsureAnswer)
		p.cancelCalls = nil
	}
}

// refuseWhileFailing replies to all callers waiting for the log while appends to it fail.
func (h *holderState) refuseWhileFailing(now time.Time) {
	if !h.journal.isFailing(now) {
		return
	}
	if h.journal.batch != nil {
		h.replyUnsure(h.journal.batch)
	}
	h.refuseQueued()
}

// cancelUnsureAnswer is the reply to a caller whose cancellation waits for the log.
var cancelUnsureAnswer = exchange.Answer{Outcome: exchange.MaybeDone, Reason: "the log has not confirmed the cancellation"}

// refuseQueued replies to the callers waiting for a later append. Jobs that have not been in any
// append are dropped, so they never run.
func (h *holderState) refuseQueued() {
	for _, tj := range h.journal.unloggedJobs {
		for _, call := range tj.acceptCalls {
			h.replyUnavailable(call, "the log is currently not accepting records")
		}
		tj.acceptCalls = nil
		tj.state = job.Cancelled
		delete(h.jobs, tj.id)
	}
	h.journal.unloggedJobs = nil
	for _, tj := range h.journal.dirtyJobs {
		h.replyToCalls(tj.cancelCalls, cancelUnsureAnswer)
		tj.cancelCalls = nil
	}
}

// handleJournalAppended handles the success of the append in flight.
func (h *holderState) handleJournalAppended(now time.Time) {
	j := &h.journal
	b := j.batch
	j.batch = nil
	if !j.failingSince.IsZero() {
		h.core.logEvent("appending to the log works again", logField("after", now.Sub(j.failingSince).String()))
		j.failingSince = time.Time{}
	}
	for _, w := range b.recordedWorkers {
		w.logged.MarkLogged()
		h.refreshHealthOf(now, w.Name)
	}
	for _, tj := range b.newJobs {
		tj.accepted = true
		h.replyToCalls(tj.acceptCalls, exchange.Answer{Outcome: exchange.OK, State: tj.state})
		tj.acceptCalls = nil
		h.core.logEvent("job accepted", logField("job", string(tj.id)), logField("queue", tj.queue), logField("workspace", tj.workspace), logField("claim", h.epoch),
			logField("took", now.Sub(tj.acceptedAt).String()), logField("open_steps", len(h.openSteps)))
		h.openInstances(now, tj)
	}
	for _, p := range b.progressEntries {
		h.handleProgressAppended(now, p)
	}
	h.markEndsLogged(now, b.recordedEnds)
	h.startOrders.MarkLogged()
	h.resumeRepeats(now)
	h.startLoading()
	h.planDue = true
}

// handleProgressAppended handles one job's progress that is now in the log: it replies to the
// callers waiting for it, and the ends of runs may be acknowledged to the workers.
func (h *holderState) handleProgressAppended(now time.Time, p progressEntry) {
	p.job.reportedState = p.state
	h.replyToCalls(p.cancelCalls, exchange.Answer{Outcome: exchange.OK, State: p.state})
	for _, report := range p.ends {
		report.MarkLogged()
		h.renewSoon(now, report.Worker())
	}
	if p.state.IsFinal() {
		h.closeJob(p.job)
	}
}
