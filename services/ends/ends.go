// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ends knows of the ends of runs that one life of a worker has told: which were heard,
// which the log has, and which the worker has forgotten. Ends are numbered from 1 in each life.
package ends

import "time"

// A task ends no sooner after its order than soonest, or one over minRunTimeDivisor of its usual time
// if that is less.
const (
	minRunTime        = 40 * time.Millisecond
	minRunTimeDivisor = 4
)

// MayHaveEnded says whether a task may have ended that was ordered some time ago and takes some time
// as a rule.
func MayHaveEnded(ago, usual time.Duration) bool {
	return ago > min(minRunTime, usual/minRunTimeDivisor)
}

// Report is one end that was told to a holder. The worker may forget it once what it says is in
// the log.
type Report[W any] struct {
	worker W
	number int64
	logged bool
}

// Worker returns the worker that told the end.
func (n *Report[W]) Worker() W { return n.worker }

// MarkLogged notes that the log has what the end says, or need not have it.
func (n *Report[W]) MarkLogged() { n.logged = true }

// Tracker are the ends that a life of a worker has told. The zero value has heard none.
type Tracker[W any] struct {
	// notes are ends that the worker may not forget yet, in order.
	pending []*Report[W]
	// heard is the last end that was heard, kept the last that the worker may forget. asked is
	// the one that the last look asked it to forget, forgotten the last that it has.
	received, logged, ackSent, ackConfirmed int64
}

// Add returns a note of an end, and whether it was not heard before.
func (t *Tracker[W]) Add(worker W, number int64) (*Report[W], bool) {
	if number <= t.received {
		return nil, false
	}
	t.received = number
	n := &Report[W]{worker: worker, number: number}
	t.pending = append(t.pending, n)
	return n, true
}

// Acknowledge returns the last end that a look made now asks the worker to forget, or 0 if there is
// nothing new or it is not safe: a later life may be there, whose ends have the same numbers.
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

// ConfirmAck takes that the worker has answered the last look.
func (t *Tracker[W]) ConfirmAck() { t.ackConfirmed = max(t.ackConfirmed, t.ackSent) }

// HasPending says whether there are ends that the worker may not forget yet.
func (t *Tracker[W]) HasPending() bool { return len(t.pending) > 0 }

// IsLastUnlogged says whether the log does not have some end.
func (t *Tracker[W]) IsLastUnlogged() bool {
	return t.HasPending() && !t.pending[len(t.pending)-1].logged
}
