// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"maps"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/models/order"
	"saddlevane/modules/ordered"
	"saddlevane/services/ends"
	"saddlevane/services/lateness"
)

// maxLeaseDuration is how long a lease can last on the slowest clock allowed.
func (h *holderState) maxLeaseDuration() time.Duration {
	return lateness.MaxLeaseDuration(h.core.settings.Lease)
}

// clockNow returns what the worker's clock shows at now.
func (w *worker) clockNow(now time.Time) order.WorkerClock {
	return w.clock + order.WorkerClock(now.Sub(w.clockAt).Milliseconds())
}

// extendLease returns the end of a lease that begins at now, and notes it.
func (h *holderState) extendLease(now time.Time, w *worker) order.WorkerClock {
	if w.clockAt.IsZero() {
		return 0
	}
	w.leaseExpiresBy = ordered.Later(w.leaseExpiresBy, now.Add(h.maxLeaseDuration()))
	return w.clockNow(now) + order.WorkerClock(h.core.settings.Lease.Milliseconds())
}

// renewAll renews what is due, in a fixed order.
func (h *holderState) renewAll(now time.Time) {
	for _, w := range h.workersByName() {
		h.renew(now, w)
	}
}

// renewSoon looks at a worker again once some more ends may have come.
func (h *holderState) renewSoon(now time.Time, w *worker) {
	if at := now.Add(minRenewIntervalAfterEnds); at.Before(w.renewAt) && w.failures == 0 {
		w.renewAt = at
	}
}

// renew renews a worker's lease and asks what it runs, if that is due. The call
// waits at the worker for an end where there is nothing else to hear.
func (h *holderState) renew(now time.Time, w *worker) {
	if w.pendingRenewal != 0 || now.Before(w.renewAt) || w.renewAddress() == "" || !h.mayRenew(now) {
		return
	}
	if !h.knownPools[w.Pool] && len(w.attempts) == 0 && !h.unreportedWorkers[w.Name] {
		// No job could run there.
		return
	}
	h.renewalsSent++
	w.pendingRenewal = h.renewalsSent
	r := order.Renew{Fence: h.fence(w), Acknowledged: w.reportedEnds.Acknowledge(h.canAcknowledgeEnds(now, w))}
	if w.failures == 0 {
		// While a worker does not answer its lease must run out some time.
		r.LeaseEnd = h.extendLease(now, w)
	}
	mayWait := w.reported && !w.incarnations.HasCandidate()
	if mayWait && (w.failures == 0 && !w.reportedEnds.HasPending() || len(w.attempts) == 0) {
		r.MaxWait = job.Milliseconds(h.renewWait(w).Milliseconds())
	}
	w.answerDue = now.Add(r.MaxWait.Duration())
	h.core.emit(exchange.Renew{
		Worker: w.Incarnation, Address: w.renewAddress(), Epoch: h.epoch, Renewal: w.pendingRenewal, Order: r,
		Timeout: h.adaptiveTimeout(now, renewMargin) + r.MaxWait.Duration(), GracePeriod: h.lateAnswerWindow(now, w),
	})
}

// canAcknowledgeEnds says whether the life that is known is surely the present one, or has at least
// not ended any task since: it answered the last look, and told of all tasks started on it
// that may have ended.
func (h *holderState) canAcknowledgeEnds(now time.Time, w *worker) bool {
	if w.failures > 0 || w.incarnations.HasCandidate() {
		return false
	}
	for _, a := range w.attempts {
		if a.reportedAt.IsZero() && ends.MayHaveEnded(now.Sub(a.firstOrderedAt), h.usualTime(a.step)) {
			return false
		}
	}
	return true
}

// mayRenew says whether leases may be renewed: the next holder counts on it that
// those of this one run out after its authority has ended.
func (h *holderState) mayRenew(now time.Time) bool {
	return h.core.authority.Holds(now) && !h.invitePending
}

// handleRenewEnded takes the end of a renewal's call.
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
		// There is no life where another life's entry says, which may be old.
		h.handleRenewFailed(now, w, e)
	case h.handleSuperseded(now, w, e.Answer, e.Renewal):
	case carried && w.incarnations.RecordAnswer(w.Incarnation, e.Report.Incarnation, e.Renewal):
		h.handleWorkerRestart(now, w, e)
	case carried:
		h.handleRenewed(now, w, e)
	default:
		h.handleRenewFailed(now, w, e)
	}
}

// maxOverdueRenewals is how many looks at a worker may be overdue and still be listened for: each
// holds a connection.
const maxOverdueRenewals = 3

// lateAnswerWindow returns for how long the answer to a look still counts when it is overdue: as
// long as the worker's lease may last, so that no end is heard too late because this
// process, its link or the worker was slow.
func (h *holderState) lateAnswerWindow(now time.Time, w *worker) time.Duration {
	maps.DeleteFunc(w.overdue, func(_ int64, due time.Time) bool { return now.Sub(due) > h.maxLeaseDuration() })
	if len(w.overdue) >= maxOverdueRenewals {
		return 0
	}
	return h.maxLeaseDuration()
}

// handleLateRenewEnded takes the answer to a look that has run out of its time. Ends have numbers
// and stay true; what ran by then may have ended since, so the rest tells nothing.
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
		// It may be an earlier life or a later one.
		h.handleOtherIncarnationAnswer(now, e)
	case w.incarnations.RecordAnswer(w.Incarnation, e.Report.Incarnation, 0):
		h.handleWorkerRestart(now, w, e)
	default:
		h.applyEnds(now, w, e.Report.Ended)
	}
}

// recordAnswerTime takes how long the answer to a look took beside its wait. Where an end cut
// the wait short that is not known.
func (h *holderState) recordAnswerTime(now time.Time, w *worker, e exchange.RenewEnded) {
	if took := now.Sub(w.answerDue); took > 0 || len(e.Report.Ended) == 0 {
		h.answerDelays.Record(now, took)
	}
}

const (
	// renewWaitShare is the part of the usual time of the shortest task on a worker that a
	// look may wait there: a look whose answer is lost keeps an end from being known.
	renewWaitShare = 0.5
	// minRenewWait bounds that wait from below.
	minRenewWait = 200 * time.Millisecond
	// renewMargin is how much longer than it waits a look may take: answers come within
	// some milliseconds.
	renewMargin = 200 * time.Millisecond
)

// renewWait returns how long a look waits at a worker for an end.
func (h *holderState) renewWait(w *worker) time.Duration {
	wait := h.core.settings.RenewWait
	if _, shared := w.tailBesideFillers(); shared {
		wait = min(maxServingWait, wait)
	}
	if !h.isEnabled(mechanism.ShortRenewals) {
		return wait
	}
	for _, a := range w.attempts {
		if !a.step.spec.Service {
			wait = min(wait, max(minRenewWait, time.Duration(renewWaitShare*float64(h.usualTime(a.step)))))
		}
	}
	return wait
}

const (
	reasonOtherIncarnation = "another worker answers at its address"
	reasonRestarted        = "it has started again"
	reasonLaterHolder      = "a worker has seen a later holder"
)

// handleSuperseded acts on an answer which says that the worker meant, or the authority of
// this holder, has ended. It returns false on any other answer. Look is the number of the
// look, or 0 for other orders.
func (h *holderState) handleSuperseded(now time.Time, w *worker, a order.Answer, look int64) bool {
	switch {
	case a.Outcome == order.WrongIncarnation:
		h.handleIncarnationGone(now, w)
		return true
	case w.incarnations.IsFencedByLaterHolder(a, look):
		h.core.stepDown(reasonLaterHolder)
		return true
	default:
		return false
	}
}

// handleRenewFailed tries again soon, and ever less often at a worker that runs nothing.
func (h *holderState) handleRenewFailed(now time.Time, w *worker, e exchange.RenewEnded) {
	w.failures++
	if len(w.overdue) < maxOverdueRenewals {
		w.overdue[e.Renewal] = w.answerDue
	}
	if w.failures == 1 {
		if e.Answer.Reason == order.ConnectionClosed {
			// Also where the wait was just over: then the crash took the answer with it.
			w.aliveAt = now
		}
		h.handleWorkerUnresponsive(now, w)
		h.core.logEvent("worker does not answer", logField("worker", w.Incarnation.String()), logField("problem", e.Answer.Problem), logField("tasks", len(w.attempts)))
	}
	w.renewAt = now.Add(renewRetryDelay)
	if w.failures == 1 {
		// Mostly one answer was lost.
		w.renewAt = now
		if e.Answer.Reason == order.ConnectionClosed || e.Answer.Outcome == order.NotDone {
			w.incarnations.RaiseFence(h.renewalsSent)
		}
		h.renew(now, w)
	}
	if len(w.attempts) == 0 {
		w.renewAt = now.Add(min(renewRetryDelay*time.Duration(w.failures), maxIdleRenewRetryDelay))
	}
}

// handleRenewed takes a worker's report and asks again.
func (h *holderState) handleRenewed(now time.Time, w *worker, e exchange.RenewEnded) {
	if w.failures > 0 {
		h.core.logEvent("worker answers again", logField("worker", w.Incarnation.String()), logField("failures", w.failures))
	}
	w.failures = 0
	w.reportedEnds.ConfirmAck()
	h.setBirthTime(w, e.Report.Incarnation)
	h.recordResponsive(w)
	if w.presence.RecordAnswer() {
		h.blame.RecordAnswer(w.Incarnation)
	}
	clear(w.overdue)
	w.answeredAt, w.aliveAt = now, now
	h.recordAnswerTime(now, w, e)
	w.unansweredSince = time.Time{}
	w.clock, w.clockAt = e.Report.Clock, now
	h.applyReport(now, w, e)
	h.confirmFence(now, w)
	if !w.reported {
		w.reported = true
		h.inheritedStarts.Forget(w.Incarnation)
		h.blame.RecordReport(w.Incarnation, w.runsUnit)
		inherited := h.unreportedWorkers[w.Name]
		delete(h.unreportedWorkers, w.Name)
		h.recordWorker(w)
		if inherited && len(h.unreportedWorkers) == 0 {
			h.core.logEvent("all workers of earlier holders have told what they run", logField("claim", h.epoch), logField("took", now.Sub(h.startedAt).String()))
		}
	}
	h.planDue = true
	w.renewAt = now
	if w.reportedEnds.HasPending() {
		w.renewAt = now.Add(minRenewIntervalAfterEnds)
		if w.reportedEnds.IsLastUnlogged() {
			w.renewAt = now.Add(renewDelayWhileUnlogged)
		}
		return
	}
	h.renew(now, w)
}

// sweepWorkers renews leases that are due and gives up workers whose lease has
// run out.
func (h *holderState) sweepWorkers(now time.Time) {
	h.dropMissing(now)
	h.formerWorkers.Expire(now)
	for _, w := range h.workersByName() {
		if w.failures > 0 && now.After(w.leaseExpiresBy) {
			h.handleLeaseExpired(now, w)
		} else {
			h.resendStops(now, w)
		}
		h.refreshUnresponsiveRecord(now, w)
		h.expireTrialPreparation(now, w)
		if h.phase == phaseActive {
			h.renew(now, w)
		}
	}
}

// handleLeaseExpired frees the tasks of a worker that has surely ended them.
func (h *holderState) handleLeaseExpired(now time.Time, w *worker) {
	if len(w.attempts) > 0 || w.reported || h.unreportedWorkers[w.Name] {
		h.core.logEvent("worker's lease has run out", logField("worker", w.Incarnation.String()), logField("tasks", len(w.attempts)),
			logField("lapsed_for", now.Sub(w.leaseExpiresBy).String()), logField("how", string(h.endingOf(now, w, w.incarnations.HasCandidate()))))
	}
	h.loseAttempts(now, w, nil, h.endingOf(now, w, w.incarnations.HasCandidate()), "the worker's lease has run out")
	if w.reported {
		w.incarnations.RaiseFence(h.renewalsSent)
	}
	w.reported = false
	delete(h.unreportedWorkers, w.Name)
	if w.unresponsive.written {
		// Nothing runs on it any more.
		h.recordUnresponsive(now, w)
	}
	if !w.presence.IsListed() {
		h.removeWorker(now, w)
	}
}
