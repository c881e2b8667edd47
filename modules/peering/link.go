// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import (
	"context"
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

	// rpc is the JSON-RPC connection.
	rpc *Conn

	mu sync.Mutex
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

// newLink wraps a connection. Calls that arrive on it are served once k.rpc is started.
func newLink(l *Links, conn *conntrack.Conn) *link {
	k := &link{links: l, conn: conn, sendSlot: make(chan struct{}, 1)}
	k.stream = newStream(k)
	k.rpc = newConn(l.ctx, k.stream, &l.served, k.serve)
	return k
}

// close closes the connection; calls in progress on it fail.
func (k *link) close() { k.rpc.close() }

// isClosed reports whether the connection is closed.
func (k *link) isClosed() bool { return k.rpc.isClosed() }

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
	return true, answer.wait(ctx, c.Result)
}

// PeerName names the remote end of a link in log lines and metrics of connections.
const PeerName = "entry box"

// send writes a call. It returns early if ctx ends or the link is closed before the call is
// written.
func (k *link) send(ctx context.Context, c Call) (*pendingCall, error) {
	select {
	case k.sendSlot <- struct{}{}:
		defer func() { <-k.sendSlot }()
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-k.rpc.disconnected:
		return nil, jsonrpc2.ErrClosed
	}
	return k.rpc.begin(c.Method, c.Params)
}

// serve serves a request of the peer. It answers a probe at once, even while other calls are being
// served.
func (k *link) serve(ctx context.Context, req *jsonrpc2.Request) {
	switch req.Method {
	case methodPing:
		k.rpc.respond(req.ID, nil, nil)
	case methodBusy:
	default:
		result, err := k.links.handle(ctx, k.rpc, req)
		if !req.Notif {
			k.rpc.respond(req.ID, result, err)
		}
	}
}
