// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package runtime_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"saddlevane/models/box"
	"saddlevane/models/effect"
	"saddlevane/models/peer"
	"saddlevane/models/platform"
	"saddlevane/models/record"
	"saddlevane/models/verdict"
	"saddlevane/modules/httpjson"
	"saddlevane/services/core"
	"saddlevane/services/journal"
	"saddlevane/services/membership"
	"saddlevane/services/routing"
	"saddlevane/services/runtime"
	"saddlevane/services/shard"
	"saddlevane/tests/tcpproxy"

	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	// requestDeadline is the deadline of the tests' requests. The target answers immediately.
	requestDeadline = 600 * time.Millisecond
	// callTimeout bounds calls to the log, readWait how long a read waits for records.
	callTimeout = 3 * time.Second
	readWait    = 300 * time.Millisecond
	// overdueAfter is how late a response of the log may be before the call is retried.
	overdueAfter = 100 * time.Millisecond
	// maxPublishTime is well below callTimeout: a publication that takes longer has waited for a
	// call that timed out.
	maxPublishTime = callTimeout / 2
)

const poolFile = `name: cell
pools:
  - name: p
    slots: 8
    connections: 8
    classes:
      - {name: c, priority: normal, deadline: 600ms, queue: 100}
`

// platformLog is an in-memory implementation of the platform's log.
type platformLog struct {
	mu      sync.Mutex
	records []platform.Record
	changed chan struct{}
}

// append appends a record and returns its offset.
func (l *platformLog) append(data string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := int64(len(l.records))
	l.records = append(l.records, platform.Record{Offset: offset, At: time.Now().UnixMilli(), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
	return offset
}

// recordsFrom returns the records starting at an offset, and a channel that is closed once there are
// more.
func (l *platformLog) recordsFrom(offset int64) (platform.Read, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := int64(len(l.records))
	return platform.Read{Next: next, Records: l.records[min(offset, next):]}, l.changed
}

// read serves a read. If there are no records, it waits for some.
func (l *platformLog) read(w http.ResponseWriter, r *http.Request) {
	offset, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	answer, more := l.recordsFrom(offset)
	if len(answer.Records) == 0 {
		select {
		case <-more:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		answer, _ = l.recordsFrom(offset)
	}
	httpjson.Write(w, http.StatusOK, answer)
}

// boxHarness runs one entry box with a simulated platform and one target.
type boxHarness struct {
	t        *testing.T
	loop     *runtime.Loop
	requests *runtime.Requests
	log      *platformLog
	// logProxy and targetProxy forward the connections of the box to the log and the target.
	logProxy, targetProxy *tcpproxy.Proxy
	// gate, if set, holds requests at the target until the expected number has arrived. It is
	// protected by mu.
	mu   sync.Mutex
	gate *sync.WaitGroup
}

// newBoxHarness starts a box with a target in a pool and waits until a request succeeds.
func newBoxHarness(t *testing.T) *boxHarness {
	t.Helper()
	r := &boxHarness{t: t, log: &platformLog{changed: make(chan struct{})}, logProxy: tcpproxy.New(), targetProxy: tcpproxy.New()}
	target := r.serve(r.targetProxy, http.HandlerFunc(r.serveTarget))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/read", r.log.read)
	mux.HandleFunc("POST /v1/append", func(w http.ResponseWriter, req *http.Request) {
		var a platform.Append
		if httpjson.Decode(w, req, 1<<20, &a) {
			httpjson.Write(w, http.StatusOK, platform.Appended{Offset: r.log.append(a.Data)})
		}
	})
	mux.HandleFunc("GET /v1/boxes", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, box.List{Boxes: []box.Box{
			{Name: "t1", Role: box.Target, Domain: "a", Pool: "p", Address: target, State: box.Live},
		}})
	})
	r.start("http://" + r.serve(r.logProxy, mux))
	r.publish("cell", poolFile)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if result := r.sendRequest(); result.Verdict != verdict.Ran {
			return poll.Continue("%+v", result)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	return r
}

// serve starts a server behind a proxy and returns the proxy's address.
func (r *boxHarness) serve(f *tcpproxy.Proxy, h http.Handler) string {
	r.t.Helper()
	server := httptest.NewServer(h)
	address, err := f.Forward(server.Listener.Addr().String())
	assert.NilError(r.t, err)
	r.t.Cleanup(func() {
		f.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return address
}

// start starts the box.
func (r *boxHarness) start(url string) {
	r.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(r.t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := time.Now()
	self := peer.Hello{Box: "a", Incarnation: "1", Domain: "a", Address: listener.Addr().String()}
	newKey := func(now time.Time) ulid.ULID { return ulid.MustNew(ulid.Timestamp(now), ulid.DefaultEntropy()) }
	policies := core.Policies{Routing: routing.DefaultPolicy(), Shard: shard.DefaultPolicy()}
	connections := runtime.Connections{ProbeAfter: time.Second, AnswerTimeout: overdueAfter, IdleTimeout: time.Minute}
	r.loop = runtime.NewLoop(core.New(now, settings(), policies, self, newKey), log, time.Now)
	r.requests = runtime.NewRequests(runtime.RequestSettings{
		MaxAnswerBytes: 1 << 20, MaxPending: 100, MaxRetainedBytes: 1 << 20, Connections: connections,
	}, r.loop)
	adapters := runtime.Adapters{
		Requests: r.requests, Workers: runtime.NewWorkers(time.Second, connections, r.loop), Peers: runtime.NewPeers(listener, connections, r.loop, r.requests),
		Log: runtime.NewLog(runtime.PlatformSettings{
			LogURL: url, BoxesURL: url, Timeout: callTimeout, ReadWait: readWait, BoxesInterval: 100 * time.Millisecond, Connections: connections,
		}, r.loop),
	}
	r.loop.Run(adapters)
	r.t.Cleanup(func() {
		adapters.Peers.Close()
		adapters.Log.Close()
		adapters.Workers.Close()
		r.requests.Close()
		r.loop.Close()
	})
}

func settings() core.Settings {
	return core.Settings{
		Journal:    journal.Settings{Interval: 10 * time.Millisecond, RetryAfter: 50 * time.Millisecond, Limit: 1000},
		Membership: membership.Settings{HeartbeatInterval: 200 * time.Millisecond, DeadAfter: time.Second},
		Routing: routing.Settings{
			KeyTTL: time.Minute, MaxKeys: 100, RetryRatio: 0.1, RetryBurst: 10, MinAttemptTimeout: 100 * time.Millisecond,
			EjectAfter: 3, EjectFor: 10 * time.Second, MaxEjectFor: 10 * time.Second,
		},
		Shard: shard.Settings{
			Lease: 1500 * time.Millisecond, RenewInterval: 300 * time.Millisecond, ClockMargin: 100 * time.Millisecond, TaskLease: 3 * time.Second,
			SettleTime: time.Second, GoneAfter: time.Hour, Backoff: 100 * time.Millisecond, MaxBackoff: time.Second, GangOvertakeTimeout: time.Second,
			QuarantineAfter: 3, QuarantineFor: time.Second, PlacementsPerTick: 100, StopsPerTick: 20,
		},
		Retention: time.Hour, MaxStopTime: 10 * time.Second,
	}
}

// publish publishes a file and waits until it is accepted.
func (r *boxHarness) publish(name, data string) {
	r.t.Helper()
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		p := record.Publish{ID: name, File: name, Data: data}
		got := r.loop.Publish(context.Background(), p, 5*time.Second)
		if got.Outcome != effect.Accepted {
			return poll.Continue("%+v", got)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// serveTarget is the target's handler. It waits for the gate, if there is one.
func (r *boxHarness) serveTarget(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	r.mu.Lock()
	gate := r.gate
	r.mu.Unlock()
	if gate != nil {
		gate.Done()
		gate.Wait()
	}
	httpjson.Write(w, http.StatusOK, struct{}{})
}

// sendRequest sends one request, which is not idempotent: if it is first refused with an idempotency
// key, it is sent again with that key.
func (r *boxHarness) sendRequest() runtime.Result {
	in := runtime.Incoming{
		Pool: "p", Class: "c", Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: []byte("x"), Budget: requestDeadline,
	}
	result, _ := r.requests.Serve(context.Background(), in)
	if result.Refusal != nil && !result.Refusal.Key.IsZero() {
		in.Key = result.Refusal.Key
		result, _ = r.requests.Serve(context.Background(), in)
	}
	return result
}

// openTargetConnections opens count connections to the target by holding as many requests there at
// the same time.
func (r *boxHarness) openTargetConnections(count int) {
	r.t.Helper()
	gate := &sync.WaitGroup{}
	gate.Add(count)
	r.mu.Lock()
	r.gate = gate
	r.mu.Unlock()
	for _, result := range r.sendRequests(count) {
		assert.Equal(r.t, result.Verdict, verdict.Ran, "%+v", result.Refusal)
	}
	r.mu.Lock()
	r.gate = nil
	r.mu.Unlock()
}

// sendRequests sends count requests concurrently and returns their results.
func (r *boxHarness) sendRequests(count int) []runtime.Result {
	results := make([]runtime.Result, count)
	var calls sync.WaitGroup
	for i := range count {
		calls.Go(func() { results[i] = r.sendRequest() })
	}
	calls.Wait()
	return results
}

// Guards against two failures when open connections stop transferring data without a reset while new
// ones work:
//
//   - Each such connection to a target in the pool cost a request its whole time. Three failures in a
//     row ejected the healthy target for seconds, and the requests that probe an ejected target went
//     to dead connections too.
//   - Reads and appends on dead connections to the log waited for their whole timeout, so files came
//     into force seconds late.
func TestUnresponsiveConnectionsOfRequestMode(t *testing.T) {
	t.Run("a pool of unresponsive connections to a target costs one request", testUnresponsivePoolCostsOneRequest)
	t.Run("requests in flight on unresponsive connections do not eject the target", testRequestsInFlightDoNotEjectTarget)
	t.Run("the log is read and written", testLogIsReadAndWritten)
}

func testUnresponsivePoolCostsOneRequest(t *testing.T) {
	r := newBoxHarness(t)
	r.openTargetConnections(6)
	assert.Check(t, r.targetProxy.Stall() >= 6)
	assert.Equal(t, r.sendRequest().Verdict, verdict.MayHaveRun)
	for i := range 6 {
		result := r.sendRequest()
		assert.Equal(t, result.Verdict, verdict.Ran, "request %d: %+v", i, result.Refusal)
	}
}

func testRequestsInFlightDoNotEjectTarget(t *testing.T) {
	r := newBoxHarness(t)
	r.openTargetConnections(6)
	r.targetProxy.Stall()
	for _, result := range r.sendRequests(4) {
		assert.Equal(t, result.Verdict, verdict.MayHaveRun)
	}
	result := r.sendRequest()
	assert.Equal(t, result.Verdict, verdict.Ran, "%+v", result.Refusal)
}

func testLogIsReadAndWritten(t *testing.T) {
	r := newBoxHarness(t)
	for round := range 3 {
		assert.Check(t, r.logProxy.Stall() > 0)
		began := time.Now()
		name := "f" + strconv.Itoa(round)
		r.publish(name, "name: "+name+"\n")
		took := time.Since(began)
		assert.Check(t, took < maxPublishTime, "a file came into force after %v in round %d", took, round)
	}
}
