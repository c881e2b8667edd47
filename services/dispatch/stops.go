// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"
)

// stopAttempt orders a worker to stop an attempt, which keeps its capacity until its run has ended.
func (h *holderState) stopAttempt(now time.Time, a *attempt) {
	if a.state == attemptStopping {
		return
	}
	a.state = attemptStopping
	if a.worker.attempts[a.runID()] == a {
		a.worker.addStopping(a)
	}
	h.markStateChange(now, a)
	a.stopConfirmed = false
	a.stopRequestedAt = now
	h.sendStop(now, a.worker, a.runID())
}

// sendStop sends a worker the order to stop a run.
func (h *holderState) sendStop(now time.Time, w *worker, run order.Run) {
	h.core.emit(exchange.StopRun{
		Worker: w.Incarnation, Address: w.Address, Epoch: h.epoch,
		Order: order.Stop{Run: run, Fence: h.fence(w)}, Timeout: h.orderTimeout(now),
	})
}

// hasUnconfirmedStop reports whether the worker has not confirmed some stop.
func (w *worker) hasUnconfirmedStop() bool {
	for _, a := range w.attempts {
		if a.state == attemptStopping && !a.stopConfirmed {
			return true
		}
	}
	return false
}

// resendStops sends the unanswered stops of a responding worker again.
func (h *holderState) resendStops(now time.Time, w *worker) {
	if w.failedRenewals > 0 || w.stoppingCount == 0 || !w.hasUnconfirmedStop() {
		return
	}
	for _, a := range w.sortedAttempts() {
		if a.state == attemptStopping && !a.stopConfirmed && now.Sub(a.stateSince) > h.adaptiveTimeout(now, stopRetryDelay) {
			h.markStateChange(now, a)
			h.sendStop(now, a.worker, a.runID())
		}
	}
}

// handleStopEnded applies the answer to a stop order. The attempt keeps its capacity until
// a report contains the end of the run.
func (h *holderState) handleStopEnded(now time.Time, e exchange.StopEnded) {
	w := h.currentWorker(e.Worker)
	if w == nil || e.Epoch != h.epoch {
		return
	}
	a := w.attempts[e.Run]
	if h.handleSuperseded(now, w, e.Answer, e.Fence) || a == nil || a.state != attemptStopping || a.stopConfirmed {
		return
	}
	switch {
	case e.Answer.IsFenced():
		// An order that was sent later, with a higher number, has arrived earlier.
		h.markStateChange(now, a)
		h.sendStop(now, w, e.Run)
	case e.Answer.Outcome == order.CarriedOut || e.Answer.Outcome == order.Refused:
		a.stopConfirmed = true
		h.markStateChange(now, a)
		h.renewSoon(now, w)
	}
}
