// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpclient_test

import (
	"context"
	"testing"
	"time"

	"saddlevane/modules/httpclient"

	"gotest.tools/v3/assert"
)

// Each connection that went silent costs a serialized call its whole time, because an answer before was
// so late that no call is retried in its time.
func TestSilentPoolCostsOneSerializedCallAfterLateAnswer(t *testing.T) {
	r := newRigAfterSlowAnswer(t, 3*callTimeout/4, 4)
	assert.Equal(t, r.proxy.Stall(), 4)
	serialized := httpclient.WithRetry(context.Background(), httpclient.Retry{Serialized: true})
	_, err := r.call(serialized, "lost")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	for range 3 {
		began := time.Now()
		got, err := r.call(serialized, "text")
		assert.NilError(t, err)
		assert.Equal(t, got, "text")
		r.checkFast(began)
	}
	assert.Equal(t, len(r.unanswered), 1)
}
