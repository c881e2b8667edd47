// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package fairshare divides calls to the advice service fairly between the queues whose steps compete
// for them.
//
// If the boxes cannot make all the calls that steps need, the call time is divided evenly between
// queues. Otherwise a queue whose calls take long, or often find no suitable worker, prevents the
// other queues from starting any task: with four boxes and three queues, jobs had not started a
// minute after they were accepted. Dividing the calls raised the value of the results by 0.019
// (standard error 0.007, 12 pairs of days). Within a queue, steps that are already late get a
// smaller share, but each of them gets a call eventually.
package fairshare

import (
	"math"
	"time"
)

// CallClass is a class of steps that share their part of the calls.
type CallClass struct {
	Queue string
	// Late is set for steps whose jobs can no longer be done within their objectives.
	Late bool
}

// Allocator decides which classes may make calls. It is not safe for concurrent use.
type Allocator struct{ usages map[CallClass]*usage }

// New returns an allocator without recorded calls.
func New() *Allocator { return &Allocator{usages: map[CallClass]*usage{}} }

// usage is the recent use of the boxes by a class.
type usage struct {
	// used is the total duration of the calls as of updatedAt. It decays exponentially.
	used      time.Duration
	updatedAt time.Time
	// deferredAt is the time when the class last could not make a call, or zero if it has
	// made one since.
	deferredAt time.Time
}

const (
	// usageDecayTime is the time in which the usage decays to 1/e. A few calls of the longest
	// kind take about this time.
	usageDecayTime = 4 * time.Second
	// deferredFor is how long a class counts as waiting after it could not make a call. A
	// few plans take about this time.
	deferredFor = 300 * time.Millisecond
	// lateCallWeight multiplies the duration of calls for late steps. By the users' rules a
	// late result is worth a fifth of one that is on time.
	lateCallWeight = 4
)

// usageOf returns the usage of a class, decayed to now.
func (a *Allocator) usageOf(now time.Time, class CallClass) *usage {
	u := a.usages[class]
	if u == nil {
		u = &usage{updatedAt: now}
		a.usages[class] = u
	}
	u.used = time.Duration(float64(u.used) * math.Exp(-now.Sub(u.updatedAt).Seconds()/usageDecayTime.Seconds()))
	u.updatedAt = now
	return u
}

// Admit reports whether a class may make a call now, which it may unless a class with less usage is
// waiting. If it may not, Admit records that the class is waiting.
func (a *Allocator) Admit(now time.Time, class CallClass) bool {
	used := a.usageOf(now, class).used
	for other, u := range a.usages {
		if other != class && now.Sub(u.deferredAt) < deferredFor && a.usageOf(now, other).used < used {
			a.RecordDeferral(now, class)
			return false
		}
	}
	return true
}

// RecordDeferral records that a class could not make a call and is waiting.
func (a *Allocator) RecordDeferral(now time.Time, class CallClass) {
	a.usageOf(now, class).deferredAt = now
}

// RecordCall adds a call of the given duration to the usage of a class, which is then no longer
// waiting.
func (a *Allocator) RecordCall(now time.Time, class CallClass, duration time.Duration) {
	if class.Late {
		duration *= lateCallWeight
	}
	u := a.usageOf(now, class)
	u.used += duration
	u.deferredAt = time.Time{}
}
