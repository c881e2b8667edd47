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

func TestPlansTakeAtMostAFifthOfTheTime(t *testing.T) {
	b := planning.New()
	for _, took := range []time.Duration{0, ms, 30 * ms, time.Second} {
		assert.Equal(t, b.RecordDuration(took), 4*took)
	}
}

func TestMissLimitShrinksAfterLongPlans(t *testing.T) {
	b := planning.New()
	assert.Equal(t, b.MissLimit(), 300)
	b.RecordDuration(25 * ms)
	assert.Equal(t, b.MissLimit(), 240)
	b.RecordDuration(time.Second)
	assert.Equal(t, b.MissLimit(), 120, "by half at most: one plan may have been held up")
	for range 10 {
		b.RecordDuration(time.Second)
	}
	assert.Equal(t, b.MissLimit(), 20, "some steps are always tried")
	for range 13 {
		b.RecordDuration(ms)
	}
	assert.Equal(t, b.MissLimit(), 300)
}

func TestFullPlansAreMadeAtIntervals(t *testing.T) {
	b := planning.New()
	count := func() (whole int) {
		for plan := range 400 {
			if b.IsFullPlan(plan) {
				whole++
			}
		}
		return whole
	}
	assert.Equal(t, count(), 50)
	b.RecordDuration(time.Second)
	assert.Equal(t, count(), 10)
}

func TestPauseDuringPlanIsClamped(t *testing.T) {
	var m planning.OutlierFilter
	assert.Equal(t, m.Clamp(5*ms), 5*ms)
	assert.Equal(t, m.Clamp(time.Second), 40*ms, "it is far longer than the one before")
	assert.Equal(t, m.Clamp(5*ms), 5*ms)
}

func TestRepeatedLongPlansCountInFull(t *testing.T) {
	var m planning.OutlierFilter
	for _, counts := range []time.Duration{40 * ms, 80 * ms, 160 * ms, 320 * ms, 500 * ms, 500 * ms} {
		assert.Equal(t, m.Clamp(500*ms), counts)
	}
}
