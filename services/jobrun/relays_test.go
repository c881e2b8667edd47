// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/services/jobrun"
	"saddlevane/services/relay"
	"saddlevane/tests/memory"

	"gotest.tools/v3/assert"
)

// relaySettings returns settings with which even a small cell uses relays.
func relaySettings() jobrun.Settings {
	s := settings()
	s.Relays = relay.Limits{MinWorkers: 1, WorkersPerRelay: 48}
	return s
}

// startBoxCountingStarts starts a box with relaySettings. The counter holds the number of starts that
// this box itself sends to workers.
func startBoxCountingStarts(t *testing.T, on *memory.Platform, name string) (*testBox, *atomic.Int64) {
	t.Helper()
	calls, sent := on.Calls(), &atomic.Int64{}
	start := calls.Workers.Start
	calls.Workers.Start = func(ctx context.Context, address string, worker order.Incarnation, s order.Start) order.Answer {
		sent.Add(1)
		return start(ctx, address, worker, s)
	}
	return startBoxWithSettings(t, relaySettings(), calls, name, io.Discard, func(address string) string { return address }), sent
}

func TestJobsRunThroughRelaysAndWithoutThem(t *testing.T) {
	on := newPlatform(t)
	holder, direct := startBoxCountingStarts(t, on, "a")
	waitServed(t, holder, jobrun.Request{Submit: submission("alone")}, "")
	waitServed(t, holder, jobrun.Request{State: "alone"}, job.Succeeded)
	assert.Check(t, holder.holdsCell())
	assert.Check(t, direct.Load() > 0, "without other boxes the holder sends orders itself")

	other, relayed := startBoxCountingStarts(t, on, "b")
	waitUntil(t, "the other box relays orders", func() bool {
		id := fmt.Sprint("with", relayed.Load(), "-", direct.Load())
		waitServed(t, holder, jobrun.Request{Submit: submission(id)}, "")
		waitServed(t, holder, jobrun.Request{State: job.ID(id)}, job.Succeeded)
		return relayed.Load() > 0
	})
	before := direct.Load()
	waitServed(t, holder, jobrun.Request{Submit: submission("carried")}, "")
	waitServed(t, holder, jobrun.Request{State: "carried"}, job.Succeeded)
	assert.Equal(t, direct.Load(), before, "the holder sends no orders itself")
	assert.DeepEqual(t, holder.loop.Relays(), map[string]int{"b": 2})
	assert.Equal(t, len(other.loop.Relays()), 0, "the other box does not hold the cell")

	other.close()
	for i := range 3 {
		id := fmt.Sprint("without", i)
		waitServed(t, holder, jobrun.Request{Submit: submission(id)}, "")
		waitServed(t, holder, jobrun.Request{State: job.ID(id)}, job.Succeeded)
	}
	assert.Check(t, direct.Load() > before, "without the relay the holder sends orders itself")
}
