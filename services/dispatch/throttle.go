// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"
	"saddlevane/services/throttling"
)

// Filler tasks run on processors that other tasks leave idle, and slow down the serving tasks on
// the same worker by an amount that is not known beforehand. When the tail latency of a serving
// task comes near its target, the fillers on its worker are throttled; when all tail latencies are
// well below their targets, the fillers are sped up again.

const (
	// fullPace is the pace at which a run starts, in percent of full speed.
	fullPace = throttling.Full
	// unknownPace is the pace of a run that an earlier holder started, that a later incarnation may have
	// started, or whose last pace order is unanswered: an earlier order of another pace may apply to it.
	unknownPace = -1
	// maxServingWait limits how long a renewal waits at a worker that runs serving tasks and
	// fillers, so that a tail latency above its target is seen in time.
	maxServingWait = 400 * time.Millisecond
)

// tailBesideFillers reports whether a worker runs both serving tasks and fillers, and the highest
// tail latency of the serving tasks as a fraction of its target.
func (w *worker) tailBesideFillers() (worstTail float64, shared bool) {
	fillers := false
	for _, a := range w.attempts {
		spec := a.step.spec
		fillers = fillers || spec.Filler
		if spec.TailTarget > 0 {
			shared = true
			worstTail = max(worstTail, float64(a.measurement)/float64(spec.TailTarget))
		}
	}
	return worstTail, shared && fillers
}

// throttleFillers adjusts the pace of a worker's fillers to the tail latencies of the serving tasks
// on it.
func (h *holderState) throttleFillers(now time.Time, w *worker) {
	worstTail, shared := w.tailBesideFillers()
	if !shared {
		w.fillerPace.Reset()
	} else if before := w.fillerPace.Percent(); w.fillerPace.Adjust(now, worstTail) {
		h.core.logEvent("pace of fillers changed", logField("worker", w.Incarnation.String()), logField("percent", w.fillerPace.Percent()), logField("before", before),
			logField("tail_of_target", worstTail), logField("claim", h.epoch))
	}
	h.sendPace(now, w)
}

// sendPace orders w.fillerPace for each of the worker's fillers that runs at another pace.
func (h *holderState) sendPace(now time.Time, w *worker) {
	percent := w.fillerPace.Percent()
	for _, a := range w.sortedAttempts() {
		if a.step.spec.Filler && a.state == attemptRunning && a.pace != percent && !a.paceOrdered {
			a.paceOrdered = true
			h.core.emit(exchange.ThrottleRun{Worker: w.Incarnation, Address: w.Address, Epoch: h.epoch, Order: order.Throttle{
				Run: a.runID(), Percent: percent, Fence: h.fence(w),
			}, Timeout: h.orderTimeout(now)})
		}
	}
}

// handleThrottleEnded handles the answer to a pace order. An order that may not have been carried
// out is repeated after the next renewal. It may still be carried out later, so later orders get a
// higher fence number, under which the worker refuses it.
func (h *holderState) handleThrottleEnded(e exchange.ThrottleEnded) {
	w := h.currentWorker(e.Worker)
	if w == nil || e.Epoch != h.epoch {
		return
	}
	if e.Answer.Outcome == order.Unknown {
		w.incarnations.RaiseFence(e.Fence)
	}
	a := w.attempts[e.Run]
	if a == nil {
		return
	}
	a.paceOrdered = false
	switch e.Answer.Outcome {
	case order.CarriedOut:
		a.pace = e.Percent
	case order.Unknown:
		a.pace = unknownPace
	}
}
