// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/modules/clock"
	"saddlevane/services/dispatch"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestHolderLosesAuthorityWhenItsMachineIsSuspended guards against two holders that act at the same
// time. Go's monotonic clock stops while the machine is suspended. For a holder whose machine had
// been suspended for some seconds, its authority had hardly aged, although another box had taken
// over the cell, and it went on to renew leases and start tasks beside that box.
func TestHolderLosesAuthorityWhenItsMachineIsSuspended(t *testing.T) {
	on := newPlatform(t)
	var suspended atomic.Int64
	c := clock.NewWith(time.Now, func() time.Duration { return time.Duration(suspended.Load()) })
	p := startBoxWithClock(t, c, settings(), on.Calls(), "a", io.Discard, func(address string) string { return address })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.holdsCell() {
			return poll.Success()
		}
		return poll.Continue("the box does not hold the cell yet")
	}, poll.WithTimeout(10*time.Second))
	var before, after bool
	p.loop.Query(func(now time.Time, core *dispatch.Core) {
		before = core.IsServing(now)
		suspended.Add(int64(5 * time.Second))
		after = core.IsServing(c.Now())
	})
	assert.Check(t, before)
	assert.Check(t, !after, "the box holds the cell although its authority ended during the suspension")
}
