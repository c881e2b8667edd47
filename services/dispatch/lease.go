// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/order"
	"saddlevane/modules/ordered"
	"saddlevane/services/timeouts"
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

// mayRenew reports whether leases may be extended. The next holder relies on this holder not
// extending any lease after its authority has ended.
func (h *holderState) mayRenew(now time.Time) bool {
	return h.core.authority.IsHolder(now) && !h.invitePending
}

// sweepWorkers sends the renewals that are due and releases the attempts of workers whose lease has
// expired.
func (h *holderState) sweepWorkers(now time.Time) {
	h.dropMissing(now)
	h.answeringByAddress = nil
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

// handleLeaseExpired handles that the lease of a worker which does not answer has expired. It is called
// at each sweep from then on; a worker that is not listed is removed.
func (h *holderState) handleLeaseExpired(now time.Time, w *worker) {
	if len(w.attempts) > 0 || len(w.orphans) > 0 || w.reported || h.unreportedWorkers[w.Name] {
		h.endLease(now, w)
	}
	if !w.presence.IsListed() {
		h.removeWorker(now, w)
	}
}

// endLease releases the attempts of a worker whose lease has expired: the worker has certainly ended
// their runs.
func (h *holderState) endLease(now time.Time, w *worker) {
	ending := h.lapsedEndingOf(now, w)
	h.core.logEvent("worker lease expired", logField("worker", w.Incarnation.String()), logField("tasks", len(w.attempts)),
		logField("lapsed_for", now.Sub(w.leaseExpiresBy).String()), logField("how", string(ending)))
	h.loseAttempts(now, w, nil, ending, "the worker's lease has expired")
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
}
