// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/mechanism"
	"saddlevane/services/speeds"
)

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
	usual := h.speedOf(now, a.worker).TimeFor(h.usualTime(a.step))
	if a.state != attemptRunning {
		return usual
	}
	m := speeds.Member{Worker: a.worker.Name, Done: float64(a.progress) / fullProgress}
	if !a.progressAt.IsZero() {
		m.Ran = a.progressAt.Sub(a.stateSince)
	}
	return m.Remaining(now.Sub(a.stateSince), usual, !a.resumed && !a.adopted)
}
