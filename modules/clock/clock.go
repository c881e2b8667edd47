// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package clock provides the time by which leases, authority, silence and the age of
// information are judged. It is the only package of the daemon that reads clocks.
//
// Go's monotonic clock stops while the machine is suspended, and the wall clock may be set. The
// time returned here advances during a suspension, as CLOCK_BOOTTIME does, so that a box that
// resumes recognizes that its information is outdated.
package clock

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. It is safe for concurrent use.
type Clock struct {
	// now reads Go's clock, and suspended returns how long the machine has been suspended by a time
	// that now has returned.
	now       func() time.Time
	suspended func(at time.Time) time.Duration
	// initialSuspension is the result of suspended when the clock was created. counted is how
	// much of the suspension since then Now has added so far, in nanoseconds.
	initialSuspension time.Duration
	counted           atomic.Int64
}

// minSuspension is the shortest suspension that is counted. Shorter differences between the two
// clocks result from reading them one after the other.
const minSuspension = time.Millisecond

// New returns the clock of the machine.
func New() (*Clock, error) {
	if _, err := machineSuspension(); err != nil {
		return nil, err
	}
	return NewCached(time.Now, wallOffsetSince(time.Now()), func() time.Duration {
		d, err := machineSuspension()
		if err != nil {
			// New has already read the clocks successfully, and the call takes no arguments
			// that could be invalid.
			panic(err)
		}
		return d
	}), nil
}

// NewWith returns a clock that reads Go's time from now and the total suspension of the
// machine, or slightly less, from suspended.
func NewWith(now func() time.Time, suspended func() time.Duration) *Clock {
	return &Clock{now: now, suspended: func(time.Time) time.Duration { return suspended() }, initialSuspension: suspended()}
}

// NewCached returns a clock like NewWith that calls suspended only if the machine may have been
// suspended since the last call, or if that call is older than maxReadingAge. wallOffset returns by how
// much the wall clock is ahead of the monotonic clock in a time that now has returned, relative to any
// fixed value: a suspension advances only the wall clock.
func NewCached(now func() time.Time, wallOffset func(time.Time) time.Duration, suspended func() time.Duration) *Clock {
	c := &suspensionCache{wallOffset: wallOffset, suspended: suspended}
	return &Clock{now: now, suspended: c.at, initialSuspension: c.at(now())}
}

// wallOffsetSince returns a function for NewCached that compares times with base.
func wallOffsetSince(base time.Time) func(time.Time) time.Duration {
	wallBase := base.Round(0)
	return func(t time.Time) time.Duration { return t.Round(0).Sub(wallBase) - t.Sub(base) }
}

// suspensionCache keeps the last reading of the total suspension of the machine. It avoids two
// system calls for each reading of the time.
type suspensionCache struct {
	wallOffset func(time.Time) time.Duration
	suspended  func() time.Duration
	last       atomic.Pointer[suspensionReading]
}

// suspensionReading is a reading of the total suspension at a time, and the offset of the wall clock
// just before it.
type suspensionReading struct {
	at                    time.Time
	wallOffset, suspended time.Duration
}

// maxReadingAge is how long a reading is used. A suspension during which the wall clock is set back
// by the same time leaves the offset unchanged, and is noticed after that.
const maxReadingAge = 20 * time.Millisecond

// at returns the total suspension. It reads it again if the offset of the wall clock has changed by
// as much as the shortest suspension that is counted: the machine was suspended, or the wall clock
// was set.
func (s *suspensionCache) at(t time.Time) time.Duration {
	offset := s.wallOffset(t)
	last := s.last.Load()
	if last != nil && (offset-last.wallOffset).Abs() < minSuspension && t.Sub(last.at) < maxReadingAge {
		return last.suspended
	}
	r := &suspensionReading{at: t, wallOffset: offset, suspended: s.suspended()}
	s.last.Store(r)
	return r.suspended
}

// Now returns the time. The difference between two times is the time elapsed between them,
// including suspensions, even if the wall clock was set meanwhile. As a wall-clock time it is
// ahead by Suspended.
func (c *Clock) Now() time.Time {
	t := c.now()
	return t.Add(c.suspendedAt(t))
}

// processStart is the origin of Monotonic.
var processStart = time.Now()

// Monotonic returns a reading of Go's monotonic clock, which stops during a suspension. It is for
// measuring how long work of this process takes, and costs less than Now, which makes system calls.
func Monotonic() time.Duration { return time.Since(processStart) }

// Deadline returns the time in Go's own clock that is d from now, as deadlines of connections
// require. A suspension delays it.
func Deadline(d time.Duration) time.Time { return time.Now().Add(d) }

// Until returns how long it is until a deadline in Go's own clock, such as the deadline of a context.
func Until(deadline time.Time) time.Duration { return time.Until(deadline) }

// Wait waits for d, or until ctx ends. A suspension lengthens the wait.
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

// Suspended returns how long the machine has been suspended since the clock was created.
func (c *Clock) Suspended() time.Duration { return c.suspendedAt(c.now()) }

// suspendedAt returns how long the machine had been suspended when Go's clock read t.
func (c *Clock) suspendedAt(t time.Time) time.Duration {
	d := c.suspended(t) - c.initialSuspension
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

// machineSuspension returns how long the machine has been suspended since boot, or slightly
// less: the monotonic clock, which stops during a suspension, is read last, and the process may
// be descheduled between the two reads.
func machineSuspension() (time.Duration, error) {
	boot, err := readClock(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0, err
	}
	monotonic, err := readClock(unix.CLOCK_MONOTONIC)
	return boot - monotonic, err
}

// readClock reads a system clock.
func readClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, fmt.Errorf("clock %d: %w", id, err)
	}
	return time.Duration(t.Nano()), nil
}
