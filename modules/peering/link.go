// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"saddlevane/modules/conntrack"

	"github.com/sourcegraph/jsonrpc2"
)

// link is an open connection to another box.
type link struct {
	links *Links
	conn  *conntrack.Conn
	// stream carries the messages of rpc.
	stream *stream
	// used reports that a call was made on the link.
	used atomic.Bool
	// reading is true while a Read waits for data.
	reading atomic.Bool
	// sendSlot is held while a call is written. It is a channel so that waiting callers can
	// give up when their context ends.
	sendSlot chan struct{}

	mu sync.Mutex
	// rpc is the JSON-RPC connection.
	rpc *jsonrpc2.Conn
	// handler serves the calls of the peer.
	handler jsonrpc2.Handler
	// calls is the number of calls of this box in progress, and waitingSince is when calls last
	// rose above 0.
	calls        int
	waitingSince time.Time
	// probeNow requests an immediate probe.
	probeNow bool
	// probing reports that a probe is in progress. probedAt is when all data up to and
	// including the probe should have been delivered, or zero while the probe waits to be
	// written.
	probing  bool
	probedAt time.Time
	// answeredAt is when the last probe was answered, or zero if none was answered since calls
	// are in progress.
	answeredAt time.Time
	// overdue reports that check has once found the answer to the probe overdue.
	overdue   bool
	discarded bool
	// deliveredBy is when the peer should have received and decoded all data written so far, if
	// the link works.
	deliveredBy time.Time
}

// newLink wraps a connection and serves the calls that arrive on it.
func newLink(l *Links, conn *conntrack.Conn) *link {
	k := &link{links: l, conn: conn, sendSlot: make(chan struct{}, 1)}
	k.stream = newStream(k)
	k.handler = jsonrpc2.HandlerWithError(l.handle).SuppressErrClosed()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rpc = jsonrpc2.NewConn(l.ctx, k.stream, jsonrpc2.AsyncHandler(k))
	return k
}

// peer returns the JSON-RPC connection.
func (k *link) peer() *jsonrpc2.Conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rpc
}

// close closes the connection; calls in progress on it fail.
func (k *link) close() { _ = k.peer().Close() }

// isClosed reports whether the connection is closed.
func (k *link) isClosed() bool {
	select {
	case <-k.peer().DisconnectNotify():
		return true
	default:
		return false
	}
}

// call makes one call. sent reports whether it may have arrived: a message that was not written
// completely is not served.
func (k *link) call(ctx context.Context, c Call) (sent bool, err error) {
	began, reused := k.links.settings.Now(), k.used.Swap(true)
	k.beginCall(began, c.Urgent)
	defer k.endCall()
	defer func() {
		if !errors.Is(err, context.DeadlineExceeded) {
			return
		}
		u := k.conn.Unanswered(k.links.settings.Now(), began)
		u.To, u.Call, u.Reused = PeerName, c.Method, reused
		k.links.settings.OnUnanswered(u)
	}()
	answer, err := k.send(ctx, c)
	if err != nil {
		return false, err
	}
	return true, answer.Wait(ctx, c.Result)
}

// PeerName names the remote end of a link in log lines and metrics of connections.
const PeerName = "entry box"

// send writes a call. It returns early if ctx ends or the link is closed before the call is
// written.
func (k *link) send(ctx context.Context, c Call) (jsonrpc2.Waiter, error) {
	select {
	case k.sendSlot <- struct{}{}:
		defer func() { <-k.sendSlot }()
	case <-ctx.Done():
		return jsonrpc2.Waiter{}, ctx.Err()
	case <-k.peer().DisconnectNotify():
		return jsonrpc2.Waiter{}, jsonrpc2.ErrClosed
	}
	return k.peer().DispatchCall(ctx, c.Method, c.Params)
}

// pong is the result of a probe.
var pong = json.RawMessage("null")

// Handle implements jsonrpc2.Handler. It answers a probe at once, even while other calls are
// being served.
func (k *link) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == methodPing {
		// This bypasses the lock that jsonrpc2 holds while it encodes other messages. An error
		// means that the link is closed.
		_ = k.stream.WriteObject(&jsonrpc2.Response{ID: req.ID, Result: &pong})
		return
	}
	if req.Method == methodBusy {
		return
	}
	k.handler.Handle(ctx, c, req)
}
