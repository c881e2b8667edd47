// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpclient_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/modules/httpclient"
	"saddlevane/tests/tcpproxy"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// A read on a connection that is discarded has waited long enough; its retry must not wait
// again.
func TestReadOnDiscardedConnectionIsRetriedWithoutWait(t *testing.T) {
	for name, body := range map[string]io.Reader{"no body": nil, "an empty body": bytes.NewReader(nil)} {
		t.Run(name, func(t *testing.T) { testDiscardedReadIsRetriedWithoutWait(t, body) })
	}
}

func testDiscardedReadIsRetriedWithoutWait(t *testing.T, body io.Reader) {
	const wait = 600 * time.Millisecond
	r := newRig(t, slowEcho(wait, hasWait), nil)
	r.openConnections(2)
	r.proxy.Stall()
	var calls sync.WaitGroup
	calls.Go(func() {
		_, err := r.call(retryContext(0), "beside it")
		assert.Check(t, err)
	})
	began := time.Now()
	ctx := httpclient.WithRetry(context.Background(), httpclient.Retry{
		Expected: wait, ModifyRetry: func(req *http.Request) { req.URL.RawQuery = "" },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url+"/read?wait=1", body)
	assert.NilError(t, err)
	resp, err := r.client.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	took := time.Since(began)
	assert.Check(t, took < wait, "it took %v", took)
	calls.Wait()
	assert.Equal(t, len(r.retried), 2)
}

// A service that serves a caller's calls one at a time also serves those that were abandoned,
// so each needless retry lengthens its queue.
func TestQueuedCallIsNotRetriedWhileServiceAnswers(t *testing.T) {
	const takes = 3 * overdueAfter
	turn, serve := make(chan struct{}, 1), slowEcho(takes, isCall)
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		turn <- struct{}{}
		defer func() { <-turn }()
		serve(w, req)
	}, nil)
	r.openConnections(3)
	serialized := httpclient.WithRetry(context.Background(), httpclient.Retry{Expected: takes, Serialized: true})
	var calls sync.WaitGroup
	for range 3 {
		calls.Go(func() {
			_, err := r.call(serialized, "text")
			assert.Check(t, err)
		})
	}
	calls.Wait()
	assert.Equal(t, len(r.retried), 0)
	assert.Equal(t, r.served.Load(), int64(3+3))

	// The first call is retried, and the others once it has been answered.
	r.proxy.Stall()
	for range 3 {
		calls.Go(func() {
			_, err := r.call(serialized, "text")
			assert.Check(t, err)
		})
	}
	calls.Wait()
	assert.Equal(t, len(r.retried), 3)
	assert.Equal(t, r.served.Load(), int64(3+3+3))
}

func TestNonRetryableCallIsMadeOnceAndNextSucceeds(t *testing.T) {
	r := newRig(t, echo, nil)
	r.openConnections(1)
	r.proxy.Stall(tcpproxy.Answers)
	_, err := r.call(context.Background(), "lost answer")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, r.served.Load(), int64(2))
	got, err := r.call(context.Background(), "next")
	assert.NilError(t, err)
	assert.Equal(t, got, "next")
	assert.Equal(t, r.served.Load(), int64(3))
}

// A service that leaves one call unanswered but sends data on another connection is working.
func TestActiveConnectionIsKept(t *testing.T) {
	var hold atomic.Bool
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		if hold.CompareAndSwap(true, false) {
			hang(req)
		}
		echo(w, req)
	}, nil)
	r.openConnections(2)
	hold.Store(true)
	var lost sync.WaitGroup
	lost.Go(func() {
		_, err := r.call(context.Background(), "left unanswered")
		assert.Check(t, err != nil)
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if hold.Load() {
			return poll.Continue("the call is not in progress yet")
		}
		return poll.Success()
	})
	_, err := r.call(context.Background(), "beside it")
	assert.NilError(t, err)
	lost.Wait()
	assert.Equal(t, r.discarded[0].Count, 1)
	assert.Equal(t, r.open.Load(), int64(1), "the other connection is kept")
}

// The log can be fifty times slower for seconds. Making two calls instead of one each time
// would slow it down further.
func TestRetriesStopWhileServiceIsSlow(t *testing.T) {
	var isSlow atomic.Bool
	var clockOffset atomic.Int64
	r := newRig(t, slowEcho(3*overdueAfter, func(*http.Request) bool { return isSlow.Load() }), func(s *httpclient.Settings) {
		s.Now = func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	})
	r.openConnections(1)
	isSlow.Store(true)
	for range 6 {
		_, err := r.call(retryContext(0), "text")
		assert.NilError(t, err)
	}
	assert.Equal(t, len(r.retried), 1)
	assert.Equal(t, r.retried[0].AnsweredOn, httpclient.OnOld)
	assert.Equal(t, len(r.discarded), 0)
	assert.Equal(t, r.served.Load(), int64(1+6+1))

	// After a minute, the slow answers no longer count.
	clockOffset.Store(int64(time.Minute))
	_, err := r.call(retryContext(0), "text")
	assert.NilError(t, err)
	assert.Equal(t, len(r.retried), 2)
}

func TestCallOnResetConnectionIsRetried(t *testing.T) {
	var resets atomic.Bool
	var r *rig
	r = newRig(t, func(w http.ResponseWriter, req *http.Request) {
		if resets.CompareAndSwap(true, false) {
			r.proxy.Reset()
		}
		echo(w, req)
	}, nil)
	r.openConnections(1)
	resets.Store(true)
	got, err := r.call(retryContext(time.Minute), "text")
	assert.NilError(t, err)
	assert.Equal(t, got, "text")
	assert.Equal(t, r.served.Load(), int64(3))
	assert.Equal(t, len(r.discarded), 0, "each connection notices a reset by itself")
}

func TestCallOnNewConnectionIsNotRetried(t *testing.T) {
	r := newRig(t, func(_ http.ResponseWriter, req *http.Request) { hang(req) }, nil)
	_, err := r.call(retryContext(0), "text")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, r.served.Load(), int64(1))
	assert.Equal(t, len(r.retried), 0)
	assert.Equal(t, len(r.discarded), 0)
}

func TestCallToUnresponsiveServiceIsRetriedOnce(t *testing.T) {
	var away atomic.Bool
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		if away.Load() {
			hang(req)
		}
		echo(w, req)
	}, nil)
	r.openConnections(1)
	away.Store(true)
	_, err := r.call(retryContext(0), "text")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Equal(t, r.served.Load(), int64(3))
	assert.Equal(t, r.retried[0].AnsweredOn, httpclient.OnNeither)
	assert.Equal(t, len(r.unanswered), 2)
	assert.Equal(t, len(r.discarded), 0, "calls on other connections may still be answered")
}

// An answer that arrives in pieces is in progress, however long it takes.
func TestAnswerInProgressIsNotRetried(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 8 {
			_, _ = io.WriteString(w, "piece ")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(overdueAfter / 4)
		}
	}, nil)
	for range 2 {
		_, err := r.call(retryContext(0), "")
		assert.NilError(t, err)
	}
	assert.Equal(t, len(r.retried), 0)
}

// An answer that is too large to buffer is streamed to the caller.
func TestLargeAnswerIsComplete(t *testing.T) {
	const size = 20 << 20
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) }, nil)
	got, err := r.call(retryContext(0), "")
	assert.NilError(t, err)
	assert.Equal(t, len(got), size)
}

func TestIdleSilentConnectionIsClosedAfterIdleTimeout(t *testing.T) {
	const unused = 200 * time.Millisecond
	r := newRig(t, echo, func(s *httpclient.Settings) { s.IdleTimeout = unused })
	r.openConnections(4)
	r.proxy.Stall()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := r.open.Load(); n > 0 {
			return poll.Continue("%d connections are open", n)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}

func TestCancelledCallDiscardsNoConnection(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Has("hold") {
			hang(req)
		}
		echo(w, req)
	}, nil)
	r.openConnections(2)
	for _, ctx := range []context.Context{context.Background(), retryContext(time.Minute)} {
		ctx, cancel := context.WithCancel(ctx)
		time.AfterFunc(overdueAfter, cancel)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url+"/?hold", nil)
		assert.NilError(t, err)
		_, err = r.client.Do(req)
		assert.ErrorIs(t, err, context.Canceled)
	}
	assert.Equal(t, len(r.discarded), 0)
	assert.Equal(t, len(r.unanswered), 0)
}

// An overdue answer may still arrive. The other connections may be silent as well, so the next
// call must not use one of them.
func TestOverdueCallContinuesAndNextCallUsesNewConnection(t *testing.T) {
	r := newRig(t, slowEcho(3*overdueAfter, isCall), nil)
	r.openConnections(3)
	got, err := r.call(httpclient.WithOverdueAfter(context.Background(), overdueAfter), "late")
	assert.NilError(t, err)
	assert.Equal(t, got, "late")
	r.locked(func() {
		assert.Equal(t, len(r.unanswered), 1)
		assert.Equal(t, r.discarded[0].Count, 2, "the other connections were idle")
	})
	assert.Equal(t, r.open.Load(), int64(1))

	r.proxy.Stall()
	began := time.Now()
	var lost sync.WaitGroup
	lost.Go(func() {
		_, err := r.call(httpclient.WithOverdueAfter(context.Background(), overdueAfter), "silent")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.unanswered) < 2 {
			return poll.Continue("the call is not overdue yet")
		}
		return poll.Success()
	})
	got, err = r.call(context.Background(), "next")
	assert.NilError(t, err)
	assert.Equal(t, got, "next")
	r.checkFast(began)
	lost.Wait()
	r.locked(func() { assert.Equal(t, len(r.unanswered), 2, "an unanswered call is reported once") })
}
