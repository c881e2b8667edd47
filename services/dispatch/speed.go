// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/mechanism"
	"saddlevane/services/learned"
)

// slownessOf returns how slow a worker is among all.
func (h *holderState) slownessOf(now time.Time, w *worker) learned.Slowness {
	if !h.isEnabled(mechanism.SlowWorkers) {
		return learned.Normal
	}
	return w.speed.Slowness(now, h.history.FleetSpeed())
}

// learnSpeed takes how long a task took on its worker. Members of a gang end
// together, so they tell nothing of one worker.
func (h *holderState) learnSpeed(now time.Time, a *attempt) {
	s := a.step
	if s.spec.Gang || s.spec.Service || a.adopted || a.resumed || a.state != attemptRunning {
		return
	}
	ratio := max(now.Sub(a.stateSince), learned.MinTime).Seconds() / max(h.expectedTime(s), learned.MinTime).Seconds()
	a.worker.speed.Observe(now, ratio)
	h.history.ObserveSpeed(ratio)
}
