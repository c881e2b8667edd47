// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package advicecalls_test

import (
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/services/advicecalls"

	"gotest.tools/v3/assert"
)

func TestLaterCallsGrowOnlyWhileTheyStayBrief(t *testing.T) {
	for _, c := range []struct {
		name            string
		base, perWorker time.Duration
		known, want     int
	}{
		{"first call", 8 * time.Millisecond, 100 * time.Microsecond, 0, 20},
		{"few are known", 8 * time.Millisecond, 100 * time.Microsecond, 10, 20},
		{"more are known", 8 * time.Millisecond, 100 * time.Microsecond, 40, 40},
		{"most workers of a call", 8 * time.Millisecond, 100 * time.Microsecond, 1000, 64},
		{"limit of a brief call", 10 * time.Millisecond, 500 * time.Microsecond, 1000, 40},
		{"a short call stays as it is", 80 * time.Millisecond, time.Millisecond, 1000, 20},
		{"a long call stays as it is", 600 * time.Millisecond, 10 * time.Millisecond, 1000, 15},
		{"workers cost nothing", 8 * time.Millisecond, 0, 0, 64},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := &job.Advice{BaseTime: c.base, TimePerWorker: c.perWorker}
			assert.Equal(t, advicecalls.MinWorkersPerLaterCall(q, c.known), c.want)
		})
	}
}
