// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package clock_test

import (
	"context"
	"testing"
	"time"

	"saddlevane/modules/clock"

	"gotest.tools/v3/assert"
)

func TestTimeAdvancesDuringSuspension(t *testing.T) {
	steady, suspended := time.Now(), 90*time.Minute
	c := clock.NewWith(func() time.Time { return steady }, func() time.Duration { return suspended })
	began := c.Now()
	assert.Equal(t, c.Suspended(), time.Duration(0), "suspensions before the clock was created do not count")

	steady = steady.Add(time.Second)
	assert.Equal(t, c.Now().Sub(began), time.Second)

	suspended += 5 * time.Second
	assert.Equal(t, c.Now().Sub(began), 6*time.Second)
	assert.Equal(t, c.Suspended(), 5*time.Second)
}

// The two clocks are read one after the other, so the difference between them varies.
func TestTimeIsMonotonic(t *testing.T) {
	steady, suspended := time.Now(), time.Duration(0)
	c := clock.NewWith(func() time.Time { return steady }, func() time.Duration { return suspended })
	last := c.Now()
	for _, reading := range []time.Duration{30, 0, 2000, -700, 2000, 1500, 0} {
		suspended = reading * time.Microsecond
		now := c.Now()
		assert.Check(t, !now.Before(last), "%v after %v", now, last)
		last = now
	}
	assert.Equal(t, c.Suspended(), 2*time.Millisecond)
}

func TestTimeIsReadWithoutSystemCalls(t *testing.T) {
	steady, offset, suspended, reads := time.Now(), time.Duration(0), time.Duration(0), 0
	c := clock.NewCached(func() time.Time { return steady }, func(time.Time) time.Duration { return offset }, func() time.Duration {
		reads++
		return suspended
	})
	first := reads
	for range 1000 {
		steady = steady.Add(10 * time.Microsecond)
		c.Now()
	}
	assert.Equal(t, reads, first, "the system clocks are read although the machine was not suspended")
	began := c.Now()

	offset, suspended = offset+5*time.Second, suspended+5*time.Second
	assert.Equal(t, c.Now().Sub(began), 5*time.Second, "a suspension counts at once")

	offset -= time.Hour
	assert.Equal(t, c.Now().Sub(began), 5*time.Second, "the wall clock was set")

	offset, suspended = offset+2*time.Second, suspended+2*time.Second
	assert.Equal(t, c.Now().Sub(began), 7*time.Second, "a suspension after the wall clock was set")
	assert.Equal(t, reads, first+3)
}

// The wall clock is set back by as much as the machine was suspended.
func TestSuspensionHiddenByTheWallClockCountsSoon(t *testing.T) {
	steady, suspended := time.Now(), time.Duration(0)
	noOffset := func(time.Time) time.Duration { return 0 }
	c := clock.NewCached(func() time.Time { return steady }, noOffset, func() time.Duration { return suspended })
	began := c.Now()
	suspended += 5 * time.Second
	steady = steady.Add(20 * time.Millisecond)
	assert.Equal(t, c.Now().Sub(began), 5*time.Second+20*time.Millisecond)
}

func TestMachineClockDoesNotAllocate(t *testing.T) {
	c, err := clock.New()
	assert.NilError(t, err)
	assert.Equal(t, testing.AllocsPerRun(1000, func() { c.Now() }), 0.0)
}

func TestMachineClock(t *testing.T) {
	c, err := clock.New()
	assert.NilError(t, err)
	began, first := time.Now(), c.Now()
	passed := c.Now().Sub(first)
	assert.Check(t, passed >= 0 && passed <= time.Since(began)+c.Suspended()+time.Second, "%v", passed)
}

func TestWaitEndsAtTimeoutOrContextEnd(t *testing.T) {
	began := time.Now()
	clock.Wait(context.Background(), 20*time.Millisecond)
	assert.Check(t, time.Since(began) >= 20*time.Millisecond)

	over, cancel := context.WithCancel(context.Background())
	cancel()
	clock.Wait(over, time.Hour)
	clock.Wait(context.Background(), -time.Hour)
	assert.Check(t, time.Since(began) < time.Hour)
}
