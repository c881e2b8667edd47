// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"saddlevane/modules/peering"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// failingListener is a listener whose first accepts fail.
type failingListener struct {
	net.Listener
	failuresLeft atomic.Int32
}

// Accept fails as it does without a free descriptor.
func (f *failingListener) Accept() (net.Conn, error) {
	if f.failuresLeft.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

// Symptom: a box answers nobody for as long as it lives, though it works.
//
// Sequence: connections that went silent use up its descriptors for a moment; the next
// connection of another box cannot be accepted.
//
// Cause: the first accept that failed ended all accepting.
//
// What settled it: reading the code; this test.
func TestAcceptIsRetriedAfterFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &failingListener{Listener: l}
	listener.failuresLeft.Store(3)
	links := peering.New(context.Background(), listener, settings(),
		func(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) { return req.Method, nil })
	links.Serve()
	t.Cleanup(links.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var got string
	_, err = newBox(t).links.Call(ctx, l.Addr().String(), peering.Call{Method: "greet", Params: struct{}{}, Result: &got})
	assert.NilError(t, err)
	assert.Equal(t, got, "greet")
}
