// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/httpclient"
	"saddlevane/platform"
	"saddlevane/platform/standin"
	"saddlevane/services/jobrun"
	"saddlevane/services/relay"
	"saddlevane/tests/forward"
	"saddlevane/tests/memory"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	// maxAnswerDelay is how late the answer of a service of a test may be.
	maxAnswerDelay = 50 * time.Millisecond
	// maxRetriedTime is well below what a call takes that runs out of its time, and well above
	// what one takes that is made again.
	maxRetriedTime = time.Second
)

// newClient returns a client for a service of a test.
func newClient(t *testing.T, to string) *http.Client {
	t.Helper()
	c := httpclient.New(httpclient.Settings{
		To: to, Dial: time.Second, Unused: time.Minute, Answer: maxAnswerDelay, PerHost: 16, Now: time.Now,
	})
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// Symptom: callers were unsure of their jobs for a second, and boxes did not read who
// held the cell for 1.4 s, after connections to the platform had gone silent; calls for
// advice through a box ran out of the holder's time, and stayed in the box for ever.
//
// Sequence: the open connections to the log or to the advice service go silent, without
// a reset; new ones work.
//
// Cause: appends, reads and calls for advice waited out their time on such a connection
// though they may be made again; the call that a box makes for the holder had no bound.
//
// What settled it: 2 appends and 130 reads of the log ran out of their time at once, all
// on connections used before, and were answered when they were made again.
func TestCallsSucceedAfterPlatformConnectionsGoSilent(t *testing.T) {
	t.Run("to the log", testSilentLog)
	t.Run("to the advice service", testSilentAdvice)
	t.Run("from another box to the advice service", testSilentAdviceThroughPeer)
	t.Run("a box gives an advice service up that does not answer", testHangingAdvice)
}

func testSilentLog(t *testing.T) {
	on, err := standin.New(1)
	assert.NilError(t, err)
	t.Cleanup(on.Close)
	assert.NilError(t, on.Configure(standin.Queue{Name: "q", Host: "h.example", Prefix: "/q/", Attempts: 2}))
	between := newForwarder(t)
	workers := platform.NewWorkers(newClient(t, "worker"))
	log := platform.NewLog(via(t, between)(on.Log()), newClient(t, "log"))
	p := startBoxVia(t, jobrun.Platform{
		Log:     jobrun.Log{Append: log.Append, Read: log.Read, Newest: log.Newest},
		Workers: relay.WorkerCalls{Renew: workers.Renew, Start: workers.Start, Stop: workers.Stop, Throttle: workers.Throttle},
		Config:  platform.Config, Listing: platform.Listing,
	}, "a", io.Discard, func(address string) string { return address })
	waitServed(t, p, jobrun.Request{Submit: submission("first")}, "")

	for round := range 3 {
		assert.Check(t, between.Stall() > 0)
		a := p.loop.Serve(context.Background(), jobrun.Request{Submit: submission(fmt.Sprint("silent", round))})
		assert.Equal(t, a.Outcome, exchange.OK, "round %d: %+v", round, a)
	}
}

// newAdviceService answers that all workers suit, unless hangs says so.
func newAdviceService(t *testing.T, between *forward.Proxy, hangs *atomic.Bool) *platform.Advice {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Workers []string `json:"workers"`
		}
		assert.Check(t, json.NewDecoder(r.Body).Decode(&in))
		if hangs.Load() {
			<-r.Context().Done()
			return
		}
		good := [][2]string{}
		for _, id := range in.Workers {
			good = append(good, [2]string{id, "ticket"})
		}
		assert.Check(t, json.NewEncoder(w).Encode(map[string]any{"good": good}))
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return platform.NewAdvice(via(t, between)(server.Listener.Addr().String()), newClient(t, "advice service"))
}

func testSilentAdvice(t *testing.T) {
	on, err := memory.New(adviceConfig(), 2)
	assert.NilError(t, err)
	between := newForwarder(t)
	calls := on.Calls()
	calls.Advise = newAdviceService(t, between, &atomic.Bool{}).Ask
	p := startBoxVia(t, calls, "a", io.Discard, func(address string) string { return address })
	checkAdviceAfterSilence(t, p, between)
}

func testSilentAdviceThroughPeer(t *testing.T) {
	on, err := memory.New(adviceConfig(), 2)
	assert.NilError(t, err)
	between := newForwarder(t)
	holder := startBoxVia(t, platformWithAdvice(on, refuseAdvice), "a", io.Discard, func(address string) string { return address })
	waitServed(t, holder, jobrun.Request{Submit: submission("holds")}, "")
	assert.Check(t, holder.holdsCell())
	calls := on.Calls()
	calls.Advise = newAdviceService(t, between, &atomic.Bool{}).Ask
	startBoxVia(t, calls, "b", io.Discard, func(address string) string { return address })
	checkAdviceAfterSilence(t, holder, between)
}

// checkAdviceAfterSilence fails the test unless a job is advised and done soon after the connections to
// the advice service went silent.
func checkAdviceAfterSilence(t *testing.T, holder *testBox, between *forward.Proxy) {
	t.Helper()
	waitServed(t, holder, jobrun.Request{Submit: submission("first")}, "")
	waitServed(t, holder, jobrun.Request{State: "first"}, job.Succeeded)
	for round := range 3 {
		assert.Check(t, between.Stall() > 0)
		began := time.Now()
		id := fmt.Sprint("silent", round)
		waitServed(t, holder, jobrun.Request{Submit: submission(id)}, "")
		waitServed(t, holder, jobrun.Request{State: job.ID(id)}, job.Succeeded)
		took := time.Since(began)
		assert.Check(t, took < maxRetriedTime, "it took %v in round %d", took, round)
	}
}

func testHangingAdvice(t *testing.T) {
	on, err := memory.New(adviceConfig(), 2)
	assert.NilError(t, err)
	lines := &logBuffer{}
	holder := startBoxVia(t, platformWithAdvice(on, refuseAdvice), "a", lines, func(address string) string { return address })
	waitServed(t, holder, jobrun.Request{Submit: submission("holds")}, "")
	var hangs atomic.Bool
	var begun, over atomic.Int64
	service := newAdviceService(t, newForwarder(t), &hangs)
	calls := on.Calls()
	calls.Advise = func(ctx context.Context, step job.StepID, workers []string) ([]order.Ticket, error) {
		begun.Add(1)
		defer over.Add(1)
		return service.Ask(ctx, step, workers)
	}
	startBoxVia(t, calls, "b", io.Discard, func(address string) string { return address })
	waitServed(t, holder, jobrun.Request{State: "holds"}, job.Succeeded)
	hangs.Store(true)
	before := begun.Load()
	waitServed(t, holder, jobrun.Request{Submit: submission("hangs")}, "")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if begun.Load() == before || over.Load() < begun.Load() || !strings.Contains(lines.text(), "advice failed") {
			return poll.Continue("%d calls for advice were begun, %d are over", begun.Load(), over.Load())
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	assert.Check(t, !strings.Contains(lines.text(), "a call had no answer"), "the box did not answer the holder")
}
