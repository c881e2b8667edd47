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

// CallClass is steps that compete for calls as one.
type CallClass struct {
	Queue string
	Late  bool
}

// Allocator divides calls. It is not safe for concurrent use.
type Allocator struct{ usages map[CallClass]*usage }

// New returns turns that nobody has had.
func New() *Allocator { return &Allocator{usages: map[CallClass]*usage{}} }

// usage is what a class has had of the boxes' time.
type usage struct {
	// used is the time of its calls, of which old ones count ever less, as of updatedAt.
	used      time.Duration
	updatedAt time.Time
	// deferredAt is when it last could not make a call because no box was free.
	deferredAt time.Time
}

const (
	// usageDecayTime is the time after which a call counts for 1/e in what a class has had:
	// some calls of the longest kind.
	usageDecayTime = 4 * time.Second
	// deferredFor is how long a class counts as waiting after it was turned away:
	// some passes of the plan.
	deferredFor = 300 * time.Millisecond
	// lateCallWeight is how many times a call counts that is for a step which is late: its
	// result is worth a fifth to its caller (the users' rules).
	lateCallWeight = 4
)

// usageOf returns what a class has had, as of now.
func (t *Allocator) usageOf(now time.Time, class CallClass) *usage {
	s := t.usages[class]
	if s == nil {
		s = &usage{updatedAt: now}
		t.usages[class] = s
	}
	s.used = time.Duration(float64(s.used) * math.Exp(-now.Sub(s.updatedAt).Seconds()/usageDecayTime.Seconds()))
	s.updatedAt = now
	return s
}

// Admit says whether a class may make a call: no class waits that has had less.
func (t *Allocator) Admit(now time.Time, class CallClass) bool {
	used := t.usageOf(now, class).used
	for other, s := range t.usages {
		if other != class && now.Sub(s.deferredAt) < deferredFor && t.usageOf(now, other).used < used {
			t.RecordDeferral(now, class)
			return false
		}
	}
	return true
}

// RecordDeferral notes that a class could not make a call.
func (t *Allocator) RecordDeferral(now time.Time, class CallClass) {
	t.usageOf(now, class).deferredAt = now
}

// RecordCall notes a call of a class.
func (t *Allocator) RecordCall(now time.Time, class CallClass, takes time.Duration) {
	if class.Late {
		takes *= lateCallWeight
	}
	s := t.usageOf(now, class)
	s.used += takes
	s.deferredAt = time.Time{}
}
