// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package exclusion keeps names, such as those of boxes that do not answer, out of use for a time that
// grows with each failure.
package exclusion

import "time"

// List holds the excluded names. It is not safe for concurrent use.
type List struct {
	// initial is how long a name is excluded after its first failure. The time doubles with each
	// further failure, up to longest.
	initial, longest time.Duration
	names            map[string]period
}

// period is the exclusion of one name.
type period struct {
	until    time.Time
	duration time.Duration
}

// New returns an empty list.
func New(initial, longest time.Duration) *List {
	return &List{initial: initial, longest: longest, names: map[string]period{}}
}

// RecordFailure excludes a name. Failures of a name that is excluded are ignored, since they concern
// what was begun before, and RecordFailure then returns false.
func (l *List) RecordFailure(now time.Time, name string) bool {
	p := l.names[name]
	if now.Before(p.until) {
		return false
	}
	p.duration = min(l.longest, max(l.initial, 2*p.duration))
	p.until = now.Add(p.duration)
	l.names[name] = p
	return true
}

// Clear forgets the failures of a name.
func (l *List) Clear(name string) { delete(l.names, name) }

// Includes reports whether a name is excluded.
func (l *List) Includes(now time.Time, name string) bool { return now.Before(l.names[name].until) }
