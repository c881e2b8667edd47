// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import (
	"sync"
	"time"
)

// checkGrid is the distance of the times at which a box probes its links, so that one
// wake-up of the process serves many of them. It adds as much to the time after which a
// silent link is given up.
const checkGrid = 25 * time.Millisecond

// checkTimer wakes whoever waits on its timer when the next link is due.
type checkTimer struct {
	timer *time.Timer
	// base is what the times of the grid are counted from.
	base time.Time

	mu sync.Mutex
	// at is when it goes off, or zero.
	firesAt time.Time
}

// newCheckTimer returns an alarm that does not go off yet.
func newCheckTimer(now time.Time) *checkTimer {
	a := &checkTimer{timer: time.NewTimer(time.Hour), base: now}
	a.timer.Stop()
	return a
}

// roundUpToGrid returns the next time of the grid.
func (a *checkTimer) roundUpToGrid(at time.Time) time.Time {
	return a.base.Add((at.Sub(a.base) + checkGrid - 1) / checkGrid * checkGrid)
}

// scheduleBy has the alarm go off at a time, if it does not go off earlier.
func (a *checkTimer) scheduleBy(now, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.firesAt.IsZero() && !at.Before(a.firesAt) {
		return
	}
	a.firesAt = at
	a.timer.Reset(at.Sub(now))
}

// markFired notes that the alarm has gone off.
func (a *checkTimer) markFired() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.firesAt = time.Time{}
}

// runChecks looks at the links when one is due, until they are closed.
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

// checkLinks looks at all links.
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
