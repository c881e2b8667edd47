// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package loglimit chooses which events of a frequent and expected kind are logged.
package loglimit

import (
	"sync"
	"time"
)

// Limiter selects the first event of each key in an interval, for a limited number of keys. It is safe
// for concurrent use.
type Limiter struct {
	interval time.Duration
	maxKeys  int

	mu      sync.Mutex
	began   time.Time
	taken   map[string]bool
	omitted int
}

// New returns a limiter that selects at most maxKeys events in each interval.
func New(interval time.Duration, maxKeys int) *Limiter {
	return &Limiter{interval: interval, maxKeys: maxKeys, taken: map[string]bool{}}
}

// Take reports whether an event may be logged, and how many events of any key were omitted since the
// last one that was.
func (l *Limiter) Take(now time.Time, key string) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.began) >= l.interval || now.Before(l.began) {
		l.began = now
		clear(l.taken)
	}
	if l.taken[key] || len(l.taken) >= l.maxKeys {
		l.omitted++
		return 0, false
	}
	l.taken[key] = true
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}
