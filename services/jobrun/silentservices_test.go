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
	"saddlevane/tests/memory"
	"saddlevane/tests/tcpproxy"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	// maxAnswerDelay is how late an answer may be before a client retries the call.
	maxAnswerDelay = 50 * time.Millisecond
	// maxRetriedTime is well below the time of a call that times out and well above that of a call that
	// is retried.
	maxRetriedTime = time.Second
)

// newClient returns an HTTP client for a service named to.
func newClient(t *testing.T, to string) *http.Client {
	t.Helper()
	c := httpclient.New(httpclient.Settings{
		To: to, DialTimeout: time.Second, IdleTimeout: time.Minute, MinOverdue: maxAnswerDelay, MaxIdlePerHost: 16, Now: time.Now,
	})
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// TestCallsSucceedAfterPlatformConnectionsGoSilent covers open connections to the log or to the
// advice service that go silent without a reset while new ones work. Appends, reads and calls for
// advice waited until their timeout on such connections instead of being retried, so the outcome of
// submissions was unknown for a second and boxes did not read for 1.4 s which box held the cell.
// Calls for advice that a box made for the holder had no timeout at all: they exceeded the holder's
// timeout and stayed in the box forever.
func TestCallsSucceedAfterPlatformConnectionsGoSilent(t *testing.T) {
	t.Run("to the log", testSilentLog)
	t.Run("to the advice service", testSilentAdvice)
	t.Run("from another box to the advice service", testSilentAdviceThroughPeer)
	t.Run("a box gives up a call to an advice service that does not answer", testHangingAdvice)
}

// testSilentLog fails unless calls are served after the connections to the log went silent.
func testSilentLog(t *testing.T) {
	on, err := standin.New(1)
	assert.NilError(t, err)
	t.Cleanup(on.Close)
	assert.NilError(t, on.Configure(standin.Queue{Name: "q", Host: "h.example", Prefix: "/q/", Attempts: 2}))
	links := newForwarder(t)
	p := startBoxWithLog(t, platform.NewLog(via(t, links)(on.LogAddress()), newClient(t, "log")))
	waitServed(t, p, jobrun.Request{Submit: submission("first")}, "")
	checkSubmissionsAfterSilence(t, p, links)
}

// startBoxWithLog starts a box with a client of the platform's log.
func startBoxWithLog(t *testing.T, log *platform.Log) *testBox {
	t.Helper()
	workers := platform.NewWorkers(newClient(t, "worker"))
	return startBoxVia(t, jobrun.Platform{
		Log:     jobrun.Log{Append: log.Append, Read: log.Read, Newest: log.Newest},
		Workers: relay.WorkerCalls{Renew: workers.Renew, Start: workers.Start, Stop: workers.Stop, Throttle: workers.Throttle},
		Config:  platform.Config, Listing: platform.Listing, Evacuations: platform.Evacuations,
	}, "a", io.Discard, func(address string) string { return address })
}

// checkSubmissionsAfterSilence fails the test unless each job is accepted that is submitted after the
// connections to the log went silent.
func checkSubmissionsAfterSilence(t *testing.T, p *testBox, links *tcpproxy.Proxy) {
	t.Helper()
	for round := range 3 {
		assert.Check(t, links.Stall() > 0)
		a := p.loop.Serve(context.Background(), jobrun.Request{Submit: submission(fmt.Sprint("silent", round))})
		assert.Equal(t, a.Outcome, exchange.OK, "round %d: %+v", round, a)
	}
}

// newAdviceService returns a client, connected through a forwarder, of a service that accepts all
// workers. While hangs is true, the service does not answer.
func newAdviceService(t *testing.T, links *tcpproxy.Proxy, hangs *atomic.Bool) *platform.Advice {
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
		tickets := [][2]string{}
		for _, id := range in.Workers {
			tickets = append(tickets, [2]string{id, "ticket"})
		}
		assert.Check(t, json.NewEncoder(w).Encode(map[string]any{"good": tickets}))
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return platform.NewAdvice(via(t, links)(server.Listener.Addr().String()), newClient(t, "advice service"))
}

// testSilentAdvice covers calls for advice that the holder itself makes.
func testSilentAdvice(t *testing.T) {
	on, err := memory.New(adviceConfig(), 2)
	assert.NilError(t, err)
	links := newForwarder(t)
	calls := on.Calls()
	calls.Advise = newAdviceService(t, links, &atomic.Bool{}).Ask
	p := startBoxVia(t, calls, "a", io.Discard, func(address string) string { return address })
	checkAdviceAfterSilence(t, p, links)
}

// testSilentAdviceThroughPeer covers calls for advice that another box makes for the holder.
func testSilentAdviceThroughPeer(t *testing.T) {
	on, err := memory.New(adviceConfig(), 2)
	assert.NilError(t, err)
	links := newForwarder(t)
	holder := startBoxVia(t, platformWithAdvice(on, refuseAdvice), "a", io.Discard, func(address string) string { return address })
	waitServed(t, holder, jobrun.Request{Submit: submission("holds")}, "")
	assert.Check(t, holder.holdsCell())
	calls := on.Calls()
	calls.Advise = newAdviceService(t, links, &atomic.Bool{}).Ask
	startBoxVia(t, calls, "b", io.Discard, func(address string) string { return address })
	checkAdviceAfterSilence(t, holder, links)
}

// checkAdviceAfterSilence fails the test unless jobs that need advice succeed within maxRetriedTime
// after the connections to the advice service went silent.
func checkAdviceAfterSilence(t *testing.T, holder *testBox, links *tcpproxy.Proxy) {
	t.Helper()
	waitServed(t, holder, jobrun.Request{Submit: submission("first")}, "")
	waitServed(t, holder, jobrun.Request{State: "first"}, job.Succeeded)
	for round := range 3 {
		assert.Check(t, links.Stall() > 0)
		startedAt := time.Now()
		id := fmt.Sprint("silent", round)
		waitServed(t, holder, jobrun.Request{Submit: submission(id)}, "")
		waitServed(t, holder, jobrun.Request{State: job.ID(id)}, job.Succeeded)
		took := time.Since(startedAt)
		assert.Check(t, took < maxRetriedTime, "it took %v in round %d", took, round)
	}
}

// testHangingAdvice fails unless a box ends its calls to a service that does not answer and reports
// the failure to the holder in time.
func testHangingAdvice(t *testing.T) {
	on, err := memory.New(adviceConfig(), 2)
	assert.NilError(t, err)
	output := &logBuffer{}
	holder := startBoxVia(t, platformWithAdvice(on, refuseAdvice), "a", output, func(address string) string { return address })
	waitServed(t, holder, jobrun.Request{Submit: submission("holds")}, "")
	var hangs atomic.Bool
	var begun, ended atomic.Int64
	service := newAdviceService(t, newForwarder(t), &hangs)
	calls := on.Calls()
	calls.Advise = func(ctx context.Context, step job.StepID, workers []string) ([]order.Ticket, error) {
		begun.Add(1)
		defer ended.Add(1)
		return service.Ask(ctx, step, workers)
	}
	startBoxVia(t, calls, "b", io.Discard, func(address string) string { return address })
	waitServed(t, holder, jobrun.Request{State: "holds"}, job.Succeeded)
	hangs.Store(true)
	before := begun.Load()
	waitServed(t, holder, jobrun.Request{Submit: submission("hangs")}, "")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if begun.Load() == before || ended.Load() < begun.Load() || !strings.Contains(output.text(), "advice call failed") {
			return poll.Continue("%d calls for advice were begun, %d have ended", begun.Load(), ended.Load())
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
	assert.Check(t, !strings.Contains(output.text(), "a call was not answered"), "the box did not answer the holder")
}
