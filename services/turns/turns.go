// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package turns divides calls for advice between those who compete for them.
//
// Where the boxes cannot make all the calls for advice that steps want, they are
// divided evenly between queues, so that one whose calls are long or often in vain
// does not keep the others from starting anything: with four boxes and three queues,
// jobs that had been accepted a minute before had not started, and worth rose by 0.019
// (standard error 0.007, 12 pairs of days). Within a queue, steps that are
// late anyway have a smaller share, so that each is asked about some time.
package turns

import (
	"math"
	"time"
)

// Class is steps that compete for calls as one.
type Class struct {
	Queue string
	Late  bool
}

// Turns divides calls. It is not safe for concurrent use.
type Turns struct{ shares map[Class]*share }

// New returns turns that nobody has had.
func New() *Turns { return &Turns{shares: map[Class]*share{}} }

// share is what a class has had of the boxes' time.
type share struct {
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
func (t *Turns) shareOf(now time.Time, class Class) *share {
	s := t.shares[class]
	if s == nil {
		s = &share{usedAt: now}
		t.shares[class] = s
	}
	s.used = time.Duration(float64(s.used) * math.Exp(-now.Sub(s.usedAt).Seconds()/usedFor.Seconds()))
	s.usedAt = now
	return s
}

// May says whether a class may make a call: no class waits that has had less.
func (t *Turns) May(now time.Time, class Class) bool {
	used := t.shareOf(now, class).used
	for other, s := range t.shares {
		if other != class && now.Sub(s.turnedAway) < turnedAwayFor && t.shareOf(now, other).used < used {
			t.TurnAway(now, class)
			return false
		}
	}
	return true
}

// TurnAway notes that a class could not make a call.
func (t *Turns) TurnAway(now time.Time, class Class) { t.shareOf(now, class).turnedAway = now }

// Spend notes a call of a class.
func (t *Turns) Spend(now time.Time, class Class, takes time.Duration) {
	if class.Late {
		takes *= lateCosts
	}
	s := t.shareOf(now, class)
	s.used += takes
	s.turnedAway = time.Time{}
}
