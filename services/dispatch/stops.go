// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"
)

// stop orders the end of an attempt. Its room stays taken until it has ended.
func (h *holding) stop(now time.Time, a *attempt) {
	if a.state == stopping {
		return
	}
	a.state = stopping
	h.mark(now, a)
	a.confirmed = false
	a.stopAt = now
	h.orderStop(now, a.worker, a.name())
}

// orderStop sends a worker the order to end a run.
func (h *holding) orderStop(now time.Time, w *worker, run order.Run) {
	h.core.do(exchange.StopRun{Worker: w.Life, Address: w.Address, Epoch: h.epoch, Order: order.Stop{Run: run, Fence: h.fence(w)}, Timeout: h.orderTimeout(now)})
}

// awaitsStop says whether some stop was not confirmed.
func (w *worker) awaitsStop() bool {
	for _, a := range w.attempts {
		if a.state == stopping && !a.confirmed {
			return true
		}
	}
	return false
}

// resendStops sends stops again that had no answer.
func (h *holding) resendStops(now time.Time, w *worker) {
	if w.failures > 0 || !w.awaitsStop() {
		return
	}
	for _, a := range w.sortedAttempts() {
		if a.state == stopping && !a.confirmed && now.Sub(a.since) > h.adaptiveTimeout(now, stopAgain) {
			h.mark(now, a)
			h.orderStop(now, a.worker, a.name())
		}
	}
}

// stopEnded takes the end of a stop's call. The place stays taken until a report
// tells the end of the run.
func (h *holding) stopEnded(now time.Time, e exchange.StopEnded) {
	w := h.currentWorker(e.Worker)
	if w == nil || e.Epoch != h.epoch {
		return
	}
	if h.handleSuperseded(now, w, e.Answer, 0) {
		return
	}
	a := w.attempts[e.Run]
	if a == nil || a.state != stopping || a.confirmed {
		return
	}
	if e.Answer.Fate == order.Carried || e.Answer.Fate == order.Refused && e.Answer.Reason != order.Fenced {
		a.confirmed = true
		h.mark(now, a)
		h.renewSoon(now, w)
	}
}
