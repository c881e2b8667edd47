// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/services/authority"
	"saddlevane/services/dispatch"
	"saddlevane/services/jobrun"
	"saddlevane/tests/memory"
	"saddlevane/tests/tcpproxy"

	"gotest.tools/v3/assert"
)

// TestAdviceResumesAfterPeerConnectionsGoSilent covers open connections between boxes that go
// silent without a reset while new ones work. A forwarded request that timed out closed its
// connection, and requests were forwarded again 0.7 s later. A call for advice that timed out left
// the connection in use, in the end after 36 s without any data, so the holder's calls through
// every other box timed out in rounds of 5.5 s until the holder ended. The time spent in calls for
// advice, summed over concurrent calls, fell from 40 s to 2 s in 2 s, and accepted jobs never ran
// although most workers had free capacity.
func TestAdviceResumesAfterPeerConnectionsGoSilent(t *testing.T) {
	on, err := memory.New(adviceConfig(), 2)
	assert.NilError(t, err)
	links := newForwarder(t)
	holder := startBoxVia(t, platformWithAdvice(on, refuseAdvice), "a", io.Discard, via(t, links))
	waitServed(t, holder, jobrun.Request{Submit: submission("first")}, "")
	assert.Check(t, holder.holdsCell())
	startBoxVia(t, platformWithAdvice(on, giveAdvice), "b", io.Discard, via(t, links))
	waitServed(t, holder, jobrun.Request{State: "first"}, job.Succeeded)

	for round := range 3 {
		assert.Check(t, links.Stall() > 0, "no connection was open in round %d", round)
		id := fmt.Sprint("silent", round)
		waitServed(t, holder, jobrun.Request{Submit: submission(id)}, "")
		waitServed(t, holder, jobrun.Request{State: job.ID(id)}, job.Succeeded)
	}
}

// TestCellWithSilentPeerConnections guards against two consequences of connections between boxes
// that went silent. A timed-out call on an old connection was taken for a holder that does not
// answer, and callers were refused although the holder answered on new connections. A holder whose
// log did not answer lost the cell: its requests for pledges timed out in every round, since they
// left the silent connections in use, although the other boxes would have pledged not to claim.
func TestCellWithSilentPeerConnections(t *testing.T) {
	t.Run("refuses no caller while its holder answers", func(t *testing.T) {
		links := newForwarder(t)
		boxes, _ := startTypicalCell(t, newPlatform(t), links)
		assert.Check(t, links.Stall() > 0)
		var callers sync.WaitGroup
		for i := range 5 {
			callers.Go(func() {
				for j := range 4 {
					a := boxes[1].loop.Serve(context.Background(), jobrun.Request{Submit: submission(fmt.Sprintf("j%d-%d", i, j))})
					assert.Check(t, a.Outcome == exchange.OK, "call %d of caller %d: %+v", j, i, a)
				}
			})
		}
		callers.Wait()
	})
	t.Run("keeps its holder while the log is down", func(t *testing.T) {
		on, links := newPlatform(t), newForwarder(t)
		boxes, disconnected := startTypicalCell(t, on, links)
		// The holder is the last box to lose the log, so that it has no other box to invite.
		disconnected.Store(true)
		for _, b := range boxes[1:] {
			waitUntil(t, "the log does not answer the box", b.missesLog)
		}
		on.SetDown(true)
		span := 2 * typicalSettings().Dispatch.Authority.HoldFor
		checkHoldsCell(t, boxes[0], span)
		assert.Check(t, links.Stall() > 0)
		checkHoldsCell(t, boxes[0], span)
	})
}

func TestClosedSilentLinkIsLoggedAndCounted(t *testing.T) {
	links, out := newForwarder(t), &logBuffer{}
	holder := startBoxVia(t, newPlatform(t).Calls(), "a", out, via(t, links))
	assert.Equal(t, metricSum(t, holder, "saddlevane_connections_open"), 0.0)
	raw, err := net.Dial("tcp", holder.address)
	assert.NilError(t, err)
	defer raw.Close()
	waitUntil(t, "the link is counted", func() bool { return metricSum(t, holder, "saddlevane_connections_open") == 1 })
	// The other end never sends anything.
	waitUntil(t, "the link is closed", func() bool { return metricSum(t, holder, "saddlevane_connections_given_up_total") == 1 })
	waitUntil(t, "no link is counted", func() bool { return metricSum(t, holder, "saddlevane_connections_open") == 0 })
	waitUntil(t, "the log reports the closed link", func() bool {
		got := out.text()
		for _, want := range []string{"a link to an entry box was discarded", raw.LocalAddr().String(), "reason=probe", "open_for=", "heard_ago=", "calls=0"} {
			if !strings.Contains(got, want) {
				return false
			}
		}
		return true
	})
}

// logBuffer holds what a box logs.
type logBuffer struct {
	mu  sync.Mutex
	all strings.Builder
}

// Write appends a log line.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(p)
}

// text returns all lines logged so far.
func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}

// metricSum returns the value of a metric, summed over its labels.
func metricSum(t *testing.T, b *testBox, name string) (sum float64) {
	t.Helper()
	families, err := b.loop.Metrics().Gatherer().Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return sum
}

// typicalSettings returns settings with the usual timing of a cell, which leaves enough time for silent
// links to be detected and closed.
func typicalSettings() jobrun.Settings {
	s := settings()
	s.Dispatch.Authority = authority.Settings{
		RenewInterval: 400 * time.Millisecond, HoldFor: 1400 * time.Millisecond, ClaimAfter: 1550 * time.Millisecond, OutsiderClaimAfter: 10 * time.Second,
	}
	s.PeerTimeout = 700 * time.Millisecond
	return s
}

// startTypicalCell starts three boxes. The first holds the cell and the others know it as the holder. The
// returned switch disconnects those others from the log.
func startTypicalCell(t *testing.T, on *memory.Platform, links *tcpproxy.Proxy) ([]*testBox, *atomic.Bool) {
	t.Helper()
	boxes := make([]*testBox, 3)
	calls, disconnected := disconnectableLog(on)
	for i := range boxes {
		platform := calls
		if i == 0 {
			platform = on.Calls()
		}
		boxes[i] = startBoxWithSettings(t, typicalSettings(), platform, fmt.Sprint("box", i), io.Discard, via(t, links))
		waitServed(t, boxes[i], jobrun.Request{Submit: submission(fmt.Sprint("warm", i))}, "")
	}
	waitUntil(t, "the first box holds the cell", boxes[0].holdsCell)
	return boxes, disconnected
}

// missesLog reports whether the log has not answered the box for more than three waits of a read.
func (b *testBox) missesLog() bool {
	var age time.Duration
	b.loop.Query(func(now time.Time, c *dispatch.Core) { age = now.Sub(c.LogReadAt()) })
	return age > 3*typicalSettings().ReadWait
}

// checkHoldsCell fails the test unless the box holds the cell throughout the given time.
func checkHoldsCell(t *testing.T, b *testBox, span time.Duration) {
	t.Helper()
	startedAt, held := time.Now(), true
	waitUntil(t, "the time is over", func() bool {
		held = held && b.holdsCell()
		return !held || time.Since(startedAt) > span
	})
	assert.Assert(t, held, "the box lost the cell after %v", time.Since(startedAt))
}

// adviceConfig returns a configuration with one queue, whose tasks need advice.
func adviceConfig() job.Config {
	c := config()
	q := c.Queues["q"]
	q.Advice = &job.Advice{BaseTime: time.Millisecond, TimePerWorker: time.Millisecond, TicketLifetime: time.Minute}
	c.Queues["q"] = q
	return c
}

// platformWithAdvice returns the calls of a platform whose advice service is replaced by advise.
func platformWithAdvice(on *memory.Platform, advise func(workers []string) ([]order.Ticket, error)) jobrun.Platform {
	calls := on.Calls()
	calls.Advise = func(_ context.Context, _ job.StepID, workers []string) ([]order.Ticket, error) {
		return advise(workers)
	}
	return calls
}

// refuseAdvice is an advice service that already has too many calls of the box waiting.
func refuseAdvice([]string) ([]order.Ticket, error) { return nil, jobrun.ErrAdviceBusy }

// giveAdvice is an advice service that accepts all workers.
func giveAdvice(workers []string) ([]order.Ticket, error) {
	tickets := make([]order.Ticket, len(workers))
	for i, w := range workers {
		tickets[i] = order.Ticket{Worker: w, Ticket: "ticket"}
	}
	return tickets, nil
}
