// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package planning_test

import (
	"testing"
	"time"

	"saddlevane/services/planning"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func TestPlansTakeAFifthOfTheTimeAtMost(t *testing.T) {
	b := planning.New()
	for _, took := range []time.Duration{0, ms, 30 * ms, time.Second} {
		assert.Equal(t, b.Took(took), 4*took)
	}
}

func TestAPlanThatTakesLongIsCutShort(t *testing.T) {
	b := planning.New()
	assert.Equal(t, b.Misses(), 300)
	b.Took(25 * ms)
	assert.Equal(t, b.Misses(), 240)
	b.Took(time.Second)
	assert.Equal(t, b.Misses(), 120, "by half at most: one plan may have been held up")
	for range 10 {
		b.Took(time.Second)
	}
	assert.Equal(t, b.Misses(), 20, "some steps are always tried")
	for range 13 {
		b.Took(ms)
	}
	assert.Equal(t, b.Misses(), 300)
}

func TestAllStepsAreTriedNowAndThen(t *testing.T) {
	b := planning.New()
	count := func() (whole int) {
		for plan := range 400 {
			if b.Whole(plan) {
				whole++
			}
		}
		return whole
	}
	assert.Equal(t, count(), 50)
	b.Took(time.Second)
	assert.Equal(t, count(), 10)
}

func TestAPauseInAPlanDoesNotCount(t *testing.T) {
	var m planning.Meter
	assert.Equal(t, m.Counts(5*ms), 5*ms)
	assert.Equal(t, m.Counts(time.Second), 40*ms, "it is far longer than the one before")
	assert.Equal(t, m.Counts(5*ms), 5*ms)
}

func TestPlansThatTakeLongAllTheTimeCountWhole(t *testing.T) {
	var m planning.Meter
	for _, counts := range []time.Duration{40 * ms, 80 * ms, 160 * ms, 320 * ms, 500 * ms, 500 * ms} {
		assert.Equal(t, m.Counts(500*ms), counts)
	}
}
