// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exclusion_test

import (
	"testing"
	"time"

	"saddlevane/modules/exclusion"

	"gotest.tools/v3/assert"
)

func TestExclusionDoublesUpToTheLongest(t *testing.T) {
	l := exclusion.New(time.Second, 3*time.Second)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second} {
		assert.Assert(t, l.RecordFailure(now, "a"))
		assert.Assert(t, !l.RecordFailure(now, "a"), "a failure during the exclusion is ignored")
		assert.Assert(t, l.Includes(now.Add(want-1), "a") && !l.Includes(now.Add(want), "a"))
		now = now.Add(want)
	}
	l.Clear("a")
	l.RecordFailure(now, "a")
	assert.Assert(t, !l.Includes(now.Add(time.Second), "a") && !l.Includes(now, "b"))
}
