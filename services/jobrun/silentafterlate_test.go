// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/modules/httpclient"
	"saddlevane/platform"
	"saddlevane/platform/standin"
	"saddlevane/services/jobrun"

	"gotest.tools/v3/assert"
)

// lateLog forwards calls to a log and measures the time for a client of it. It sets that time forward
// to make an answer late without a wait.
type lateLog struct {
	address     string
	clockOffset atomic.Int64
	// nextAppendLate is how late the answer to the next append is, in nanoseconds.
	nextAppendLate atomic.Int64
}

// newLateLog returns a lateLog that forwards to the log at address until the test ends.
func newLateLog(t *testing.T, address string) *lateLog {
	t.Helper()
	l := &lateLog{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/log-append" {
			l.clockOffset.Add(l.nextAppendLate.Swap(0))
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	l.address = server.Listener.Addr().String()
	return l
}

// now returns the time for a client of the log.
func (l *lateLog) now() time.Time { return time.Now().Add(time.Duration(l.clockOffset.Load())) }

// A submission is answered "unsure" after the connections to the log went silent, because an earlier
// answer was late by more than half of the timeout: the append is not retried before it times out.
func TestSubmissionIsAcceptedOnSilentConnectionsAfterLateAnswer(t *testing.T) {
	on, err := standin.New(1)
	assert.NilError(t, err)
	t.Cleanup(on.Close)
	assert.NilError(t, on.Configure(standin.Queue{Name: "q", Host: "h.example", Prefix: "/q/", Attempts: 2}))
	late, links := newLateLog(t, on.LogAddress()), newForwarder(t)
	client := httpclient.New(httpclient.Settings{
		To: "log", DialTimeout: time.Second, IdleTimeout: time.Minute, MinOverdue: maxAnswerDelay, MaxIdlePerHost: 16, Now: late.now,
	})
	t.Cleanup(client.CloseIdleConnections)
	p := startBoxWithLog(t, platform.NewLog(via(t, links)(late.address), client))
	waitServed(t, p, jobrun.Request{Submit: submission("first")}, "")

	late.nextAppendLate.Store(int64(2 * settings().CallTimeout / 3))
	waitServed(t, p, jobrun.Request{Submit: submission("late")}, "")
	assert.Equal(t, late.nextAppendLate.Load(), int64(0))
	checkSubmissionsAfterSilence(t, p, links)
}
