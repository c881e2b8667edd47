// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/mechanism"
	"saddlevane/services/estimates"
)

// slownessOf returns how slow a worker is compared with the whole fleet.
func (h *holderState) slownessOf(now time.Time, w *worker) estimates.Slowness {
	if !h.isEnabled(mechanism.SlowWorkers) {
		return estimates.Normal
	}
	return w.speed.Slowness(now, h.estimates.FleetLogRatio())
}

// learnSpeed updates the learned speed of a worker with the run time of a task that ended there.
// Members of a gang end together, so their run times say nothing about a single worker.
func (h *holderState) learnSpeed(now time.Time, a *attempt) {
	s := a.step
	if s.spec.Gang || s.spec.Service || a.adopted || a.resumed || a.state != attemptRunning {
		return
	}
	ratio := max(now.Sub(a.stateSince), estimates.MinTime).Seconds() / max(h.expectedTime(s), estimates.MinTime).Seconds()
	a.worker.speed.Observe(now, ratio)
	h.estimates.ObserveSpeed(ratio)
}
