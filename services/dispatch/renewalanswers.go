// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"maps"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"
)

// handleRenewEnded handles the end of a renewal call.
func (h *holderState) handleRenewEnded(now time.Time, e exchange.RenewEnded) {
	if e.Epoch != h.epoch {
		return
	}
	w := h.currentWorker(e.Worker)
	if w == nil {
		h.handleOtherIncarnationAnswer(now, e)
		return
	}
	if e.Renewal != w.pendingRenewal {
		h.handleLateRenewEnded(now, w, e)
		return
	}
	w.pendingRenewal = 0
	carried := e.Answer.Outcome == order.CarriedOut
	switch {
	case e.Answer.Outcome == order.WrongIncarnation && w.renewAddress() != w.Address:
		// The address is that of another incarnation's entry, which may be outdated.
		h.handleRenewFailed(now, w, e)
	case h.handleSuperseded(now, w, e.Answer, w.pendingFence):
	case e.Answer.IsFenced():
		// An order that was sent later, with a higher number, has arrived earlier.
		w.renewAt = now
		h.renew(now, w)
	case carried && w.incarnations.RecordAnswer(w.Incarnation, e.Report.Incarnation, e.Renewal):
		h.handleWorkerRestart(now, w, e)
	case carried:
		h.handleRenewed(now, w, e)
	default:
		h.handleRenewFailed(now, w, e)
	}
}

const (
	reasonOtherIncarnation = "another incarnation answers at its address"
	reasonRestarted        = "the worker has restarted"
	reasonLaterHolder      = "a worker has seen a later holder"
	reasonFencesUsed       = "the fence numbers of the claim are used up"
	reasonRunsUsed         = "the run numbers of the claim are used up"
)

// handleSuperseded handles an answer saying that the addressed incarnation has ended, or that the
// worker has seen a later holder, which ends this holder's authority. It returns false for any
// other answer. fence is the fence number of the order.
func (h *holderState) handleSuperseded(now time.Time, w *worker, a order.Answer, fence int64) bool {
	switch {
	case a.Outcome == order.WrongIncarnation:
		h.handleWrongIncarnation(now, w)
		return true
	case w.incarnations.IsFencedByLaterHolder(a, fence):
		h.core.stepDown(reasonLaterHolder)
		return true
	default:
		return false
	}
}

// handleRenewed applies the worker's report and schedules the next renewal.
func (h *holderState) handleRenewed(now time.Time, w *worker, e exchange.RenewEnded) {
	if w.failedRenewals > 0 {
		h.core.logEvent("worker responds again", logField("worker", w.Incarnation.String()), logField("failures", w.failedRenewals), logField("lease", h.leaseDuration(w).String()))
	}
	w.failedRenewals = 0
	w.reportedEnds.ConfirmAck()
	h.setBirthTime(now, w, e.Report.Incarnation)
	h.recordResponsive(now, w)
	if w.presence.RecordAnswer() {
		h.blame.RecordResponsive(w.Incarnation)
	}
	clear(w.overdue)
	w.answeredAt, w.aliveAt = now, now
	h.recordAnswerTime(now, w, e)
	w.unansweredSince = time.Time{}
	w.clock, w.clockAt = e.Report.Clock, now
	h.applyReport(now, w, e)
	h.confirmFence(now, w)
	if !w.reported {
		h.resolveMissing(now, w)
	}
	if !w.reported && !h.mayOmitEnds(e.Report) {
		h.recordFirstReport(now, w)
	}
	h.planDue = true
	w.renewAt = h.nextRenewal(now, w)
	h.renew(now, w)
}

// recordFirstReport records that a worker has reported all its runs to this holder.
func (h *holderState) recordFirstReport(now time.Time, w *worker) {
	w.reported = true
	h.inheritedStarts.Forget(w.Incarnation)
	h.blame.RecordReport(w.Incarnation, w.runsBlameUnit)
	inherited := h.unreportedWorkers[w.Name]
	delete(h.unreportedWorkers, w.Name)
	if !w.logged.IsAnswering() {
		h.recordAnswering(now, w)
	}
	if inherited && len(h.unreportedWorkers) == 0 {
		h.core.logEvent("all workers of earlier holders have reported their runs", logField("claim", h.epoch), logField("took", now.Sub(h.startedAt).String()))
	}
}

// recordAnswerTime records how long the answer to a renewal took beyond its wait at the worker.
// That is unknown if the end of a run cut the wait short.
func (h *holderState) recordAnswerTime(now time.Time, w *worker, e exchange.RenewEnded) {
	if took := now.Sub(w.answerDue); took > 0 || len(e.Report.Ended) == 0 {
		h.answerDelays.Record(now, took)
	}
}

// handleRenewFailed schedules another renewal after a failed one: at once after the first failure,
// later at intervals of renewRetryDelay, which grow up to maxIdleRenewRetryDelay for a worker
// without attempts.
func (h *holderState) handleRenewFailed(now time.Time, w *worker, e exchange.RenewEnded) {
	w.failedRenewals++
	if len(w.overdue) < maxOverdueRenewals {
		w.overdue[e.Renewal] = w.answerDue
	}
	if w.failedRenewals == 1 {
		if e.Answer.Reason == order.ConnectionClosed {
			// The worker was alive until it closed the connection, even if the renewal's wait had
			// just ended: the crash then prevented the answer.
			w.aliveAt = now
		}
		h.handleWorkerUnresponsive(now, w)
		h.core.logEvent("worker stopped responding", logField("worker", w.Incarnation.String()), logField("problem", e.Answer.Problem), logField("tasks", len(w.attempts)))
	}
	w.renewAt = now.Add(renewRetryDelay)
	if w.failedRenewals == 1 {
		// In most cases a single answer was lost, so the next renewal is sent at once.
		w.renewAt = now
		// The worker may have restarted, and its later incarnation must not carry out this renewal,
		// which extends a lease by the clock of the earlier one and may acknowledge ends. The repeated
		// renewals do neither.
		w.incarnations.RaiseFence(h.fence(w))
		h.renew(now, w)
	}
	if len(w.attempts) == 0 {
		w.renewAt = now.Add(min(renewRetryDelay*time.Duration(w.failedRenewals), maxIdleRenewRetryDelay))
	}
}

// maxOverdueRenewals bounds the timed-out renewals of one worker whose answers are still accepted:
// each of them holds a connection.
const maxOverdueRenewals = 3

// lateAnswerWindow returns for how long after the timeout of a renewal its answer is still
// accepted: as long as the worker's lease may last, so that no end of a run is missed because this
// process, its link or the worker was slow.
func (h *holderState) lateAnswerWindow(now time.Time, w *worker) time.Duration {
	maps.DeleteFunc(w.overdue, func(_ int64, due time.Time) bool { return now.Sub(due) > h.maxLeaseDuration() })
	if len(w.overdue) >= maxOverdueRenewals {
		return 0
	}
	return h.maxLeaseDuration()
}

// handleLateRenewEnded handles the answer to a renewal that has timed out. The ends in it are
// numbered and stay valid. The runs in it may have ended since, so the rest is ignored, unless the answer
// shows that the worker has restarted: until the next answer nothing else is known of that incarnation.
func (h *holderState) handleLateRenewEnded(now time.Time, w *worker, e exchange.RenewEnded) {
	due, waited := w.overdue[e.Renewal]
	delete(w.overdue, e.Renewal)
	if e.Answer.Outcome != order.CarriedOut {
		return
	}
	if waited {
		h.answerDelays.Record(now, now.Sub(due))
	}
	switch {
	case w.DiffersFrom(e.Report.Incarnation) && e.Worker.BornUnixMilli == 0:
		// The answer may come from an earlier incarnation or from a later one.
		h.handleOtherIncarnationAnswer(now, e)
	case w.incarnations.RecordAnswer(w.Incarnation, e.Report.Incarnation, 0):
		h.handleWorkerRestart(now, w, e)
	default:
		h.applyEnds(now, w, e.Report.Ended)
	}
}
