// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peering manages the connections between entry boxes: one to each box that is called,
// and those opened by other boxes. Calls go in both directions on a connection, as JSON-RPC 2.0
// messages framed by package frame.
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
type Handler func(ctx context.Context, c *Conn, req *jsonrpc2.Request) (any, error)

// Settings holds the settings of the connections of one box.
type Settings struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// ProbeAfter is how long nothing may be received on a connection before it is probed.
	ProbeAfter time.Duration
	// AnswerTimeout is how long nothing may be received after a probe before the connection is
	// discarded.
	AnswerTimeout time.Duration
	// Now returns the current time.
	Now func() time.Time
	// OnUnanswered is called for each call that timed out without an answer.
	OnUnanswered func(conntrack.Unanswered)
	// OnDiscard is called for each connection that is discarded as silent.
	OnDiscard func(Discarded)
	// OnClose, if set, is called with the address of a box when the last connection that was opened to it
	// has closed.
	OnClose func(address string)
	// OnAcceptError is called with the error of each failed accept.
	OnAcceptError func(error)
	// OnOpen, if set, is called for each connection that is opened (1) or closed (-1).
	OnOpen func(delta int)
	// OnBytes, if set, is called with the numbers of bytes read and written.
	OnBytes func(in, out int)
}

// Links holds the connections of one box. It is safe for concurrent use.
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
	// served holds the goroutines that read from connections and serve calls.
	served conc.WaitGroup

	mu sync.Mutex
	// links holds all open connections.
	links map[*link]struct{}
	// newest holds the newest connection, open or being opened, to each address that was
	// called.
	newest map[string]*sharedLink
	closed bool
}

// New returns links that are closed when ctx ends. Calls of peers are passed to handle.
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

// Serve starts accepting connections of peers, until Close.
func (l *Links) Serve() { l.wg.Go(l.accept) }

// Close closes all connections and waits for the goroutines that serve them.
func (l *Links) Close() {
	l.cancel()
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	for _, k := range l.openLinks() {
		k.close()
	}
	// Once no link is added any more, wait for those that read. They report that they are busy from
	// other goroutines.
	l.wg.Wait()
	l.served.Wait()
	l.wg.Wait()
}

// openLinks returns the open connections.
func (l *Links) openLinks() []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.links))
}

// Len returns the number of open connections.
func (l *Links) Len() int { return l.table.Len() }

// acceptRetryDelay is the delay after a failed accept. Most accepts fail for lack of a file
// descriptor, and connections are closed within this time.
const acceptRetryDelay = 50 * time.Millisecond

// accept accepts connections of peers until the links are closed. It continues after an error,
// because otherwise the box would never be reachable again.
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

// addLink creates a link on a connection.
func (l *Links) addLink(address string, raw net.Conn) *link {
	limitSendBuffer(raw)
	l.mu.Lock()
	k := newLink(l, l.table.Add(address, raw))
	l.links[k] = struct{}{}
	closed := l.closed
	k.rpc.start()
	l.mu.Unlock()
	if closed {
		k.close()
	}
	now := l.settings.Now()
	l.checkTimer.scheduleBy(now, now.Add(l.settings.ProbeAfter))
	return k
}

// removeLink removes a closed link.
func (l *Links) removeLink(k *link) {
	address := k.conn.Address()
	if l.forgetLink(k, address) && l.settings.OnClose != nil {
		l.settings.OnClose(address)
	}
}

// forgetLink removes a closed link and reports whether it was the newest one to an address.
func (l *Links) forgetLink(k *link, address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.links, k)
	s := l.newest[address]
	if s == nil || !s.hasEnded() {
		return false
	}
	delete(l.newest, address)
	return true
}
