// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/mechanism"
)

// minProgressForEstimate is the progress, in percent, from which a run's own speed predicts its
// end better than the usual run time does.
const minProgressForEstimate = 10

// remainingCriticalPath returns the expected time from now to the end of the longest chain of
// steps that begins with a step. If all tasks of the step that are not done are placed, only
// their remaining run time counts: if the full run time counted, a step that is about to end
// on time would be taken for late and be preempted.
func (h *holderState) remainingCriticalPath(now time.Time, s *step) time.Duration {
	if !h.isEnabled(mechanism.RemainingWork) || s.unplacedTasks > 0 || s.placedTasks == 0 || s.spec.Service {
		return s.criticalPath
	}
	longest := time.Duration(0)
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil && !s.tasks[i].done {
			longest = max(longest, h.remainingRunTime(now, a))
		}
	}
	return s.criticalPathAfter + longest
}

// remainingRunTime returns how much longer a run is expected to take, by its own speed if it
// has made enough progress, else by the usual run time of such steps on its worker.
func (h *holderState) remainingRunTime(now time.Time, a *attempt) time.Duration {
	total, done := h.speedOf(now, a.worker).TimeFor(h.usualTime(a.step)), float64(a.progress)/fullProgress
	if a.state != attemptRunning {
		return total
	}
	progressAt := a.stateSince
	if !a.progressAt.IsZero() {
		progressAt = a.progressAt
	}
	if a.progress >= minProgressForEstimate && !a.resumed && !a.adopted {
		total = time.Duration(float64(progressAt.Sub(a.stateSince)) / done)
	}
	return max(0, time.Duration((1-done)*float64(total))-now.Sub(progressAt))
}
