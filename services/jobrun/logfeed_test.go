// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/models/stream"
	"saddlevane/routers"
	"saddlevane/services/dispatch"
	"saddlevane/services/jobrun"
	"saddlevane/tests/memory"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// logCalls counts calls to the log: reads of the streams that all boxes follow, and appends of claims,
// nearly all of which are renewals.
type logCalls struct{ reads, claims atomic.Int64 }

// countingPlatform returns the calls of a platform, with a counter of calls to the log.
func countingPlatform(p *memory.Platform) (jobrun.Platform, *logCalls) {
	counts := &logCalls{}
	calls := p.Calls()
	read, appendTo := calls.Log.Read, calls.Log.Append
	calls.Log.Read = func(ctx context.Context, name stream.Name, from int64, wait time.Duration) (stream.Page, error) {
		if name != stream.Workers {
			counts.reads.Add(1)
		}
		return read(ctx, name, from, wait)
	}
	calls.Log.Append = func(ctx context.Context, a stream.Append) (int64, error) {
		if a.Stream == stream.Claims {
			counts.claims.Add(1)
		}
		return appendTo(ctx, a)
	}
	return calls, counts
}

// waitForClaims waits until n more claims have been appended.
func (c *logCalls) waitForClaims(t *testing.T, n int64) {
	t.Helper()
	want := c.claims.Load() + n
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := c.claims.Load(); got < want {
			return poll.Continue("%d claims appended, want %d", got, want)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}

// readsPerClaims returns how many reads are made while n claims are appended, after as many more that
// let the boxes settle.
func (c *logCalls) readsPerClaims(t *testing.T, n int64) int64 {
	t.Helper()
	c.waitForClaims(t, n)
	before := c.reads.Load()
	c.waitForClaims(t, n)
	return c.reads.Load() - before
}

// startBoxes starts boxes of one failure domain and waits until one of them holds the cell and all know
// it.
func startBoxes(t *testing.T, on jobrun.Platform, n int) []*testBox {
	t.Helper()
	var all []*testBox
	for i := range n {
		all = append(all, startBoxVia(t, on, fmt.Sprintf("box-%d", i), io.Discard, func(address string) string { return address }))
	}
	for _, b := range all {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if b.knownHolder() == "" {
				return poll.Continue("a box knows no holder")
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
	}
	return all
}

// knownHolder returns the box that holds the cell as far as the box knows.
func (b *testBox) knownHolder() (name string) {
	b.loop.Query(func(_ time.Time, c *dispatch.Core) { name = c.Holder().Box })
	return name
}

// The number of reads of the log must not grow with the number of boxes.
func TestLogReadsDoNotGrowWithBoxes(t *testing.T) {
	counts := map[int]int64{}
	for _, n := range []int{8, 32} {
		p, err := memory.New(config(), 2)
		assert.NilError(t, err)
		calls, logCalls := countingPlatform(p)
		all := startBoxes(t, calls, n)
		counts[n] = logCalls.readsPerClaims(t, 20)
		for _, b := range all {
			b.close()
		}
	}
	assert.Assert(t, counts[32] < 2*counts[8], "reads during 20 renewals by number of boxes: %v", counts)
}

// A change of the configuration stream reaches boxes that read the log through others, also after the
// boxes that read it are gone.
func TestChangesReachBoxesThatReadThroughOthers(t *testing.T) {
	p, err := memory.New(config(), 2)
	assert.NilError(t, err)
	all := startBoxes(t, p.Calls(), 8)
	var servers []*httptest.Server
	for _, b := range all {
		server := httptest.NewServer(routers.NewJobs(b.loop))
		t.Cleanup(server.Close)
		servers = append(servers, server)
	}
	for round := range 4 {
		domain := fmt.Sprintf("domain-%d", round)
		assert.Equal(t, requestStatus(t, "PUT", servers[len(servers)-1].URL+"/v1/evacuations/"+domain), 200)
		for i := round; i < len(all); i++ {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if got := evacuatedDomains(t, servers[i]); len(got) != round+1 {
					return poll.Continue("box %d knows %v", i, got)
				}
				return poll.Success()
			}, poll.WithTimeout(10*time.Second))
		}
		all[round].close()
	}
}

// If the holder and the boxes that read the log are lost at once, one of the others takes the cell
// over.
func TestFollowersTakeOverWhenAllReadersAreLost(t *testing.T) {
	p, err := memory.New(config(), 2)
	assert.NilError(t, err)
	calls, _ := countingPlatform(p)
	all := startBoxes(t, calls, 10)
	for _, b := range all[:8] {
		b.close()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !all[8].holdsCell() && !all[9].holdsCell() {
			return poll.Continue("no box holds the cell")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// The holder asks the candidates whether they reach the log. Those that do stay candidates.
func TestReachableBoxesStayCandidates(t *testing.T) {
	p, err := memory.New(config(), 2)
	assert.NilError(t, err)
	out := &safeBuffer{}
	for i := range 12 {
		startBox(t, p, fmt.Sprintf("box-%d", i), out)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !strings.Contains(out.String(), "candidates were asked") {
			return poll.Continue("the candidates were not asked yet")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	assert.Assert(t, !strings.Contains(out.String(), "is no candidate"), "%s", out.String())
}
