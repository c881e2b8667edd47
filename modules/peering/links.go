// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peering keeps the connections between entry boxes: one to each box
// that is called, and those that other boxes have opened. Calls go both ways over
// a connection, as JSON-RPC 2.0 in the frames of package frame.
package peering

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"saddlevane/modules/clock"
	"saddlevane/modules/conntrack"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"
)

// Handler serves one call of a peer.
type Handler func(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error)

// Settings of the connections of one box.
type Settings struct {
	// Dial bounds the opening of a connection.
	DialTimeout time.Duration
	// Probe is how long nothing may have come over a connection before it is probed.
	ProbeAfter time.Duration
	// Answer is how long nothing may come after a probe before the connection is given
	// up.
	AnswerTimeout time.Duration
	// Now tells the time.
	Now func() time.Time
	// Unanswered is told of each call that ran out of its time without an answer.
	OnUnanswered func(conntrack.Unanswered)
	// GivenUp is told of each connection that is given up as silent.
	OnDiscard func(Discarded)
	// OnAcceptError is told why a connection of a peer could not be accepted.
	OnAcceptError func(error)
	// Open, if set, is told of each connection that is opened (1) or closed (-1).
	OnOpen func(delta int)
	// Bytes, if set, is told of the bytes that were read and written.
	OnBytes func(in, out int)
}

// Links are the connections of one box. They may be used by several goroutines.
type Links struct {
	settings   Settings
	listener   net.Listener
	dialer     net.Dialer
	handle     Handler
	table      *conntrack.Table
	checkTimer *checkTimer
	ctx        context.Context
	cancel     context.CancelFunc
	wg         conc.WaitGroup

	mu sync.Mutex
	// links has all connections that are open.
	links map[*link]struct{}
	// newest has the newest connection, open or being opened, to each address that was
	// called.
	newest map[string]*sharedLink
	closed bool
}

// New returns links that end with ctx. Peers' calls go to handle.
func New(ctx context.Context, listener net.Listener, s Settings, handle Handler) *Links {
	ctx, cancel := context.WithCancel(ctx)
	l := &Links{
		settings: s, listener: listener, dialer: net.Dialer{Timeout: s.DialTimeout}, handle: handle,
		table: conntrack.NewTable(s.Now), checkTimer: newCheckTimer(s.Now()), ctx: ctx, cancel: cancel,
		links: map[*link]struct{}{}, newest: map[string]*sharedLink{},
	}
	if s.OnOpen != nil {
		l.table.OnChange(s.OnOpen)
	}
	if s.OnBytes != nil {
		l.table.OnBytes(s.OnBytes)
	}
	l.wg.Go(l.runChecks)
	return l
}

// Serve accepts peers until Close.
func (l *Links) Serve() { l.wg.Go(l.accept) }

// Close ends all connections and waits for what is under way on them.
func (l *Links) Close() {
	l.cancel()
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	for _, k := range l.openLinks() {
		k.close()
	}
	l.wg.Wait()
}

// openLinks returns the connections that are open.
func (l *Links) openLinks() []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.links))
}

// Len returns how many connections are open.
func (l *Links) Len() int { return l.table.Len() }

// acceptRetryDelay is the pause after an accept that failed, mostly for want of a
// descriptor: others are closed within that time.
const acceptRetryDelay = 50 * time.Millisecond

// accept takes connections of peers until the links are closed. One that cannot be taken
// does not end it: the box would answer nobody any more.
func (l *Links) accept() {
	for l.ctx.Err() == nil {
		raw, err := l.listener.Accept()
		switch {
		case err == nil:
			l.addLink(raw.RemoteAddr().String(), raw)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			l.settings.OnAcceptError(err)
			clock.Wait(l.ctx, acceptRetryDelay)
		}
	}
}

// addLink makes a link of a connection.
func (l *Links) addLink(address string, raw net.Conn) *link {
	limitSendBuffer(raw)
	l.mu.Lock()
	k := newLink(l, l.table.Add(address, raw))
	l.links[k] = struct{}{}
	closed := l.closed
	l.mu.Unlock()
	if closed {
		k.close()
	}
	now := l.settings.Now()
	l.checkTimer.scheduleBy(now, now.Add(l.settings.ProbeAfter))
	return k
}

// removeLink takes a connection out that has ended.
func (l *Links) removeLink(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.links, k)
	address := k.conn.Address()
	if o := l.newest[address]; o != nil && o.hasEnded() {
		delete(l.newest, address)
	}
}
