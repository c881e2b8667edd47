// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/modules/clock"
	"saddlevane/platform"
	"saddlevane/routers"
	"saddlevane/services/authority"
	"saddlevane/services/dispatch"
	"saddlevane/services/jobrun"
	"saddlevane/tests/memory"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func config() job.Config {
	return job.Config{
		Version: 1, Queues: map[string]job.Queue{"q": {Name: "q", Pool: "pool", Attempts: 2, Stretch: 2, Latency: time.Second, Open: true}},
		Routes: []job.Route{{Host: "h.example", Prefix: "/q/", Queue: "q"}},
	}
}

func settings() jobrun.Settings {
	return jobrun.Settings{
		Dispatch: dispatch.Settings{
			Authority: authority.Settings{RenewInterval: 100 * time.Millisecond, HoldFor: 400 * time.Millisecond, ClaimAfter: 500 * time.Millisecond, OutsiderClaimAfter: 3 * time.Second},
			Lease:     2 * time.Second, RenewWait: 200 * time.Millisecond,
			OrderTimeout: 300 * time.Millisecond, AppendInterval: 2 * time.Millisecond, EndedRetention: time.Minute, StopGrace: 100 * time.Millisecond,
			ConfigPropagation: 3 * time.Second, EvacuationPropagation: 3 * time.Second, ShareWindow: 5 * time.Second,
		},
		Tick: 10 * time.Millisecond, ReadWait: 200 * time.Millisecond, WorkersInterval: 50 * time.Millisecond,
		CallTimeout: 300 * time.Millisecond, PeerTimeout: 300 * time.Millisecond,
		ProbeAfter: time.Second, AnswerTimeout: 250 * time.Millisecond,
	}
}

// testBox is an entry box that runs in the test's process.
type testBox struct {
	loop   *jobrun.Loop
	peers  *jobrun.Peers
	closed atomic.Bool
	// address is the address where the box itself accepts connections of other boxes.
	address string
}

func (b *testBox) close() {
	if b.closed.CompareAndSwap(false, true) {
		b.peers.Close()
		b.loop.Close()
	}
}

// startBox starts a box that other boxes reach directly.
func startBox(t *testing.T, on *memory.Platform, name string, out io.Writer) *testBox {
	t.Helper()
	return startBoxVia(t, on.Calls(), name, out, func(address string) string { return address })
}

// startBoxVia starts a box that announces to other boxes the address that via returns for its own.
func startBoxVia(t *testing.T, on jobrun.Platform, name string, out io.Writer, via func(address string) string) *testBox {
	t.Helper()
	return startBoxWithSettings(t, settings(), on, name, out, via)
}

// startBoxWithSettings starts a box like startBoxVia with the given settings.
func startBoxWithSettings(t *testing.T, s jobrun.Settings, on jobrun.Platform, name string, out io.Writer, via func(address string) string) *testBox {
	t.Helper()
	c, err := clock.New()
	assert.NilError(t, err)
	return startBoxWithClock(t, c, s, on, name, out, via)
}

// startBoxWithClock starts a box like startBoxWithSettings with the given clock.
func startBoxWithClock(t *testing.T, c *clock.Clock, s jobrun.Settings, on jobrun.Platform, name string, out io.Writer, via func(address string) string) *testBox {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	log := logrus.New()
	log.SetOutput(out)
	self := claim.Member{Box: name, Incarnation: name + time.Now().String(), Domain: "a", Address: via(listener.Addr().String())}
	b := &testBox{address: listener.Addr().String(), loop: jobrun.NewLoop(s, self, on, log.WithField("box", name), c)}
	b.peers = jobrun.NewPeers(listener, b.loop)
	b.loop.Run(b.peers)
	b.peers.Serve()
	t.Cleanup(b.close)
	return b
}

// holdsCell reports whether the box holds the cell at present.
func (b *testBox) holdsCell() bool {
	holds := false
	b.loop.Query(func(now time.Time, c *dispatch.Core) { holds = c.IsServing(now) })
	return holds
}

// submission returns a job with a step of three tasks, followed by a step of one task.
func submission(id string) *job.Submission {
	return &job.Submission{ID: job.ID(id), Queue: "q", Steps: []job.Step{
		{Tasks: 3, Need: resource.Vector{Processors: resource.Processor}, Estimate: 30},
		{Tasks: 1, Need: resource.Vector{Processors: resource.Processor}, Estimate: 30, After: []int{0}},
	}}
}

// waitServed repeats a request until it succeeds and returns the wanted state; any state will do if
// want is empty.
func waitServed(t *testing.T, b *testBox, r jobrun.Request, want job.State) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		a := b.loop.Serve(context.Background(), r)
		if a.Outcome == exchange.OK && (want == "" || a.State == want) {
			return poll.Success()
		}
		return poll.Continue("%+v", a)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// newPlatform returns a platform in memory with two workers.
func newPlatform(t *testing.T) *memory.Platform {
	t.Helper()
	on, err := memory.New(config(), 2)
	assert.NilError(t, err)
	return on
}

func TestJobsAreServedAtAnyBoxAndSurviveHolderFailure(t *testing.T) {
	on := newPlatform(t)
	boxes := []*testBox{startBox(t, on, "a", io.Discard), startBox(t, on, "b", io.Discard), startBox(t, on, "c", io.Discard)}
	for i, b := range boxes {
		waitServed(t, b, jobrun.Request{Submit: submission(fmt.Sprint("j", i))}, "")
	}
	for i, b := range boxes {
		waitServed(t, b, jobrun.Request{State: job.ID(fmt.Sprint("j", 2-i))}, job.Succeeded)
	}
	remaining := boxes[:0]
	for _, b := range boxes {
		if b.holdsCell() {
			b.close()
			continue
		}
		remaining = append(remaining, b)
	}
	assert.Equal(t, len(remaining), 2)
	waitServed(t, remaining[0], jobrun.Request{State: "j0"}, job.Succeeded)
	waitServed(t, remaining[1], jobrun.Request{Submit: submission("j9")}, "")
	waitServed(t, remaining[0], jobrun.Request{State: "j9"}, job.Succeeded)
	assert.Equal(t, on.StartCount("j0.0.0.0"), 1)
	assert.Equal(t, on.StartCount("j9.0.1.0"), 1)
}

func TestCallsSucceedDuringPlannedHandover(t *testing.T) {
	on := newPlatform(t)
	boxes := []*testBox{startBox(t, on, "a", io.Discard), startBox(t, on, "b", io.Discard), startBox(t, on, "c", io.Discard)}
	waitServed(t, boxes[0], jobrun.Request{Submit: submission("first")}, "")
	var holder *testBox
	for i, b := range boxes {
		waitServed(t, b, jobrun.Request{Submit: submission(fmt.Sprint("warm", i))}, "")
		if b.holdsCell() {
			holder = b
		}
	}
	assert.Assert(t, holder != nil)
	holder.loop.Stop()
	for i := 0; ; i++ {
		select {
		case <-holder.loop.Stopped():
			assert.Check(t, i > 0)
			return
		default:
		}
		for _, b := range boxes {
			if b == holder {
				continue
			}
			a := b.loop.Serve(context.Background(), jobrun.Request{Submit: submission(fmt.Sprintf("j%d", i))})
			assert.Equal(t, a.Outcome, exchange.OK, "call %d: %+v", i, a)
		}
	}
}

func TestCallsAreRefusedAtOnceWhileLogIsDown(t *testing.T) {
	on := newPlatform(t)
	b := startBox(t, on, "a", io.Discard)
	waitServed(t, b, jobrun.Request{Submit: submission("j0")}, "")
	on.SetDown(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		began := time.Now()
		a := b.loop.Serve(context.Background(), jobrun.Request{Submit: submission("j" + fmt.Sprint(began.UnixNano()))})
		if a.Outcome == exchange.Unavailable && a.RetryAfter > 0 {
			return poll.Success()
		}
		return poll.Continue("%+v", a)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	on.SetDown(false)
	waitServed(t, b, jobrun.Request{Submit: submission("k")}, "")
	waitServed(t, b, jobrun.Request{State: "k"}, job.Succeeded)
}

func TestBlockedLogOutputDoesNotBlockCalls(t *testing.T) {
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	on := newPlatform(t)
	b := startBox(t, on, "a", w)
	// Nobody reads the pipe, which holds 64 KiB.
	for i := range 150 {
		waitServed(t, b, jobrun.Request{Submit: submission(fmt.Sprint("j", i))}, "")
	}
	waitServed(t, b, jobrun.Request{State: "j149"}, job.Succeeded)
	go func() { _, _ = io.Copy(io.Discard, r) }()
	b.close()
	assert.NilError(t, w.Close())
}

func TestLogVolumeIsBounded(t *testing.T) {
	out := &lineCounter{}
	on := newPlatform(t)
	on.SetDown(true)
	b := startBox(t, on, "a", out)
	began := time.Now()
	for range 5000 {
		a := b.loop.Serve(context.Background(), jobrun.Request{State: "j"})
		assert.Equal(t, a.Outcome, exchange.HeldElsewhere)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		b.loop.Serve(context.Background(), jobrun.Request{State: "j"})
		if out.dropped.Load() > 0 {
			return poll.Success()
		}
		return poll.Continue("no log line reports dropped lines")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	seconds := int64(time.Since(began).Seconds()) + 2
	b.close()
	assert.Check(t, out.refused.Load() <= 300*seconds, "%d lines in %d s", out.refused.Load(), seconds)
}

// lineCounter is a log output that counts lines about refused calls and about dropped lines.
type lineCounter struct{ refused, dropped atomic.Int64 }

func (c *lineCounter) Write(p []byte) (int, error) {
	if strings.Contains(string(p), "lines were left out") {
		c.dropped.Add(1)
	} else if strings.Contains(string(p), "call not served") {
		c.refused.Add(1)
	}
	return len(p), nil
}

// callHTTP makes an HTTP call to a server. If host is empty, the Host header is the server's address.
func callHTTP(t *testing.T, s *httptest.Server, method, host, path, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, s.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = host
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(data)
}

func TestPlatformCallersAreServed(t *testing.T) {
	on := newPlatform(t)
	b := startBox(t, on, "a", io.Discard)
	waitServed(t, b, jobrun.Request{Submit: submission("first")}, "")
	s := httptest.NewServer(platform.NewCallers(b.loop))
	defer s.Close()
	for _, c := range []struct {
		method, host, path, body string
		status                   int
	}{
		{"POST", "h.example", "/q/5c0e", `{"spec":"x","steps":[{"count":2,"cpu":500,"memMb":64}]}`, 200},
		{"POST", "h.example", "/q/5c0e", `{"spec":"x","steps":[{"count":2,"cpu":500,"memMb":64}]}`, 200},
		{"POST", "h.example", "/q/bad1", `{"steps":`, 400},
		{"POST", "h.example", "/q/bad2", `{"steps":[{"count":1,"after":[0]}]}`, 400},
		{"POST", "h.example", "/q/bad3", `{"steps":[{"count":0}]}`, 400},
		{"POST", "h.example", "/q/bad4", `{"steps":[{"count":1,"cpu":-1}]}`, 400},
		{"POST", "h.example", "/q/bad5", `{"spec":"` + strings.Repeat("x", 4001) + `","steps":[{"count":1}]}`, 400},
		{"POST", "h.example", "/q/bad/6", `{"steps":[{"count":1}]}`, 400},
		{"POST", "h.example", "/q/bad7", `{"steps":[{"count":1},{"count":1,"after":[0,0]}]}`, 400},
		{"GET", "h.example", "/q/unknown", "", 410},
		{"DELETE", "h.example", "/q/unknown", "", 410},
		{"GET", "h.example", "/r/5c0e", "", 404},
		{"GET", "other.example", "/q/5c0e", "", 404},
		{"GET", "h.example", "/q/", "", 200},
		{"PUT", "h.example", "/q/5c0e", "", 405},
	} {
		status, body := callHTTP(t, s, c.method, c.host, c.path, c.body)
		assert.Equal(t, status, c.status, "%s %s: %s", c.method, c.path, body)
	}
	waitServed(t, b, jobrun.Request{State: "5c0e"}, job.Succeeded)
	status, body := callHTTP(t, s, "GET", "h.example", "/q/5c0e", "")
	assert.Equal(t, status, 200)
	assert.Equal(t, body, `{"state":"succeeded"}`)
}

func TestJobsAPIServesAndExplains(t *testing.T) {
	on := newPlatform(t)
	b := startBox(t, on, "a", io.Discard)
	waitServed(t, b, jobrun.Request{Submit: submission("first")}, "")
	// Jobs count as waiting until they have started.
	waitServed(t, b, jobrun.Request{State: "first"}, job.Succeeded)
	s := httptest.NewServer(routers.NewJobs(b.loop))
	defer s.Close()
	for _, c := range []struct {
		method, path, body string
		status             int
		has                string
	}{
		{"POST", "/v1/jobs", `{"id":"big","queue":"q","steps":[{"tasks":1,"need":{"processors":"64"}}]}`, 200, `"ok"`},
		{"POST", "/v1/jobs", `{"id":"x","queue":"q","stepps":[]}`, 400, "stepps"},
		{"POST", "/v1/jobs", `{"id":"x","queue":"none","steps":[{"tasks":1}]}`, 404, "none"},
		{"GET", "/v1/jobs/big/explain", "", 200, "no worker is large enough"},
		{"GET", "/v1/queues/q", "", 200, `"waiting":1`},
		{"DELETE", "/v1/jobs/big", "", 200, "cancelled"},
		{"GET", "/v1/jobs/big", "", 200, "cancelled"},
		{"GET", "/v1/jobs/nobody", "", 410, "no such job"},
		{"GET", "/v1/cell", "", 200, `"holds":true`},
		{"GET", "/metrics", "", 200, "saddlevane_job_calls_total"},
		{"GET", "/readyz", "", 200, ""},
	} {
		status, body := callHTTP(t, s, c.method, "", c.path, c.body)
		assert.Equal(t, status, c.status, "%s %s: %s", c.method, c.path, body)
		assert.Check(t, strings.Contains(body, c.has), "%s %s: %s", c.method, c.path, body)
	}
}
