// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package delays

import (
	"cmp"
	"time"
)

// StartTimes is when a task was started under one claim. The zero value was not.
type StartTimes struct {
	// firstAt is when it was first started, lastAt when last, and again why that was not the
	// same.
	firstAt, lastAt time.Time
	restartCause    Cause
}

// RecordStart notes a start.
func (r *StartTimes) RecordStart(now time.Time) {
	if r.firstAt.IsZero() {
		r.firstAt = now
	}
	r.lastAt = now
}

// RecordInterruption notes why the task's last run was not the last one it needs.
func (r *StartTimes) RecordInterruption(why Cause) {
	if r.restartCause == "" {
		r.restartCause = why
	}
}

// Delays returns what a step took besides its work whose last task this is: it was opened at one
// time and is done now, its work should have taken some time, and before its first start it
// waited for some causes.
func (r *StartTimes) Delays(now, openedAt time.Time, expected time.Duration, waits Totals) Totals {
	d := Totals{}
	if r.lastAt.IsZero() {
		// An earlier holder started it.
		d.Add(Takeover, now.Sub(openedAt)-expected)
		return d
	}
	d.Add(cmp.Or(waits.Largest(), NoRoom), r.firstAt.Sub(openedAt))
	d.Add(cmp.Or(r.restartCause, RunLost), r.lastAt.Sub(r.firstAt))
	d.Add(SlowRun, now.Sub(r.lastAt)-expected)
	return d
}
