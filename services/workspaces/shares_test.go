// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package workspaces_test

import (
	"math"
	"testing"
	"time"

	"saddlevane/models/resource"
	"saddlevane/models/workspace"
	"saddlevane/services/workspaces"

	"gotest.tools/v3/assert"
)

func nan() float64 { return math.NaN() }

func capOf(cores int64) resource.Vector {
	return resource.Vector{Processors: resource.Millis(cores) * resource.Processor}
}

// TestShareAccumulatesOverWindow checks that a workspace may submit the jobs of one window at once,
// and its weight per second from then on.
func TestShareAccumulatesOverWindow(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	w := workspace.Workspace{Name: "a", Weight: 4}
	s := workspaces.NewShareLimiter(5 * time.Second)
	take := func() (n int) {
		for s.TakeToken(now, w) {
			n++
		}
		return n
	}
	assert.Equal(t, take(), 20)
	assert.Equal(t, s.TimeToToken(now, w), 250*time.Millisecond)
	now = now.Add(time.Second)
	assert.Equal(t, take(), 4)
	now = now.Add(time.Hour)
	assert.Equal(t, take(), 20)
	now = now.Add(-time.Hour)
	assert.Equal(t, take(), 0)
	// A workspace without a weight gets no tokens after its first jobs, and no time to come back.
	none := workspace.Workspace{Name: "none"}
	for _, want := range []bool{true, true, false} {
		assert.Equal(t, s.TakeToken(now, none), want)
	}
	assert.Equal(t, s.TimeToToken(now, none), time.Duration(0))
}

func TestRemainingCap(t *testing.T) {
	u := workspaces.NewUsage()
	w := workspace.Workspace{Name: "a", Cap: resource.Vector{Processors: 10, Memory: 0, Accelerators: 2}}
	need := resource.Vector{Processors: 4, Memory: 1 << 40}
	assert.Equal(t, u.Remaining(w).FitCount(need, 100), 2)
	u.Add("a", need)
	u.Add("", need)
	assert.Equal(t, u.Remaining(w).FitCount(need, 100), 1)
	// A resource that is used up does not prevent tasks that need none of it from starting.
	u.Add("a", resource.Vector{Accelerators: 3})
	assert.Equal(t, u.Remaining(w).FitCount(need, 100), 1)
	u.SetUnreported(map[string]resource.Vector{"a": {Processors: 3}})
	assert.Equal(t, u.Remaining(w).FitCount(need, 100), 0)
	u.SetUnreported(nil)
	u.Subtract("a", resource.Vector{Accelerators: 3})
	u.Subtract("a", need)
	assert.Check(t, u.Of("a").IsZero() && u.Of("").IsZero())
	assert.Check(t, workspaces.FitsCap(w, need) && !workspaces.FitsCap(w, need.Times(3)))
}
