// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeouts_test

import (
	"testing"
	"time"

	"saddlevane/services/timeouts"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func TestCallTimeoutFollowsMostResponseTimes(t *testing.T) {
	for _, c := range []struct {
		name string
		// fast and slow are the numbers of answers that took 5 ms and 800 ms. age is the
		// time since the last answer.
		fast, slow int
		age        time.Duration
		want       time.Duration
	}{
		{"no answer", 0, 0, 0, 300 * ms},
		{"too few answers", 0, 11, 0, 300 * ms},
		{"all answers are fast", 128, 0, 0, 300 * ms},
		{"one rack of workers is slow", 100, 28, 0, 300 * ms},
		{"most answers are slow", 60, 68, 0, 2 * time.Second},
		{"all answers are slow", 0, 128, 0, 2 * time.Second},
		{"all answers were slow 6 s ago", 0, 128, 6 * time.Second, 300 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			times := &timeouts.ResponseTimes{}
			now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			for range c.fast {
				times.Record(now, 5*ms)
			}
			for range c.slow {
				times.Record(now, 800*ms)
			}
			assert.Equal(t, times.CallTimeout(now.Add(c.age), 300*ms, 2*time.Second), c.want)
		})
	}
}

func TestQuartileFallsWhenMostAnswersAreFastAgain(t *testing.T) {
	times := &timeouts.ResponseTimes{}
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for range 128 {
		times.Record(now, time.Second)
	}
	assert.Equal(t, times.UpperQuartile(now), time.Second)
	now = now.Add(100 * ms)
	for range 100 {
		times.Record(now, 4*ms)
	}
	assert.Equal(t, times.UpperQuartile(now), 4*ms)
}

func TestCallTimeoutStaysBetweenBaseAndLimit(t *testing.T) {
	times := &timeouts.ResponseTimes{}
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for range 128 {
		times.Record(now, 100*ms)
	}
	assert.Equal(t, times.CallTimeout(now, 300*ms, 2*time.Second), 400*ms)
	assert.Equal(t, times.CallTimeout(now, time.Second, 2*time.Second), time.Second)
	assert.Equal(t, times.CallTimeout(now, 300*ms, 350*ms), 350*ms)
}
