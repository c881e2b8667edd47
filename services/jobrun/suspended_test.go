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

// A holder whose machine had been suspended for some seconds took itself for the holder
// still: Go's steady clock stands still meanwhile, so its authority had hardly aged, while
// another box had taken the cell over. It renewed leases and started tasks beside it.
func TestHolderLosesAuthorityWhenItsMachineIsSuspended(t *testing.T) {
	on := newPlatform(t)
	var suspended atomic.Int64
	c := clock.Of(time.Now, func() time.Duration { return time.Duration(suspended.Load()) })
	p := startBoxWithClock(t, c, settings(), on.Calls(), "a", io.Discard, func(address string) string { return address })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.holdsCell() {
			return poll.Success()
		}
		return poll.Continue("it does not hold the cell yet")
	}, poll.WithTimeout(10*time.Second))
	var before, after bool
	p.loop.Query(func(now time.Time, core *dispatch.Core) {
		before = core.IsServing(now)
		suspended.Add(int64(5 * time.Second))
		after = core.IsServing(c.Now())
	})
	assert.Check(t, before)
	assert.Check(t, !after, "it holds the cell by an authority that ended while it was suspended")
}
