// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/models/order"
)

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
