// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package delays

import (
	"cmp"
	"time"
)

// StartTimes holds the times at which the present holder started a task. The zero value is that
// of a task that was not started.
type StartTimes struct {
	// firstAt and lastAt are the times of the first and the last start. restartCause is the
	// cause of the first restart, or "".
	firstAt, lastAt time.Time
	restartCause    Cause
}

// RecordStart records a start of the task.
func (s *StartTimes) RecordStart(now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
	}
	s.lastAt = now
}

// RecordInterruption records why the task has to be started again. Only the first cause counts.
func (s *StartTimes) RecordInterruption(cause Cause) {
	if s.restartCause == "" {
		s.restartCause = cause
	}
}

// Delays returns the delays of a step that ends now, where this is the last of its tasks to end.
// The step was ready to run at openedAt, its work was expected to take the time expected, and waits
// holds the causes for which it waited before its first start.
func (s *StartTimes) Delays(now, openedAt time.Time, expected time.Duration, waits Totals) Totals {
	totals := Totals{}
	if s.lastAt.IsZero() {
		// The task was started by an earlier holder.
		totals.Add(Takeover, now.Sub(openedAt)-expected)
		return totals
	}
	totals.Add(cmp.Or(waits.Largest(), NoCapacity), s.firstAt.Sub(openedAt))
	totals.Add(cmp.Or(s.restartCause, RunLost), s.lastAt.Sub(s.firstAt))
	totals.Add(SlowRun, now.Sub(s.lastAt)-expected)
	return totals
}
