// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpclient_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/modules/conntrack"
	"saddlevane/modules/httpclient"
	"saddlevane/tests/tcpproxy"

	"gotest.tools/v3/assert"
)

const (
	// overdueAfter is when a retryable call of the tests is overdue.
	overdueAfter = 100 * time.Millisecond
	// callTimeout limits the calls of the tests; answers take far less.
	callTimeout = 2 * time.Second
)

// rig is a client and a service with a proxy between them.
type rig struct {
	t      *testing.T
	client *http.Client
	proxy  *tcpproxy.Proxy
	url    string
	// served counts the calls that the service has received.
	served atomic.Int64
	open   atomic.Int64

	mu         sync.Mutex
	unanswered []conntrack.Unanswered
	discarded  []conntrack.Discarded
	retried    []httpclient.RetriedCall
}

// newRig returns a client of a service that is implemented by answer. change, if not nil,
// modifies the settings of the client.
func newRig(t *testing.T, answer http.HandlerFunc, change func(*httpclient.Settings)) *rig {
	t.Helper()
	r := &rig{t: t, proxy: tcpproxy.New()}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.served.Add(1)
		answer(w, req)
	}))
	address, err := r.proxy.Forward(server.Listener.Addr().String())
	assert.NilError(t, err)
	r.url = "http://" + address
	s := httpclient.Settings{
		To: "service", DialTimeout: time.Second, IdleTimeout: time.Minute, MinOverdue: overdueAfter, MaxIdlePerHost: 16, Now: time.Now,
		Hooks: httpclient.Hooks{
			OnUnanswered: func(u conntrack.Unanswered) { r.locked(func() { r.unanswered = append(r.unanswered, u) }) },
			OnDiscard:    func(d conntrack.Discarded) { r.locked(func() { r.discarded = append(r.discarded, d) }) },
			OnRetry:      func(c httpclient.RetriedCall) { r.locked(func() { r.retried = append(r.retried, c) }) },
			OnOpen:       func(delta int) { r.open.Add(int64(delta)) },
		},
	}
	if change != nil {
		change(&s)
	}
	r.client = httpclient.New(s)
	t.Cleanup(func() {
		r.client.CloseIdleConnections()
		r.proxy.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return r
}

// locked calls f while holding the lock.
func (r *rig) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// echo answers with the body of the request.
func echo(w http.ResponseWriter, req *http.Request) {
	body, _ := io.ReadAll(req.Body)
	_, _ = w.Write(body)
}

// slowEcho answers like echo, but delays the answers to the requests selected by which.
func slowEcho(takes time.Duration, which func(*http.Request) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if which(req) {
			time.Sleep(takes)
		}
		echo(w, req)
	}
}

// hasWait and isCall select the requests that are delayed.
func hasWait(req *http.Request) bool { return req.URL.Query().Has("wait") }
func isCall(req *http.Request) bool  { return req.URL.Path == "/call" }

// hang does not answer until the caller gives up.
func hang(req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	<-req.Context().Done()
}

// call posts a text and returns the answer.
func (r *rig) call(ctx context.Context, text string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+"/call", bytes.NewReader([]byte(text)))
	assert.NilError(r.t, err)
	resp, err := r.client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// retryContext returns a context for retryable calls.
func retryContext(expected time.Duration) context.Context {
	return httpclient.WithRetry(context.Background(), httpclient.Retry{Expected: expected})
}

// openConnections opens count connections by as many concurrent calls and waits until all of
// them are idle.
func (r *rig) openConnections(count int) {
	r.t.Helper()
	var all, calls sync.WaitGroup
	all.Add(count)
	for range count {
		calls.Go(func() {
			body := &heldBody{wait: func() { all.Done(); all.Wait() }}
			req, err := http.NewRequest(http.MethodPost, r.url+"/fill", body)
			assert.Check(r.t, err)
			resp, err := r.client.Do(req)
			if assert.Check(r.t, err) {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	calls.Wait()
	assert.Equal(r.t, r.open.Load(), int64(count))
}

// heldBody is an empty body that ends once wait returns.
type heldBody struct{ wait func() }

// Read ends the body.
func (h *heldBody) Read([]byte) (int, error) {
	h.wait()
	return 0, io.EOF
}

// checkFast fails the test if more than half the timeout of a call has passed since began.
func (r *rig) checkFast(began time.Time) {
	r.t.Helper()
	took := time.Since(began)
	assert.Check(r.t, took < callTimeout/2, "it took %v", took)
}

// Guards against calls that time out one after the other once the connections of a process have
// gone silent. Open connections to the log, the advice service, workers or targets can go
// silent without a reset while new connections work. If a call that times out discards only its
// own connection, and no call is retried on a new one, each connection left in the pool costs
// its next caller a whole timeout. Of 2,668 unanswered calls, none was on a new connection.
// Reads of the log were interrupted for 1.4 s; one of them was retried on a connection that had
// been idle for 27 s, which took another 0.9 s.
func TestSilentConnections(t *testing.T) {
	t.Run("a pool of them costs one call", testSilentPoolCostsOneCall)
	t.Run("calls in progress on them fail with the first", testInflightCallsFail)
	t.Run("a retryable call is answered", testRetryableCallIsAnswered)
	t.Run("a read that waits is answered", testWaitingReadIsAnswered)
	t.Run("an answer that stalls is requested again", testStalledAnswerIsRetried)
	t.Run("a call on a discarded connection is retried", testCallOnDiscardedConnectionIsRetried)
}

func testSilentPoolCostsOneCall(t *testing.T) {
	r := newRig(t, echo, nil)
	r.openConnections(8)
	assert.Equal(t, r.proxy.Stall(), 8)

	_, err := r.call(context.Background(), "lost")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	for i := range 8 {
		began := time.Now()
		got, err := r.call(context.Background(), fmt.Sprint(i))
		assert.NilError(t, err)
		assert.Equal(t, got, fmt.Sprint(i))
		r.checkFast(began)
	}
	assert.Equal(t, r.served.Load(), int64(8+8), "a call that must not be retried was retried")
	assert.Equal(t, len(r.unanswered), 1)
	assert.Equal(t, len(r.discarded), 1)
	assert.Equal(t, r.discarded[0].Count, 8)
}

func testInflightCallsFail(t *testing.T) {
	r := newRig(t, echo, nil)
	r.openConnections(4)
	r.proxy.Stall()
	var calls sync.WaitGroup
	calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout/8)
		defer cancel()
		_, err := r.call(ctx, "first")
		assert.Check(t, err != nil)
	})
	for range 3 {
		calls.Go(func() {
			began := time.Now()
			_, err := r.call(context.Background(), "beside it")
			assert.ErrorIs(t, err, conntrack.ErrDiscarded)
			r.checkFast(began)
		})
	}
	calls.Wait()
}

func testRetryableCallIsAnswered(t *testing.T) {
	r := newRig(t, echo, nil)
	r.openConnections(8)
	r.proxy.Stall()
	for i := range 8 {
		began := time.Now()
		got, err := r.call(retryContext(0), fmt.Sprint(i))
		assert.NilError(t, err)
		assert.Equal(t, got, fmt.Sprint(i))
		r.checkFast(began)
	}
	assert.Equal(t, r.served.Load(), int64(8+8))
	assert.Equal(t, len(r.retried), 1)
	assert.Equal(t, r.retried[0].AnsweredOn, httpclient.OnNew)
	assert.Equal(t, r.discarded[0].Count, 8)
	assert.Equal(t, len(r.unanswered), 0)
}

func testWaitingReadIsAnswered(t *testing.T) {
	const wait = 300 * time.Millisecond
	r := newRig(t, slowEcho(wait, hasWait), nil)
	read := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(httpclient.WithRetry(context.Background(), httpclient.Retry{
			Expected: wait, ModifyRetry: func(req *http.Request) { req.URL.RawQuery = "" },
		}), callTimeout)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url+"/read?wait=1", nil)
		assert.NilError(t, err)
		began := time.Now()
		resp, err := r.client.Do(req)
		assert.NilError(t, err)
		_, err = io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		r.checkFast(began)
	}
	read()
	read()
	assert.Equal(t, len(r.retried), 0)
	r.proxy.Stall()
	read()
	assert.Equal(t, len(r.retried), 1)
}

func testStalledAnswerIsRetried(t *testing.T) {
	var stops atomic.Bool
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.WriteString(w, "half ")
		_ = http.NewResponseController(w).Flush()
		if stops.CompareAndSwap(true, false) {
			hang(req)
			return
		}
		_, _ = io.WriteString(w, "whole")
	}, nil)
	_, err := r.call(retryContext(0), "")
	assert.NilError(t, err)

	stops.Store(true)
	began := time.Now()
	got, err := r.call(retryContext(0), "")
	assert.NilError(t, err)
	assert.Equal(t, got, "half whole")
	r.checkFast(began)

	// A call that must not be retried ends at its own timeout.
	_, err = r.call(context.Background(), "")
	assert.NilError(t, err)
	stops.Store(true)
	_, err = r.call(context.Background(), "")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, len(r.unanswered), 1)
}

func testCallOnDiscardedConnectionIsRetried(t *testing.T) {
	r := newRig(t, echo, nil)
	r.openConnections(4)
	r.proxy.Stall()
	var calls sync.WaitGroup
	for _, expected := range []time.Duration{0, time.Minute, time.Minute, time.Minute} {
		calls.Go(func() {
			began := time.Now()
			got, err := r.call(retryContext(expected), "text")
			if assert.Check(t, err) {
				assert.Check(t, got == "text")
			}
			r.checkFast(began)
		})
	}
	calls.Wait()
}
