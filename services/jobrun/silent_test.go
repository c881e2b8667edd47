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
	"saddlevane/tests/forward"
	"saddlevane/tests/memory"

	"gotest.tools/v3/assert"
)

// Symptom: jobs that were accepted never ran, with most of the workers' room free;
// of the time of calls for advice 40 s in 2 s were left 2 s.
//
// Sequence: the open connections between boxes went silent, without a reset; new ones
// worked. The boxes passed callers' wishes on to the holder again 0.7 s later. The
// holder's calls for advice through every other box ran out of their time, in rounds of
// 5.5 s, for as long as it lived.
//
// Cause: the first wish that ran out of its time closed its connection; a call for
// advice that ran out left it in use, and nothing else looked at it.
//
// What settled it: the line "a call had no answer" told of 2,364 calls for advice, all
// on connections used before, over which nothing had come since the silence: for 1 s at
// first, for 36 s at last. No call on a new connection was without an answer.
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
		assert.Check(t, links.Stall() > 0, "nothing was open in round %d", round)
		id := fmt.Sprint("silent", round)
		waitServed(t, holder, jobrun.Request{Submit: submission(id)}, "")
		waitServed(t, holder, jobrun.Request{State: job.ID(id)}, job.Succeeded)
	}
}

// Symptom: after the connections between boxes went silent callers are refused with
// "the holder does not answer", though it answers on new ones; and a holder that the log
// does not answer loses the cell though the other boxes would promise not to claim.
//
// Sequence: connections go silent while the holder and the boxes behind them work. Wishes
// on them run out of their whole time, and the box is marked silent for that. The
// holder's questions to the other boxes run out in every round until its authority ends.
//
// Cause: a call that had no answer on an old connection was taken for a box that does not
// answer; questions to other boxes left the connection in use.
//
// What settled it: the lines of refusals at boxes whose next call, on a new connection,
// was answered at once; no call on a new connection was without an answer.
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
	t.Run("keeps its holder while the log is away", func(t *testing.T) {
		on, links := newPlatform(t), newForwarder(t)
		boxes, cut := startTypicalCell(t, on, links)
		// The holder is the last to miss the log, so that it invites nobody.
		cut.Store(true)
		for _, b := range boxes[1:] {
			waitUntil(t, "the log is away", b.missesLog)
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
	// The other end never says anything.
	waitUntil(t, "the link is given up", func() bool { return metricSum(t, holder, "saddlevane_connections_given_up_total") == 1 })
	waitUntil(t, "no link is counted", func() bool { return metricSum(t, holder, "saddlevane_connections_open") == 0 })
	waitUntil(t, "a line tells of it", func() bool {
		got := out.text()
		for _, want := range []string{"a link to an entry box was given up", raw.LocalAddr().String(), "reason=probe", "open_for=", "heard_ago=", "calls=0"} {
			if !strings.Contains(got, want) {
				return false
			}
		}
		return true
	})
}

// logBuffer keeps what a box logs.
type logBuffer struct {
	mu  sync.Mutex
	all strings.Builder
}

// Write keeps a line.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(p)
}

// text returns all lines.
func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}

// metricSum returns the value of a metric, summed over its labels.
func metricSum(t *testing.T, p *testBox, name string) (sum float64) {
	t.Helper()
	families, err := p.loop.Metrics().Gatherer().Gather()
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

// typicalSettings has the usual times of a cell, which leave room for a link to be given up.
func typicalSettings() jobrun.Settings {
	s := settings()
	s.Dispatch.Authority = authority.Settings{
		RenewInterval: 400 * time.Millisecond, HoldFor: 1400 * time.Millisecond, ClaimAfter: 1550 * time.Millisecond,
	}
	s.PeerTimeout = 700 * time.Millisecond
	return s
}

// startTypicalCell starts three boxes of which the first holds the cell and the others know
// it. Those others can be cut off from the log.
func startTypicalCell(t *testing.T, on *memory.Platform, links *forward.Proxy) ([]*testBox, *atomic.Bool) {
	t.Helper()
	boxes := make([]*testBox, 3)
	calls, cut := disconnectableLog(on)
	for i := range boxes {
		through := calls
		if i == 0 {
			through = on.Calls()
		}
		boxes[i] = startBoxWithSettings(t, typicalSettings(), through, fmt.Sprint("box", i), io.Discard, via(t, links))
		waitServed(t, boxes[i], jobrun.Request{Submit: submission(fmt.Sprint("warm", i))}, "")
	}
	waitUntil(t, "the first box holds the cell", boxes[0].holdsCell)
	return boxes, cut
}

// missesLog says whether the log has not answered a box for some time.
func (p *testBox) missesLog() bool {
	var ago time.Duration
	p.loop.Query(func(now time.Time, c *dispatch.Core) { ago = now.Sub(c.LogReadAt()) })
	return ago > 3*typicalSettings().ReadWait
}

// checkHoldsCell checks that a box holds the cell for some time.
func checkHoldsCell(t *testing.T, p *testBox, span time.Duration) {
	t.Helper()
	began, held := time.Now(), true
	waitUntil(t, "the time is over", func() bool {
		held = held && p.holdsCell()
		return !held || time.Since(began) > span
	})
	assert.Assert(t, held, "it has lost the cell after %v", time.Since(began))
}

// adviceConfig has one queue whose tasks need advice.
func adviceConfig() job.Config {
	c := config()
	q := c.Queues["q"]
	q.Advice = &job.Advice{BaseTime: time.Millisecond, TimePerWorker: time.Millisecond, TicketLifetime: time.Minute}
	c.Queues["q"] = q
	return c
}

// platformWithAdvice returns the calls of a box which advise answers.
func platformWithAdvice(on *memory.Platform, advise func(workers []string) ([]order.Ticket, error)) jobrun.Platform {
	calls := on.Calls()
	calls.Advise = func(_ context.Context, _ job.StepID, workers []string) ([]order.Ticket, error) {
		return advise(workers)
	}
	return calls
}

// refuseAdvice is how the service answers a box of which too many calls wait.
func refuseAdvice([]string) ([]order.Ticket, error) { return nil, jobrun.ErrAdviceBusy }

// giveAdvice has all workers suit.
func giveAdvice(workers []string) ([]order.Ticket, error) {
	tickets := make([]order.Ticket, len(workers))
	for i, w := range workers {
		tickets[i] = order.Ticket{Worker: w, Ticket: "ticket"}
	}
	return tickets, nil
}
