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

// Accept fails with EMFILE, as accept does when no file descriptor is free.
func (f *failingListener) Accept() (net.Conn, error) {
	if f.failuresLeft.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

// Guards against a box that accepts no connections until it restarts after one failed
// accept. An accept fails if silent connections use up the file descriptors for a moment; the
// accept loop must not end with the first failure.
func TestAcceptIsRetriedAfterFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &failingListener{Listener: l}
	listener.failuresLeft.Store(3)
	links := peering.New(context.Background(), listener, settings(),
		func(_ context.Context, _ *peering.Conn, req *jsonrpc2.Request) (any, error) { return req.Method, nil })
	links.Serve()
	t.Cleanup(links.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var got string
	_, err = newBox(t).links.Call(ctx, l.Addr().String(), peering.Call{Method: "greet", Params: struct{}{}, Result: &got})
	assert.NilError(t, err)
	assert.Equal(t, got, "greet")
}
