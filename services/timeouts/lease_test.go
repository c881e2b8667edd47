// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeouts_test

import (
	"testing"
	"time"

	"saddlevane/services/timeouts"

	"gotest.tools/v3/assert"
)

func TestLeaseWithinIsInverseOfMaxLeaseDuration(t *testing.T) {
	for lease := 100 * time.Millisecond; lease < time.Minute; lease += 700 * time.Millisecond {
		limit := timeouts.MaxLeaseDuration(lease)
		got := timeouts.LeaseWithin(limit)
		assert.Check(t, timeouts.MaxLeaseDuration(got) <= limit, "%v lasts longer than %v", got, limit)
		assert.Check(t, lease-got < time.Millisecond, "%v in place of %v", got, lease)
	}
}

func TestNoLeaseFitsIntoTimeOfOneOrder(t *testing.T) {
	for _, limit := range []time.Duration{0, 10 * time.Millisecond, 150 * time.Millisecond} {
		assert.Equal(t, timeouts.LeaseWithin(limit), time.Duration(0), "%v", limit)
	}
}
