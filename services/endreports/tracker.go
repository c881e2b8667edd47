// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package endreports tracks the ends of runs that one incarnation of a worker reports: which were
// received, which are recorded in the log, and which were acknowledged to the worker. The ends of
// each incarnation are numbered from 1. A worker repeats a report until the end is acknowledged,
// and may delete it then.
package endreports

import (
	"slices"
	"time"
)

// A task does not end earlier after its start was ordered than minRunTime, or its usual run time
// divided by minRunTimeDivisor if that is less.
const (
	minRunTime        = 40 * time.Millisecond
	minRunTimeDivisor = 4
)

// MayHaveEnded reports whether a task may have ended, given the time since its start was ordered
// and its usual run time.
func MayHaveEnded(ago, usual time.Duration) bool {
	return ago > min(minRunTime, usual/minRunTimeDivisor)
}

// Report is one reported end. It can be acknowledged once its effect is recorded in the log.
type Report[W any] struct {
	worker W
	number int64
	logged bool
}

// Worker returns the worker that reported the end.
func (r *Report[W]) Worker() W { return r.worker }

// MarkLogged records that the effect of the end is in the log, or does not have to be.
func (r *Report[W]) MarkLogged() { r.logged = true }

// Tracker holds the state of the ends that one incarnation of a worker has reported. The zero
// value is a tracker without ends.
type Tracker[W any] struct {
	// pending are the ends that cannot be acknowledged yet, in the order of their numbers.
	pending []*Report[W]
	// received is the number of the last end that was received, and logged that of the last
	// one that can be acknowledged. ackSent is the number that the last renewal acknowledged,
	// or 0, and ackConfirmed the last number whose acknowledgement the worker has received.
	received, logged, ackSent, ackConfirmed int64
}

// Add adds a reported end. It returns nil and false if the end was received before.
func (t *Tracker[W]) Add(worker W, number int64) (*Report[W], bool) {
	if number <= t.received {
		return nil, false
	}
	if t.received == 0 {
		// The worker no longer lists earlier ends, because an earlier holder acknowledged them.
		t.ackConfirmed = number - 1
	}
	t.received = number
	r := &Report[W]{worker: worker, number: number}
	t.pending = append(t.pending, r)
	return r, true
}

// Acknowledge returns the number up to which a lease renewal that is sent now acknowledges ends,
// or 0 if there is nothing new to acknowledge. It also returns 0 if that is not safe, because a
// later incarnation of the worker may receive the renewal, whose ends have the same numbers.
func (t *Tracker[W]) Acknowledge(safe bool) int64 {
	t.ackSent = 0
	if !safe {
		return 0
	}
	for len(t.pending) > 0 && t.pending[0].logged {
		t.logged = t.pending[0].number
		t.pending = t.pending[1:]
	}
	if t.logged > t.ackConfirmed {
		t.ackSent = t.logged
	}
	return t.ackSent
}

// ConfirmAck records that the worker has answered the last renewal, and so has received its
// acknowledgement.
func (t *Tracker[W]) ConfirmAck() { t.ackConfirmed = max(t.ackConfirmed, t.ackSent) }

// Unacknowledged returns how many of the received ends the worker may still list: those for which it
// is not certain that the worker has received an acknowledgement.
func (t *Tracker[W]) Unacknowledged() int { return int(t.received - t.ackConfirmed) }

// HasPending reports whether there are ends that Acknowledge has not taken as logged yet.
func (t *Tracker[W]) HasPending() bool { return len(t.pending) > 0 }

// HasLogged reports whether there are ends that Acknowledge would take as logged and has not taken yet.
func (t *Tracker[W]) HasLogged() bool { return len(t.pending) > 0 && t.pending[0].logged }

// HasUnlogged reports whether some received end is not marked as logged. Acknowledge takes no end
// that follows it.
func (t *Tracker[W]) HasUnlogged() bool {
	return slices.ContainsFunc(t.pending, func(r *Report[W]) bool { return !r.logged })
}
