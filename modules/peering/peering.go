// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package peering keeps the connections between entry boxes: one to each box
// that is called, and those that other boxes have opened. Calls go both ways over
// a connection, as JSON-RPC 2.0 in the frames of package frame.
package peering

import (
	"context"
	"net"
	"sync"
	"time"

	"saddlevane/modules/frame"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"
)

// Handler serves one call of a peer.
type Handler func(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error)

// Links are the connections of one box. They may be used by several goroutines.
type Links struct {
	ctx      context.Context
	listener net.Listener
	dialer   net.Dialer
	handle   Handler
	tasks    conc.WaitGroup

	mu sync.Mutex
	// conns has the newest connection that this box opened, by address.
	conns map[string]*jsonrpc2.Conn
}

// New returns links that end with ctx. Peers' calls go to handle; opening a
// connection takes dialWithin at the most.
func New(ctx context.Context, listener net.Listener, dialWithin time.Duration, handle Handler) *Links {
	return &Links{
		ctx: ctx, listener: listener, dialer: net.Dialer{Timeout: dialWithin}, handle: handle,
		conns: map[string]*jsonrpc2.Conn{},
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
		_ = c.Close()
	}
	l.mu.Unlock()
	l.tasks.Wait()
}

// Conn returns a connection to the box at an address, a new one if there is none.
// An error means that nobody was reached.
func (l *Links) Conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
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
	c = l.connect(raw)
	l.mu.Lock()
	defer l.mu.Unlock()
	if other := l.conns[address]; other != nil && !disconnected(other) {
		// Another caller was faster.
		_ = c.Close()
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
		c := l.connect(raw)
		l.tasks.Go(func() {
			select {
			case <-c.DisconnectNotify():
			case <-l.ctx.Done():
				_ = c.Close()
			}
		})
	}
}

func (l *Links) connect(raw net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(raw, frame.Codec{})
	return jsonrpc2.NewConn(l.ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(l.handle)))
}

func disconnected(c *jsonrpc2.Conn) bool {
	select {
	case <-c.DisconnectNotify():
		return true
	default:
		return false
	}
}
