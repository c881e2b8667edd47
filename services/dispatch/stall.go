// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/mechanism"
	"saddlevane/models/order"
	"saddlevane/modules/ordered"
	"saddlevane/services/delays"
	"saddlevane/services/timeouts"
)

// A worker can keep answering and report a run as running although the run is stalled. Stalled runs
// are detected by the progress in the worker's reports.

// fullProgress is the progress of a run that is about to end, in percent.
const fullProgress = 100

// observe records a worker's report of a running attempt.
func (a *attempt) observe(now time.Time, r order.Running) {
	a.measurement, a.reportedAt = r.Measurement, now
	if r.Progress > a.progress {
		a.progress, a.progressAt = r.Progress, now
	}
}

// isStalled reports whether a run has made no progress for longer than it should take. Services
// make no progress once they have started.
func (h *holderState) isStalled(a *attempt) bool {
	if a.state != attemptRunning || a.step.spec.Service || a.step.spec.Filler || a.progress >= fullProgress {
		return false
	}
	return a.reportedAt.Sub(ordered.Later(a.stateSince, a.progressAt)) > h.stallTimeout(a)
}

// stallTimeout returns how long a run may go without progress.
func (h *holderState) stallTimeout(a *attempt) time.Duration {
	return timeouts.StallTimeout(timeouts.RunProgress{
		UsualTime: max(h.usualTime(a.step), a.step.spec.Estimate.Duration()), Progress: a.progress, ProgressTime: a.progressAt.Sub(a.stateSince),
		Resumed: a.resumed || a.adopted,
	})
}

// moveStalled stops the stalled runs on a worker, so that their tasks start elsewhere, and excludes
// the worker for a while. A gang is stopped only if all its members are stalled.
func (h *holderState) moveStalled(now time.Time, w *worker) {
	if !h.isEnabled(mechanism.MovedRuns) {
		return
	}
	for _, a := range w.sortedAttempts() {
		if !h.isStalled(a) || a.step.spec.Gang && !h.isGangStalled(a.step) {
			continue
		}
		h.core.logEvent("stalled run is moved", logField("job", string(a.step.job.id)), logField("task", a.runID().Task.String()),
			logField("run", a.run), logField("worker", w.Incarnation.String()), logField("progress", a.progress),
			logField("ran", now.Sub(a.stateSince).String()),
			logField("usual", h.usualTime(a.step).String()))
		w.excludedUntil = ordered.Later(w.excludedUntil, now.Add(excludeFor))
		a.task().runs.RecordInterruption(delays.RunStalled)
		if a.step.spec.Gang {
			h.restartGang(now, a.step, a.run)
		} else {
			h.stopAttempt(now, a)
		}
	}
}

// isGangStalled reports whether all members of a gang are stalled.
func (h *holderState) isGangStalled(s *step) bool {
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a == nil || !h.isStalled(a) {
			return false
		}
	}
	return true
}
