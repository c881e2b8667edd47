// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package presence_test

import (
	"testing"
	"time"

	"saddlevane/services/presence"

	"gotest.tools/v3/assert"
)

// The worker may have been running all the time and would refuse a lower number, which the holder would
// take for the sign of a later holder.
func TestWorkerThatReturnsLateGetsNoLowerFence(t *testing.T) {
	var f presence.FormerWorkers
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	known := f.Take("w")
	known.RaiseFence(1)
	before := known.Fence(1)
	f.Add(now, "w", known)
	f.Expire(now.Add(2 * time.Minute))
	assert.Check(t, f.Take("w").Fence(1) >= before)
}
