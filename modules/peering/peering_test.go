// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering_test

import (
	"context"
	"net"
	"testing"
	"time"

	"saddlevane/modules/conntrack"
	"saddlevane/modules/peering"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

func settings() peering.Settings {
	return peering.Settings{
		Dial: time.Second, Probe: time.Second, Answer: 250 * time.Millisecond, Now: time.Now, Unanswered: func(conntrack.Unanswered) {},
	}
}

// newBox returns links that answer each call with the name of its method, and
// their address.
func newBox(t *testing.T) (*peering.Links, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	l := peering.New(ctx, listener, settings(), func(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		return req.Method, nil
	})
	l.Serve()
	t.Cleanup(func() {
		cancel()
		l.Close()
	})
	return l, listener.Addr().String()
}

func TestACallReachesThePeer(t *testing.T) {
	a, _ := newBox(t)
	_, address := newBox(t)
	c, err := a.Conn(context.Background(), address)
	assert.NilError(t, err)
	assert.Equal(t, a.Len(), 1)
	var got string
	assert.NilError(t, c.Call(context.Background(), "greet", struct{}{}, &got))
	assert.Equal(t, got, "greet")
}

func TestAConnectionIsKeptUntilItEnds(t *testing.T) {
	a, _ := newBox(t)
	_, address := newBox(t)
	first, err := a.Conn(context.Background(), address)
	assert.NilError(t, err)
	again, err := a.Conn(context.Background(), address)
	assert.NilError(t, err)
	assert.Check(t, first == again)
	first.Close()
	<-first.Closed()
	other, err := a.Conn(context.Background(), address)
	assert.NilError(t, err)
	assert.Check(t, first != other)
}

func TestNobodyReachedIsAnError(t *testing.T) {
	a, _ := newBox(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = a.Conn(context.Background(), address)
	assert.Check(t, err != nil)
}
