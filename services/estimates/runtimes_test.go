// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package estimates_test

import (
	"math"
	"testing"
	"time"

	"saddlevane/services/estimates"
	"saddlevane/services/speeds"

	"gotest.tools/v3/assert"
)

func TestWorkIsUnknownBeforeEstimatesAreOutweighed(t *testing.T) {
	for _, factor := range []time.Duration{1, 10} {
		e := estimates.NewEstimates()
		for range 10 {
			e.ObserveRunTime("q", time.Second, factor*time.Second)
		}
		assert.Equal(t, e.Work("q", time.Second), speeds.Work{})
		for range 200 {
			e.ObserveRunTime("q", time.Second, factor*time.Second)
		}
		w := e.Work("q", time.Second)
		assert.Check(t, w.Known)
		assert.Check(t, math.Abs(w.LogSeconds-math.Log(float64(factor))) < 0.1, "%+v", w)
		assert.Equal(t, e.Work("other", time.Second), speeds.Work{})
	}
}

func TestWorkOfEstimateOfZero(t *testing.T) {
	e := estimates.NewEstimates()
	for range 100 {
		e.ObserveRunTime("q", 0, time.Second)
	}
	assert.Check(t, math.Abs(e.Work("q", 0).LogSeconds) < 0.5, "%+v", e.Work("q", 0))
}
