// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package restarts bounds how often one task is started in some time, whatever the reason: a
// fact that the holder has wrong must not make it start a task without end.
package restarts

import "time"

const (
	// maxStarts is how often a task may be started within a window: tasks that fail, lose their
	// worker or give way to others are started a few times in a row.
	maxStarts = 5
	// window is that time.
	window = 5 * time.Second
)

// Limiter are those of one task. The zero value is a task that was not started.
type Limiter struct {
	// since is when the window began, count how many starts there were in it.
	windowStart time.Time
	count       int
}

// RecordStart notes a start. It returns when the task may be started again, and whether that is later
// than now because it was started too often.
func (s *Limiter) RecordStart(now time.Time) (again time.Time, often bool) {
	if now.Sub(s.windowStart) >= window {
		s.windowStart, s.count = now, 0
	}
	s.count++
	if s.count < maxStarts {
		return now, false
	}
	return s.windowStart.Add(window), true
}
