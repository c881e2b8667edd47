// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpclient_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/modules/httpclient"

	"gotest.tools/v3/assert"
)

// newRigAfterSlowAnswer returns a client with connections to a service whose last answer was late by
// late. The client's clock is set forward instead of waiting for that time.
func newRigAfterSlowAnswer(t *testing.T, late time.Duration, connections int) *rig {
	t.Helper()
	var clockOffset atomic.Int64
	var isSlow atomic.Bool
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		if isSlow.CompareAndSwap(true, false) {
			clockOffset.Add(int64(late))
		}
		echo(w, req)
	}, func(s *httpclient.Settings) {
		s.Now = func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	})
	r.openConnections(connections)
	isSlow.Store(true)
	_, err := r.call(retryContext(0), "slow")
	assert.NilError(t, err)
	assert.Equal(t, len(r.retried), 0)
	return r
}

// A call waits on a silent connection until it times out, because an answer before it was late by
// more than half of the call's time.
func TestCallOnSilentConnectionIsAnsweredAfterLateAnswer(t *testing.T) {
	r := newRigAfterSlowAnswer(t, 3*callTimeout/4, 4)
	assert.Equal(t, r.proxy.Stall(), 4)
	for range 4 {
		got, err := r.call(retryContext(0), "text")
		assert.NilError(t, err)
		assert.Equal(t, got, "text")
	}
	assert.Equal(t, len(r.retried), 1)
	assert.Equal(t, r.retried[0].AnsweredOn, httpclient.OnNew)
	assert.Equal(t, r.discarded[0].Count, 4)
}
