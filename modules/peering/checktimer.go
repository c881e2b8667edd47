// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import (
	"sync"
	"time"
)

// checkGrid is the interval to which the times of link checks are rounded up, so that one
// wake-up of the process serves many links. It delays the discarding of a silent link by up to
// as much.
const checkGrid = 25 * time.Millisecond

// checkTimer fires when the next link check is due.
type checkTimer struct {
	timer *time.Timer
	// base is the origin of the grid.
	base time.Time

	mu sync.Mutex
	// firesAt is when the timer fires, or zero if it is not set.
	firesAt time.Time
}

// newCheckTimer returns a timer that is not set.
func newCheckTimer(now time.Time) *checkTimer {
	t := &checkTimer{timer: time.NewTimer(time.Hour), base: now}
	t.timer.Stop()
	return t
}

// roundUpToGrid returns the first time of the grid that is not before at.
func (t *checkTimer) roundUpToGrid(at time.Time) time.Time {
	return t.base.Add((at.Sub(t.base) + checkGrid - 1) / checkGrid * checkGrid)
}

// scheduleBy sets the timer to at unless it already fires earlier.
func (t *checkTimer) scheduleBy(now, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.firesAt.IsZero() && !at.Before(t.firesAt) {
		return
	}
	t.firesAt = at
	t.timer.Reset(at.Sub(now))
}

// markFired records that the timer has fired.
func (t *checkTimer) markFired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firesAt = time.Time{}
}

// runChecks checks the links whenever a check is due, until they are closed.
func (l *Links) runChecks() {
	defer l.checkTimer.timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.checkTimer.timer.C:
			l.checkTimer.markFired()
			l.checkLinks(l.settings.Now())
		}
	}
}

// checkLinks checks all links, discards silent ones and schedules the next check.
func (l *Links) checkLinks(now time.Time) {
	var first time.Time
	for _, k := range l.openLinks() {
		due, silent := k.check(now)
		switch {
		case silent:
			k.discard(now, ReasonProbe)
		case first.IsZero() || due.Before(first):
			first = due
		}
	}
	if !first.IsZero() {
		l.checkTimer.scheduleBy(now, first)
	}
}
