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

// journalAppendEnded takes the end of the append under way. One that the log has seen
// before is in the log.
func (h *holding) journalAppendEnded(now time.Time, e exchange.AppendEnded) {
	j := &h.journal
	if j.batch == nil || !j.batch.sent || e.Number != j.batch.append.Writer.Number() {
		return
	}
	switch {
	case e.Err == nil || errors.Is(e.Err, stream.ErrDone):
		h.journalAppended(now)
	case errors.Is(e.Err, stream.ErrFenced):
		h.core.stepDown("a later holder has appended")
	default:
		h.retryAppend(now, e.Err)
	}
}

// retryAppend sends the same append again; it may be in the log already.
func (h *holding) retryAppend(now time.Time, err error) {
	j := &h.journal
	j.batch.sent = false
	j.sendAt = now.Add(appendAgain)
	if j.failingSince.IsZero() {
		j.failingSince = now
		h.core.note("the log does not keep records", field("error", err.Error()))
	}
	h.answerUnsure(j.batch)
	h.refuseWhileFailing(now)
}

// answerUnsure tells the callers of a batch that its fate is not known.
func (h *holding) answerUnsure(b *batch) {
	for _, s := range b.accepts {
		h.answer(s.waitAccept, exchange.Answer{Outcome: exchange.Unsure, Reason: "the log has not confirmed the job"})
		s.waitAccept = nil
	}
	for i := range b.progress {
		p := &b.progress[i]
		h.answer(p.cancels, unsureCancel)
		p.cancels = nil
	}
}

// refuseWhileFailing lets no caller wait for a log that keeps nothing.
func (h *holding) refuseWhileFailing(now time.Time) {
	if !h.journal.failing(now) {
		return
	}
	if h.journal.batch != nil {
		h.answerUnsure(h.journal.batch)
	}
	h.refuseQueued()
}

// unsureCancel is what a caller is told whose cancellation waits for the log.
var unsureCancel = exchange.Answer{Outcome: exchange.Unsure, Reason: "the log has not confirmed the cancellation"}

// refuseQueued answers the callers who wait for a later append. Jobs that were
// in none are forgotten, so they never run.
func (h *holding) refuseQueued() {
	for _, s := range h.journal.accepts {
		for _, call := range s.waitAccept {
			h.replyUnavailable(call, "the log keeps no records at present")
		}
		s.waitAccept = nil
		s.state = job.Cancelled
		delete(h.jobs, s.id)
	}
	h.journal.accepts = nil
	for _, s := range h.journal.dirty {
		h.answer(s.waitCancel, unsureCancel)
		s.waitCancel = nil
	}
}

// journalAppended acts on what is now in the log.
func (h *holding) journalAppended(now time.Time) {
	j := &h.journal
	b := j.batch
	j.batch = nil
	if !j.failingSince.IsZero() {
		h.core.note("the log keeps records again", field("after", now.Sub(j.failingSince).String()))
		j.failingSince = time.Time{}
	}
	for _, r := range b.recorded {
		r.worker.recorded = r.worker.recorded || r.number == r.worker.records
	}
	for _, s := range b.accepts {
		s.accepted = true
		h.answer(s.waitAccept, exchange.Answer{Outcome: exchange.OK, State: s.state})
		s.waitAccept = nil
		h.core.note("job accepted", field("job", string(s.id)), field("queue", s.queue), field("workspace", s.workspace), field("claim", h.epoch),
			field("took", now.Sub(s.acceptedAt).String()), field("open_steps", len(h.open)))
		h.opened(now, s)
	}
	for _, p := range b.progress {
		h.progressAppended(now, p)
	}
	h.fenced()
	h.planDue = true
}

// progressAppended acts on one job's progress that is now in the log: callers are told
// and workers may forget the ends.
func (h *holding) progressAppended(now time.Time, p batched) {
	p.job.shown = p.state
	h.answer(p.cancels, exchange.Answer{Outcome: exchange.OK, State: p.state})
	for _, n := range p.ends {
		n.MarkLogged()
		h.renewSoon(now, n.Worker())
	}
	if p.state.Final() {
		h.close(p.job)
	}
}
