// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/mechanism"
)

// minProgressForEstimate is the progress, in percent, from which a run's own speed tells better
// than the usual time when it will end.
const minProgressForEstimate = 10

// remainingCriticalPath returns the longest chain of work from a step on at now: of a step that is
// all at work only what remains of it. Counted whole, a step would be taken for late,
// and give way to others, while it is about to end on time.
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

// remainingRunTime returns how much longer a run should take: by its own progress if that
// tells enough, else by what its like usually take.
func (h *holderState) remainingRunTime(now time.Time, a *attempt) time.Duration {
	total, done := h.usualTime(a.step), float64(a.progress)/fullProgress
	if a.state != attemptRunning {
		return total
	}
	toldAt := a.stateSince
	if !a.progressAt.IsZero() {
		toldAt = a.progressAt
	}
	if a.progress >= minProgressForEstimate && !a.resumed && !a.adopted {
		total = time.Duration(float64(toldAt.Sub(a.stateSince)) / done)
	}
	return max(0, time.Duration((1-done)*float64(total))-now.Sub(toldAt))
}
