// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"
	"saddlevane/services/pace"
)

// Fillers live on processors that others leave idle, and disturb the tasks that
// serve beside them by amounts that nobody knows beforehand. Where a serving task's
// tail comes near its target, the fillers of its worker are throttled; where all
// tails are well below, they may work faster again.

const (
	// fullPace is the percentage of its speed at which a run begins.
	fullPace = pace.Full
	// unknownPace is the pace of a run that an earlier holder started.
	unknownPace = -1
	// throttleSettleTime is the time after which a change shows in the figures: half a
	// second that they cover, and 100 ms until it takes effect (the users' protocol).
	throttleSettleTime = 650 * time.Millisecond
	// maxServingWait is how long a look waits at a worker on which tasks serve beside
	// fillers, so that a tail over its target is seen in time.
	maxServingWait = 400 * time.Millisecond
)

// tailBesideFillers says whether tasks serve beside fillers on a worker, and which share
// of its target the worst tail has reached.
func (w *worker) tailBesideFillers() (worst float64, shared bool) {
	fillers := false
	for _, a := range w.attempts {
		spec := a.step.spec
		fillers = fillers || spec.Filler
		if spec.TailTarget > 0 {
			shared = true
			worst = max(worst, float64(a.figure)/float64(spec.TailTarget))
		}
	}
	return worst, shared && fillers
}

// throttleFillers sets the pace of a worker's fillers by the tails of what serves beside
// them.
func (h *holderState) throttleFillers(now time.Time, w *worker) {
	worst, shared := w.tailBesideFillers()
	if !shared {
		w.fillPace = fullPace
	} else if now.Sub(w.throttledAt) >= throttleSettleTime {
		h.updatePace(now, w, worst)
	}
	h.sendPace(now, w)
}

// updatePace sets the pace of a worker's fillers by the worst tail beside them, as a
// share of its target.
func (h *holderState) updatePace(now time.Time, w *worker, worst float64) {
	next := pace.Next(w.fillPace, worst)
	if next == w.fillPace {
		return
	}
	h.core.logEvent("fillers change their pace", logField("worker", w.Incarnation.String()), logField("percent", next), logField("before", w.fillPace),
		logField("tail_of_target", worst), logField("claim", h.epoch))
	w.fillPace, w.throttledAt = next, now
}

// sendPace orders the pace of a worker's fillers where they work at another.
func (h *holderState) sendPace(now time.Time, w *worker) {
	for _, a := range w.sortedAttempts() {
		if a.step.spec.Filler && a.state == attemptRunning && a.pace != w.fillPace && !a.paceOrdered {
			a.paceOrdered = true
			h.core.emit(exchange.ThrottleRun{Worker: w.Incarnation, Address: w.Address, Epoch: h.epoch, Order: order.Throttle{
				Run: a.runID(), Percent: w.fillPace, Fence: h.fence(w),
			}, Timeout: h.orderTimeout(now)})
		}
	}
}

// handleThrottleEnded takes the end of an order of a pace. One that may not have been
// carried out is given again at the next look.
func (h *holderState) handleThrottleEnded(e exchange.ThrottleEnded) {
	w := h.currentWorker(e.Worker)
	if w == nil || e.Epoch != h.epoch {
		return
	}
	a := w.attempts[e.Run]
	if a == nil {
		return
	}
	a.paceOrdered = false
	if e.Answer.Outcome == order.CarriedOut {
		a.pace = e.Percent
	}
}
