// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// idleRenewals returns how many renewals the holder sends in 20 s to a number of workers without tasks.
func idleRenewals(t *testing.T, workers int) int {
	w := newWorld(t, 5, 1, workers)
	w.waitUntilServing()
	w.run(10 * time.Second)
	before := w.renewalsSent
	w.run(20 * time.Second)
	return w.renewalsSent - before
}

// What a holder does for workers without tasks must be little, and grow no faster than their number.
func TestIdleWorkersAreAskedRarely(t *testing.T) {
	few, many := idleRenewals(t, 12), idleRenewals(t, 48)
	assert.Assert(t, many <= 5*few, "%d renewals for 12 workers, %d for 48", few, many)
	assert.Assert(t, many <= 48*20/4, "%d renewals of 48 workers in 20 s", many)
}

// A worker that is asked rarely is noticed as soon as others when it falls silent, and its first task is
// known to have ended as soon as on others.
func TestIdleWorkerIsWatched(t *testing.T) {
	w := newWorld(t, 5, 1, 2)
	w.noRandomFailures = true
	w.waitUntilServing()
	w.run(10 * time.Second)
	w.workers[0].unreachable = true
	w.run(2500 * time.Millisecond)
	s := oneStep("j", "quick", 1, false)
	w.submit(s)
	submittedAt := w.now
	w.waitUntil(5*time.Second, "the job has ended on the other worker", w.allEnded)
	assert.Assert(t, w.now.Sub(submittedAt) < 2500*time.Millisecond, "%v", w.now.Sub(submittedAt))
	assert.Equal(t, w.workers[0].startCount, 0)
}
