// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import (
	"sync"
	"time"
)

// wakeGrid is the distance of the times at which a box probes its links, so that one
// wake-up of the process serves many of them. It adds as much to the time after which a
// silent link is given up.
const wakeGrid = 25 * time.Millisecond

// alarm wakes whoever waits on its timer when the next link is due.
type alarm struct {
	timer *time.Timer
	// base is what the times of the grid are counted from.
	base time.Time

	mu sync.Mutex
	// at is when it goes off, or zero.
	at time.Time
}

// newAlarm returns an alarm that does not go off yet.
func newAlarm(now time.Time) *alarm {
	a := &alarm{timer: time.NewTimer(time.Hour), base: now}
	a.timer.Stop()
	return a
}

// onGrid returns the next time of the grid.
func (a *alarm) onGrid(at time.Time) time.Time {
	return a.base.Add((at.Sub(a.base) + wakeGrid - 1) / wakeGrid * wakeGrid)
}

// setBy has the alarm go off at a time, if it does not go off earlier.
func (a *alarm) setBy(now, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.at.IsZero() && !at.Before(a.at) {
		return
	}
	a.at = at
	a.timer.Reset(at.Sub(now))
}

// clear notes that the alarm has gone off.
func (a *alarm) clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = time.Time{}
}

// watch looks at the links when one is due, until they are closed.
func (l *Links) watch() {
	defer l.alarm.timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.alarm.timer.C:
			l.alarm.clear()
			l.look(l.settings.Now())
		}
	}
}

// look looks at all links.
func (l *Links) look(now time.Time) {
	var first time.Time
	for _, k := range l.all() {
		due, silent := k.look(now)
		switch {
		case silent:
			k.giveUp(now, ReasonProbe)
		case first.IsZero() || due.Before(first):
			first = due
		}
	}
	if !first.IsZero() {
		l.alarm.setBy(now, first)
	}
}
