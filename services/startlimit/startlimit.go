// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package startlimit limits how often a task is started within a period of time, whatever the reason,
// so that incorrect information does not make a holder start a task in an endless loop.
package startlimit

import "time"

const (
	// maxStarts is the number of starts of a task within a window from which further starts
	// are delayed. Tasks that fail, lose their worker or are preempted are legitimately
	// started a few times in a row.
	maxStarts = 5
	// window is the length of a window, which begins with a start.
	window = 5 * time.Second
)

// Limiter counts the starts of one task. The zero value is for a task that was not started.
type Limiter struct {
	// windowStart is the time when the present window began, and count the number of starts
	// in it.
	windowStart time.Time
	count       int
}

// RecordStart records a start. It returns the time from which the task may be started again, and
// whether that is later than now because the task was started too often.
func (l *Limiter) RecordStart(now time.Time) (next time.Time, limited bool) {
	if now.Sub(l.windowStart) >= window {
		l.windowStart, l.count = now, 0
	}
	l.count++
	if l.count < maxStarts {
		return now, false
	}
	return l.windowStart.Add(window), true
}
