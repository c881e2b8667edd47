// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package planbudget_test

import (
	"testing"
	"time"

	"saddlevane/services/planbudget"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func TestPlansTakeAtMostAFifthOfTheTime(t *testing.T) {
	b := planbudget.New()
	for _, took := range []time.Duration{0, ms, 30 * ms, time.Second} {
		assert.Equal(t, b.RecordDuration(took), 4*took)
	}
}

func TestMissLimitShrinksAfterLongPlans(t *testing.T) {
	b := planbudget.New()
	assert.Equal(t, b.MissLimit(), 300)
	b.RecordDuration(25 * ms)
	assert.Equal(t, b.MissLimit(), 240)
	b.RecordDuration(time.Second)
	assert.Equal(t, b.MissLimit(), 120, "one plan halves the limit at most, because it may have been delayed")
	for range 10 {
		b.RecordDuration(time.Second)
	}
	assert.Equal(t, b.MissLimit(), 20, "the limit has a lower bound")
	for range 13 {
		b.RecordDuration(ms)
	}
	assert.Equal(t, b.MissLimit(), 300)
}

func TestFullPlansAreMadeAtIntervals(t *testing.T) {
	b := planbudget.New()
	countFull := func() (full int) {
		for plan := range 400 {
			if b.IsFullPlan(plan) {
				full++
			}
		}
		return full
	}
	assert.Equal(t, countFull(), 50)
	b.RecordDuration(time.Second)
	assert.Equal(t, countFull(), 10)
}

func TestPauseDuringPlanIsClamped(t *testing.T) {
	var filter planbudget.OutlierFilter
	assert.Equal(t, filter.Clamp(5*ms), 5*ms)
	assert.Equal(t, filter.Clamp(time.Second), 40*ms, "at most twice targetDuration, since the plan before was shorter")
	assert.Equal(t, filter.Clamp(5*ms), 5*ms)
}

func TestRepeatedLongPlansCountInFull(t *testing.T) {
	var filter planbudget.OutlierFilter
	for _, want := range []time.Duration{40 * ms, 80 * ms, 160 * ms, 320 * ms, 500 * ms, 500 * ms} {
		assert.Equal(t, filter.Clamp(500*ms), want)
	}
}
