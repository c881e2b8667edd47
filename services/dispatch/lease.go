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
	"saddlevane/services/endreports"
	"saddlevane/services/timeouts"
	"saddlevane/services/transit"
)

// maxLeaseDuration returns how long a lease can last on the holder's clock, if the worker's clock is
// as slow as allowed.
func (h *holderState) maxLeaseDuration() time.Duration {
	return timeouts.MaxLeaseDuration(h.core.settings.Lease)
}

// clockNow returns the reading of the worker's clock at now.
func (w *worker) clockNow(now time.Time) order.WorkerClock {
	return w.clock + order.WorkerClock(now.Sub(w.clockAt).Milliseconds())
}

// leaseDuration returns how long a lease of the worker may last if it is extended now.
func (h *holderState) leaseDuration(w *worker) time.Duration {
	return min(h.core.settings.Lease, timeouts.LeaseWithin(w.logged.LeaseLimit()))
}

// extendLease extends the worker's lease from now on, and returns its end on the worker's clock. It
// returns 0 while the worker's clock is unknown.
func (h *holderState) extendLease(now time.Time, w *worker) order.WorkerClock {
	if w.clockAt.IsZero() {
		return 0
	}
	if lease := h.leaseDuration(w); lease > 0 {
		w.leaseExpiresBy = ordered.Later(w.leaseExpiresBy, now.Add(timeouts.MaxLeaseDuration(lease)))
		w.leaseEnd = max(w.leaseEnd, w.clockNow(now)+order.WorkerClock(lease.Milliseconds()))
	}
	return w.leaseEnd
}

// renewAll sends the renewals that are due, in a fixed order.
func (h *holderState) renewAll(now time.Time) {
	for _, w := range h.workersByName() {
		h.renew(now, w)
	}
}

// renewSoon moves the worker's next renewal forward to minRenewIntervalAfterEnds from now, so that one
// answer can report several ends. It does nothing after a failed renewal.
func (h *holderState) renewSoon(now time.Time, w *worker) {
	if at := now.Add(minRenewIntervalAfterEnds); at.Before(w.renewAt) && w.failedRenewals == 0 {
		w.renewAt = at
	}
}

// renew sends a renewal to the worker if one is due. A renewal extends the worker's lease and asks
// for its runs; if there is nothing else to report, it waits at the worker for the end of a run.
func (h *holderState) renew(now time.Time, w *worker) {
	if w.pendingRenewal != 0 || now.Before(w.renewAt) || w.renewAddress() == "" || !h.mayRenew(now) {
		return
	}
	if !h.knownPools[w.Pool] && len(w.attempts) == 0 && len(w.orphans) == 0 && !w.reportedEnds.HasPending() && !h.unreportedWorkers[w.Name] {
		// No job can be placed in the worker's pool, and none is running there.
		return
	}
	h.renewalsSent++
	w.pendingRenewal = h.renewalsSent
	r := order.Renew{Fence: h.fence(w), Acknowledged: w.reportedEnds.Acknowledge(h.canAcknowledgeEnds(now, w))}
	if w.failedRenewals == 0 {
		// The lease of a worker that does not answer must expire at some point, so it is not
		// extended.
		r.LeaseEnd = h.extendLease(now, w)
	}
	mayWait := w.reported && !w.incarnations.HasCandidate()
	if mayWait && (w.failedRenewals == 0 && !w.reportedEnds.HasPending() || len(w.attempts) == 0) {
		r.MaxWait = job.Milliseconds(h.renewWait(w).Milliseconds())
	}
	w.answerDue = now.Add(r.MaxWait.Duration())
	w.pendingFence, w.pendingAcknowledges = r.Fence, r.Acknowledged > 0
	if !w.reportedEnds.HasLogged() {
		w.noneLoggedAt = now
	}
	h.core.emit(exchange.Renew{
		Worker: w.Incarnation, Address: w.renewAddress(), Epoch: h.epoch, Renewal: w.pendingRenewal, Order: r,
		Timeout: h.adaptiveTimeout(now, renewMargin) + r.MaxWait.Duration(), GracePeriod: h.lateAnswerWindow(now, w),
	})
}

// canAcknowledgeEnds reports whether a renewal may acknowledge ends of runs. A later incarnation of
// the worker may receive the renewal and would take the acknowledgement for one of its own ends,
// which have the same numbers. That cannot happen if the worker answered the last renewal, no other
// incarnation is listed, all starts are answered, and no task started on the worker that may have
// ended by now can still be started by a later incarnation: that one, if it exists, then has no ends.
// While a start of an ended task is in transit, see package transit, no ends are acknowledged either.
func (h *holderState) canAcknowledgeEnds(now time.Time, w *worker) bool {
	hold := w.hold
	hold.Extend(h.inheritedTransit.UntilOn(w.Name))
	if w.failedRenewals > 0 || w.incarnations.HasCandidate() || hold.Applies(now, w.reportedEnds.Unacknowledged(), h.core.settings.MaxListedEnds) {
		return false
	}
	for _, a := range w.attempts {
		if a.state == attemptStarting || h.mayHaveEndedOnSuccessor(now, a) {
			return false
		}
	}
	return true
}

// mayHaveEndedOnSuccessor reports whether a later incarnation of the attempt's worker, if there is one, may have
// started the run and ended it by now.
func (h *holderState) mayHaveEndedOnSuccessor(now time.Time, a *attempt) bool {
	return a.mayStartOnSuccessor() && endreports.MayHaveEnded(now.Sub(a.firstOrderedAt), h.usualTime(a.step)) && !h.areOrdersOver(a)
}

// areOrdersOver reports whether the worker's current incarnation has answered a renewal after the last
// moment at which a copy of the attempt's start order could be carried out.
func (h *holderState) areOrdersOver(a *attempt) bool {
	lastOrderedBy := ordered.Later(a.lastOrderedAt, h.startedAt)
	return a.worker.answeredAt.Sub(lastOrderedBy) > transit.MaxDelay
}

// mayRenew reports whether leases may be extended. The next holder relies on this holder not
// extending any lease after its authority has ended.
func (h *holderState) mayRenew(now time.Time) bool {
	return h.core.authority.IsHolder(now) && !h.invitePending
}

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

// recordAnswerTime records how long the answer to a renewal took beyond its wait at the worker.
// That is unknown if the end of a run cut the wait short.
func (h *holderState) recordAnswerTime(now time.Time, w *worker, e exchange.RenewEnded) {
	if took := now.Sub(w.answerDue); took > 0 || len(e.Report.Ended) == 0 {
		h.answerDelays.Record(now, took)
	}
}

const (
	// renewWaitShare is the part of the usual time of the worker's shortest task for which a
	// renewal may wait there: if an answer is lost, the ends in it stay unknown until the next one.
	renewWaitShare = 0.5
	// minRenewWait is the minimum of that wait.
	minRenewWait = 200 * time.Millisecond
	// renewMargin is how much longer than its wait a renewal may take until it times out. Answers
	// usually arrive within some milliseconds.
	renewMargin = 200 * time.Millisecond
)

// idleRenewWait is how long a renewal of a worker without runs waits. It is answered earlier if the
// worker starts or ends a run, or stops answering.
const idleRenewWait = 5 * time.Second

// renewWait returns how long a renewal waits at the worker for the end of a run.
func (h *holderState) renewWait(w *worker) time.Duration {
	if h.isIdle(w) {
		return max(idleRenewWait, h.core.settings.RenewWait)
	}
	wait := h.core.settings.RenewWait
	if _, shared := w.tailBesideFillers(); shared {
		wait = min(maxServingWait, wait)
	}
	if w.logged.IsLeaseLimited() {
		wait = min(wait, max(minRenewWait, h.leaseDuration(w)/leaseWaitDivisor))
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

// isIdle reports whether a worker surely has no runs and nothing to report.
func (h *holderState) isIdle(w *worker) bool {
	return len(w.attempts) == 0 && len(w.orphans) == 0 && w.reported && w.failedRenewals == 0 && !w.reportedEnds.HasPending()
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
	h.recordWorker(now, w)
	if inherited && len(h.unreportedWorkers) == 0 {
		h.core.logEvent("all workers of earlier holders have reported their runs", logField("claim", h.epoch), logField("took", now.Sub(h.startedAt).String()))
	}
}

// nextRenewal returns when the next renewal of a worker is due that has just answered one.
func (h *holderState) nextRenewal(now time.Time, w *worker) time.Time {
	switch {
	case !w.reportedEnds.HasPending():
		return now
	case w.reportedEnds.HasLogged() && now.Sub(w.noneLoggedAt) > maxAcknowledgeDelay && h.canAcknowledgeEnds(now, w):
		// A busy worker always has runs that have started since its last report, except now.
		return now
	case w.reportedEnds.HasUnlogged():
		return now.Add(renewDelayWhileUnlogged)
	default:
		return now.Add(minRenewIntervalAfterEnds)
	}
}

// sweepWorkers sends the renewals that are due and releases the attempts of workers whose lease has
// expired.
func (h *holderState) sweepWorkers(now time.Time) {
	h.dropMissing(now)
	h.formerWorkers.Expire(now)
	for _, w := range h.workersByName() {
		if w.failedRenewals > 0 && now.After(w.leaseExpiresBy) {
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

// handleLeaseExpired releases the attempts of a worker whose lease has expired: the worker has
// certainly ended their runs.
func (h *holderState) handleLeaseExpired(now time.Time, w *worker) {
	if len(w.attempts) > 0 || w.reported || h.unreportedWorkers[w.Name] {
		h.core.logEvent("worker lease expired", logField("worker", w.Incarnation.String()), logField("tasks", len(w.attempts)),
			logField("lapsed_for", now.Sub(w.leaseExpiresBy).String()), logField("how", string(h.endingOf(now, w, w.incarnations.HasCandidate()))))
	}
	h.loseAttempts(now, w, nil, h.endingOf(now, w, w.incarnations.HasCandidate()), "the worker's lease has expired")
	h.forgetOrphans(w)
	if w.reported {
		w.incarnations.RaiseFence(h.fence(w))
	}
	w.reported = false
	delete(h.unreportedWorkers, w.Name)
	if w.logged.IsUnresponsive() {
		// The log must no longer list runs on this worker.
		h.recordUnresponsive(now, w)
	}
	if !w.presence.IsListed() {
		h.removeWorker(now, w)
	}
}
