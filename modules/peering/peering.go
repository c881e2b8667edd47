// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peering keeps the connections between entry boxes: one to each box
// that is called, and those that other boxes have opened. Calls go both ways over
// a connection, as JSON-RPC 2.0 in the frames of package frame.
package peering

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"saddlevane/modules/conntrack"
	"saddlevane/modules/frame"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"
)

// Handler serves one call of a peer.
type Handler func(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error)

// Settings of the connections of one box.
type Settings struct {
	// Dial bounds the opening of a connection.
	Dial time.Duration
	// Probe is how long nothing may have come over a connection before it is probed.
	Probe time.Duration
	// Answer is how long nothing may come after a probe before the connection is given
	// up.
	Answer time.Duration
	// Now tells the time.
	Now func() time.Time
	// Unanswered is told of each call that ran out of its time without an answer.
	Unanswered func(conntrack.Unanswered)
}

// Links are the connections of one box. They may be used by several goroutines.
type Links struct {
	ctx      context.Context
	settings Settings
	listener net.Listener
	dialer   net.Dialer
	handle   Handler
	table    *conntrack.Table
	tasks    conc.WaitGroup

	mu sync.Mutex
	// conns has the newest connection that this box opened, by address.
	conns map[string]*Link
}

// New returns links that end with ctx. Peers' calls go to handle.
func New(ctx context.Context, listener net.Listener, s Settings, handle Handler) *Links {
	return &Links{
		ctx: ctx, settings: s, listener: listener, dialer: net.Dialer{Timeout: s.Dial}, handle: handle,
		table: conntrack.NewTable(s.Now), conns: map[string]*Link{},
	}
}

// Serve accepts peers until Close.
func (l *Links) Serve() { l.tasks.Go(l.accept) }

// Close ends all connections and waits until peers are served no more. The
// context of the links must have ended.
func (l *Links) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	for _, c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.tasks.Wait()
}

// Len returns how many connections are open, also those that peers have opened.
func (l *Links) Len() int { return l.table.Len() }

// Link is a connection to a box.
type Link struct {
	links *Links
	rpc   *jsonrpc2.Conn
	raw   *conntrack.Conn
	// used says that a call was made on it.
	used atomic.Bool
}

// Call makes one call.
func (k *Link) Call(ctx context.Context, method string, in, out any) error {
	began := k.links.settings.Now()
	reused := k.used.Swap(true)
	err := k.rpc.Call(ctx, method, in, out)
	if errors.Is(err, context.DeadlineExceeded) {
		u := k.raw.Unanswered(k.links.settings.Now(), began)
		u.To, u.Call, u.Reused = "entry box", method, reused
		k.links.settings.Unanswered(u)
	}
	return err
}

// Close ends the connection; calls under way on it fail.
func (k *Link) Close() { _ = k.rpc.Close() }

// Closed is closed once the connection has ended.
func (k *Link) Closed() <-chan struct{} { return k.rpc.DisconnectNotify() }

// Conn returns a connection to the box at an address, a new one if there is none.
// An error means that nobody was reached.
func (l *Links) Conn(ctx context.Context, address string) (*Link, error) {
	l.mu.Lock()
	c := l.conns[address]
	l.mu.Unlock()
	if c != nil && !disconnected(c) {
		return c, nil
	}
	raw, err := l.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c = l.connect(l.table.Add(address, raw))
	l.mu.Lock()
	defer l.mu.Unlock()
	if other := l.conns[address]; other != nil && !disconnected(other) {
		// Another caller was faster.
		c.Close()
		return other, nil
	}
	l.conns[address] = c
	return c, nil
}

func (l *Links) accept() {
	for {
		raw, err := l.listener.Accept()
		if err != nil {
			return
		}
		c := l.connect(l.table.Add(raw.RemoteAddr().String(), raw))
		l.tasks.Go(func() {
			select {
			case <-c.Closed():
			case <-l.ctx.Done():
				c.Close()
			}
		})
	}
}

func (l *Links) connect(raw *conntrack.Conn) *Link {
	stream := jsonrpc2.NewBufferedStream(raw, frame.Codec{})
	rpc := jsonrpc2.NewConn(l.ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(l.handle)))
	return &Link{links: l, rpc: rpc, raw: raw}
}

func disconnected(c *Link) bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}
