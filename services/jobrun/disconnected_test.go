// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/stream"
	"saddlevane/services/jobrun"
	"saddlevane/tests/memory"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

var errDisconnected = errors.New("disconnected from the log")

// disconnectableLog returns the calls of a platform and a switch that makes all calls to its log
// fail.
func disconnectableLog(on *memory.Platform) (jobrun.Platform, *atomic.Bool) {
	disconnected := &atomic.Bool{}
	calls := on.Calls()
	log := calls.Log
	calls.Log = jobrun.Log{
		Append: func(ctx context.Context, a stream.Append) (int64, error) {
			if disconnected.Load() {
				return 0, errDisconnected
			}
			return log.Append(ctx, a)
		},
		Read: func(ctx context.Context, name stream.Name, from int64, wait time.Duration) (stream.Page, error) {
			if disconnected.Load() {
				return stream.Page{}, errDisconnected
			}
			return log.Read(ctx, name, from, wait)
		},
		Newest: func(ctx context.Context, name stream.Name) (stream.Page, error) {
			if disconnected.Load() {
				return stream.Page{}, errDisconnected
			}
			return log.Newest(ctx, name)
		},
	}
	return calls, disconnected
}

// waitUntil waits up to 10 s until a condition holds; what describes it.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestDisconnectedHolderIsNotReady(t *testing.T) {
	on := newPlatform(t)
	calls, disconnected := disconnectableLog(on)
	direct := func(address string) string { return address }
	first := startBoxVia(t, calls, "a", io.Discard, direct)
	waitServed(t, first, jobrun.Request{Submit: submission("first")}, "")
	links := newForwarder(t)
	others := []*testBox{startBoxVia(t, on.Calls(), "b", io.Discard, via(t, links)), startBoxVia(t, on.Calls(), "c", io.Discard, via(t, links))}
	waitServed(t, others[0], jobrun.Request{Submit: submission("second")}, "")
	assert.Check(t, first.holdsCell() && first.loop.Ready())

	disconnected.Store(true)
	links.SetRefusing(true)
	links.Reset()
	waitUntil(t, "another box holds the cell", func() bool { return others[0].holdsCell() || others[1].holdsCell() })
	waitUntil(t, "the disconnected box is not ready", func() bool { return !first.loop.Ready() })
}

func TestBoxWithoutLogFollowsHandover(t *testing.T) {
	on := newPlatform(t)
	calls, disconnected := disconnectableLog(on)
	first := startBox(t, on, "a", io.Discard)
	waitServed(t, first, jobrun.Request{Submit: submission("first")}, "")
	second := startBox(t, on, "b", io.Discard)
	withoutLog := startBoxVia(t, calls, "c", io.Discard, func(address string) string { return address })
	for i, b := range []*testBox{first, second, withoutLog} {
		waitServed(t, b, jobrun.Request{Submit: submission(fmt.Sprint("warm", i))}, "")
	}
	assert.Check(t, first.holdsCell())
	disconnected.Store(true)
	first.loop.Stop()
	waitUntil(t, "the second box holds the cell", second.holdsCell)
	// For half a second the box does not detect that the log rejects its calls.
	waitServed(t, withoutLog, jobrun.Request{Submit: submission("after")}, "")
	for i := range 20 {
		a := withoutLog.loop.Serve(context.Background(), jobrun.Request{Submit: submission(fmt.Sprint("j", i))})
		assert.Check(t, a.Outcome == exchange.OK, "call %d: %+v", i, a)
	}
	assert.Check(t, withoutLog.loop.Ready())
	waitServed(t, withoutLog, jobrun.Request{State: job.ID("j19")}, job.Succeeded)
}
