// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package clock tells the time by which leases, authority, silence and the age of what is
// known are judged. It is the only one of the daemon's that reads clocks.
//
// Go's own steady clock stands still while the machine is suspended, and the time of day
// may be set. The time told here goes on during a suspension, as CLOCK_BOOTTIME does: a
// box that wakes up must see that what it believes is old.
package clock

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time. It may be used by several goroutines.
type Clock struct {
	// now reads Go's clock, suspended how long the machine has been suspended so far.
	now       func() time.Time
	suspended func() time.Duration
	// first is what suspended was at the start, counted how much of it has been counted
	// since, in nanoseconds.
	initialSuspension time.Duration
	counted           atomic.Int64
}

// minSuspension is the shortest suspension that is counted.
const minSuspension = time.Millisecond

// New returns the clock of the machine.
func New() (*Clock, error) {
	if _, err := machineSuspension(); err != nil {
		return nil, err
	}
	return NewWith(time.Now, func() time.Duration {
		d, err := machineSuspension()
		if err != nil {
			// It could be read before, and takes no arguments that could be wrong.
			panic(err)
		}
		return d
	}), nil
}

// NewWith returns a clock that reads some functions: Go's clock, and how long the machine has
// been suspended so far, or somewhat less.
func NewWith(now func() time.Time, suspended func() time.Duration) *Clock {
	return &Clock{now: now, suspended: suspended, initialSuspension: suspended()}
}

// Now returns the time. Times differ by what has passed, suspensions included, whatever
// the time of day was set to meanwhile; read as a time of day it is ahead by Suspended.
func (c *Clock) Now() time.Time {
	t := c.now()
	return t.Add(c.Suspended())
}

// Deadline returns a time some way from now on Go's own clock, by which the deadlines of
// connections are kept. A suspension lengthens it.
func Deadline(in time.Duration) time.Time { return time.Now().Add(in) }

// Wait waits for some time, or less if ctx ends. A suspension lengthens it.
func Wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Suspended returns how long the machine has been suspended since the clock was made.
func (c *Clock) Suspended() time.Duration {
	d := c.suspended() - c.initialSuspension
	for {
		counted := c.counted.Load()
		if d-time.Duration(counted) < minSuspension {
			return time.Duration(counted)
		}
		if c.counted.CompareAndSwap(counted, int64(d)) {
			return d
		}
	}
}

// machineSuspension returns how long the machine has been suspended since it started, or
// somewhat less: the clock that stands still meanwhile is read last, and this process may
// wait for a processor between.
func machineSuspension() (time.Duration, error) {
	boot, err := readClock(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0, err
	}
	steady, err := readClock(unix.CLOCK_MONOTONIC)
	return boot - steady, err
}

// readClock reads one of the system's clocks.
func readClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, fmt.Errorf("clock %d: %w", id, err)
	}
	return time.Duration(t.Nano()), nil
}
