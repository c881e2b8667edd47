// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package startlimit_test

import (
	"testing"
	"time"

	"saddlevane/services/startlimit"

	"gotest.tools/v3/assert"
)

func TestStartsPerWindowAreLimited(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var limiter startlimit.Limiter
	starts, next := 0, now
	for at := now; at.Before(now.Add(time.Minute)); at = at.Add(10 * time.Millisecond) {
		if at.Before(next) {
			continue
		}
		starts++
		next, _ = limiter.RecordStart(at)
	}
	assert.Check(t, starts <= 65, "%d starts in a minute", starts)
}

func TestInfrequentStartsAreNotDelayed(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var limiter startlimit.Limiter
	for range 100 {
		next, limited := limiter.RecordStart(now)
		assert.Check(t, !limited && next.Equal(now))
		now = now.Add(1300 * time.Millisecond)
	}
}
