// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/models/stream"
	"saddlevane/services/dispatch"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// A read shows the configuration at the time of its request and is relied on until the next read
// ends. If that is too long, a holder starts no tasks at the end of each read that waits.
func TestConfigurationIsCurrentUntilNextReadEnds(t *testing.T) {
	s := settings()
	s.Dispatch.ConfigPropagation = 2 * time.Second
	on := newPlatform(t).Calls()
	var box atomic.Pointer[testBox]
	var emptyReads, staleReads atomic.Int32
	read := on.Log.Read
	on.Log.Read = func(ctx context.Context, name stream.Name, from int64, wait time.Duration) (stream.Page, error) {
		page, err := read(ctx, name, from, wait)
		b := box.Load()
		if name != stream.Config || err != nil || len(page.Records) > 0 || b == nil {
			return page, err
		}
		b.loop.Query(func(now time.Time, c *dispatch.Core) {
			if !c.IsConfigCurrent(now) {
				staleReads.Add(1)
			}
		})
		emptyReads.Add(1)
		return page, err
	}
	box.Store(startBoxWithSettings(t, s, on, "a", io.Discard, func(address string) string { return address }))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := emptyReads.Load(); n < 3 {
			return poll.Continue("%d reads have ended", n)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	assert.Equal(t, staleReads.Load(), int32(0), "the configuration was not current when a read ended")
}
