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
	// stream is what the end that speaks JSON-RPC reads from and writes to.
	stream *stream
	// used says that a call was made on it.
	used atomic.Bool
	// reading says that the next bytes are waited for.
	reading atomic.Bool
	// sending is held by the call that is being written, so that others can leave when
	// their time is out.
	sendSlot chan struct{}

	mu sync.Mutex
	// rpc is the end that speaks JSON-RPC.
	rpc *jsonrpc2.Conn
	// serve has the calls of the peer handled.
	handler jsonrpc2.Handler
	// calls is how many calls of this box wait on it, and waitingSince since when there
	// has been at least one.
	calls        int
	waitingSince time.Time
	// urgent says that it is to be probed at once.
	probeNow bool
	// probing says that a probe is under way. probedAt is when all that was written until
	// the probe should have arrived, or zero while the probe waits to be written.
	probing  bool
	probedAt time.Time
	// answeredAt is when the last probe was answered, or zero before calls wait.
	answeredAt time.Time
	// overdue says that it was found to be silent once.
	overdue   bool
	discarded bool
	// deliveredBy is when the peer should have all that was written, if the link works.
	deliveredBy time.Time
}

// newLink serves the calls that come over a connection.
func newLink(l *Links, conn *conntrack.Conn) *link {
	k := &link{links: l, conn: conn, sendSlot: make(chan struct{}, 1)}
	k.stream = newStream(k)
	k.handler = jsonrpc2.HandlerWithError(l.handle).SuppressErrClosed()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rpc = jsonrpc2.NewConn(l.ctx, k.stream, jsonrpc2.AsyncHandler(k))
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

// isClosed says whether the connection has ended.
func (k *link) isClosed() bool {
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

// PeerName is what the lines and counters of connections call the other end of a link.
const PeerName = "entry box"

// send writes a call.
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

// Handle serves one call of the peer, as a jsonrpc2.Handler. A probe is answered at
// once, whatever the other calls wait for.
func (k *link) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == methodPing {
		// Written past the lock that is held while other messages are encoded. It fails
		// if the link has ended.
		_ = k.stream.WriteObject(&jsonrpc2.Response{ID: req.ID, Result: &pong})
		return
	}
	if req.Method == methodBusy {
		return
	}
	k.handler.Handle(ctx, c, req)
}
