// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"saddlevane/modules/conntrack"
	"saddlevane/modules/frame"

	"github.com/sourcegraph/jsonrpc2"
)

// link is an open connection to another box.
type link struct {
	links *Links
	conn  *conntrack.Conn
	// used says that a call was made on it.
	used atomic.Bool
	// sending is held by the call that is being written, so that others can leave when
	// their time is out.
	sending chan struct{}

	mu  sync.Mutex
	rpc *jsonrpc2.Conn
	// serve has the calls of the peer handled.
	serve jsonrpc2.Handler
}

// newLink serves the calls that come over a connection.
func newLink(l *Links, conn *conntrack.Conn) *link {
	k := &link{links: l, conn: conn, sending: make(chan struct{}, 1)}
	k.serve = jsonrpc2.HandlerWithError(l.handle).SuppressErrClosed()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rpc = jsonrpc2.NewConn(l.ctx, jsonrpc2.NewBufferedStream(stream{k}, frame.Codec{}), jsonrpc2.AsyncHandler(k))
	return k
}

// peer returns the end of the connection that speaks JSON-RPC.
func (k *link) peer() *jsonrpc2.Conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rpc
}

// close ends the connection; calls under way on it fail.
func (k *link) close() { _ = k.peer().Close() }

// ended says whether the connection has ended.
func (k *link) ended() bool {
	select {
	case <-k.peer().DisconnectNotify():
		return true
	default:
		return false
	}
}

// call makes one call. sent says that it may have arrived: a message that was not
// written whole is not served.
func (k *link) call(ctx context.Context, c Call) (sent bool, err error) {
	began, reused := k.links.settings.Now(), k.used.Swap(true)
	defer func() {
		if !errors.Is(err, context.DeadlineExceeded) {
			return
		}
		u := k.conn.Unanswered(k.links.settings.Now(), began)
		u.To, u.Call, u.Reused = linkTo, c.Method, reused
		k.links.settings.Unanswered(u)
	}()
	answer, err := k.send(ctx, c)
	if err != nil {
		return false, err
	}
	return true, answer.Wait(ctx, c.Result)
}

// linkTo is what the lines and counters of connections call the other end of a link.
const linkTo = "entry box"

// send writes a call.
func (k *link) send(ctx context.Context, c Call) (jsonrpc2.Waiter, error) {
	select {
	case k.sending <- struct{}{}:
		defer func() { <-k.sending }()
	case <-ctx.Done():
		return jsonrpc2.Waiter{}, ctx.Err()
	case <-k.peer().DisconnectNotify():
		return jsonrpc2.Waiter{}, jsonrpc2.ErrClosed
	}
	return k.peer().DispatchCall(ctx, c.Method, c.Params)
}

// Handle serves one call of the peer, as a jsonrpc2.Handler.
func (k *link) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	k.serve.Handle(ctx, c, req)
}

// stream is what the JSON-RPC end of a link reads from and writes to.
type stream struct{ link *link }

// Read reads from the connection.
func (s stream) Read(b []byte) (int, error) { return s.link.conn.Read(b) }

// Write writes to the connection.
func (s stream) Write(b []byte) (int, error) { return s.link.conn.Write(b) }

// Close closes the connection.
func (s stream) Close() error {
	s.link.links.forget(s.link)
	return s.link.conn.Close()
}
