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

var errCut = errors.New("cut off from the log")

// cuttable returns a platform whose log one box can be cut off from.
func cuttable(on *memory.Platform) (jobrun.Platform, *atomic.Bool) {
	cut := &atomic.Bool{}
	calls := on.Calls()
	log := calls.Log
	calls.Log = jobrun.Log{
		Append: func(ctx context.Context, a stream.Append) (int64, error) {
			if cut.Load() {
				return 0, errCut
			}
			return log.Append(ctx, a)
		},
		Read: func(ctx context.Context, name stream.Name, from int64, wait time.Duration) (stream.Page, error) {
			if cut.Load() {
				return stream.Page{}, errCut
			}
			return log.Read(ctx, name, from, wait)
		},
		Newest: func(ctx context.Context, name stream.Name) (stream.Page, error) {
			if cut.Load() {
				return stream.Page{}, errCut
			}
			return log.Newest(ctx, name)
		},
	}
	return calls, cut
}

// until waits until a condition holds.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestABoxThatIsCutOffWithTheCellIsNotReady(t *testing.T) {
	on := platformOf(t)
	calls, cut := cuttable(on)
	direct := func(address string) string { return address }
	first := startVia(t, calls, "a", io.Discard, direct)
	served(t, first, jobrun.Request{Submit: submission("first")}, "")
	links := forwarder(t)
	others := []*process{startVia(t, on.Calls(), "b", io.Discard, via(t, links)), startVia(t, on.Calls(), "c", io.Discard, via(t, links))}
	served(t, others[0], jobrun.Request{Submit: submission("second")}, "")
	assert.Check(t, first.holds() && first.loop.Ready())

	cut.Store(true)
	links.Refuse(true)
	links.Reset()
	until(t, "another box holds the cell", func() bool { return others[0].holds() || others[1].holds() })
	until(t, "the box that is cut off is not ready", func() bool { return !first.loop.Ready() })
}

func TestABoxThatTheLogTurnsAwayFollowsTheCell(t *testing.T) {
	on := platformOf(t)
	calls, cut := cuttable(on)
	first := start(t, on, "a", io.Discard)
	served(t, first, jobrun.Request{Submit: submission("first")}, "")
	second := start(t, on, "b", io.Discard)
	away := startVia(t, calls, "c", io.Discard, func(address string) string { return address })
	for i, b := range []*process{first, second, away} {
		served(t, b, jobrun.Request{Submit: submission(fmt.Sprint("warm", i))}, "")
	}
	assert.Check(t, first.holds())
	cut.Store(true)
	first.loop.Stop()
	until(t, "the second box holds the cell", second.holds)
	// For half a second the box cannot know that the log turns it away.
	served(t, away, jobrun.Request{Submit: submission("after")}, "")
	for i := range 20 {
		a := away.loop.Serve(context.Background(), jobrun.Request{Submit: submission(fmt.Sprint("j", i))})
		assert.Check(t, a.Outcome == exchange.OK, "call %d: %+v", i, a)
	}
	assert.Check(t, away.loop.Ready())
	served(t, away, jobrun.Request{State: job.ID("j19")}, job.Succeeded)
}
