// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package throttling_test

import (
	"testing"
	"time"

	"saddlevane/services/throttling"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// settled is long enough for a change of pace to show in the tail latencies.
const settled = 650 * time.Millisecond

func TestPaceIsKeptUntilLastChangeShows(t *testing.T) {
	p := throttling.NewPace()
	assert.Equal(t, p.Percent(), throttling.Full)
	assert.Assert(t, p.Adjust(start, 0.9))
	assert.Equal(t, p.Percent(), 60)
	assert.Assert(t, !p.Adjust(start.Add(settled-1), 1.3))
	assert.Equal(t, p.Percent(), 60)
	assert.Assert(t, p.Adjust(start.Add(settled), 1.3))
	assert.Equal(t, p.Percent(), 12)
}

func TestUnchangedPaceDelaysNoLaterChange(t *testing.T) {
	p := throttling.NewPace()
	assert.Assert(t, !p.Adjust(start, 0.5), "the pace is full already")
	assert.Assert(t, p.Adjust(start.Add(time.Millisecond), 0.9))
}

func TestResetPaceIsFullAndLaterThrottlingWaitsForLastChange(t *testing.T) {
	p := throttling.NewPace()
	assert.Assert(t, p.Adjust(start, 1.3))
	p.Reset()
	assert.Equal(t, p.Percent(), throttling.Full)
	assert.Assert(t, !p.Adjust(start.Add(settled-1), 1.3))
	assert.Assert(t, p.Adjust(start.Add(settled), 1.3))
}

func TestNextPaceByTailLatency(t *testing.T) {
	for _, c := range []struct {
		pace  int
		worst float64
		want  int
	}{
		{100, 0.6, 100},
		{100, 0.85, 60},
		{100, 1.2, 20},
		{60, 0.59, 70},
		{95, 0.3, 100},
		{8, 0.9, 0},
		{0, 0.7, 0},
		{0, 0.3, 10},
	} {
		assert.Equal(t, throttling.Next(c.pace, c.worst), c.want, "pace %d at %v of the target", c.pace, c.worst)
	}
}
