// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"sync"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"
)

// Conn is the JSON-RPC 2.0 connection of a link. It exchanges the messages of package jsonrpc2, but
// encodes and decodes parameters and results only once, and Links.Close waits for its goroutines.
type Conn struct {
	stream *stream
	// serve handles a request of the peer.
	serve func(ctx context.Context, req *jsonrpc2.Request)
	ctx   context.Context
	// goroutines holds the goroutines that read messages and serve requests.
	goroutines *conc.WaitGroup
	// stopFollowing stops closing the connection at the end of the context.
	stopFollowing func() bool
	cancel        context.CancelFunc
	disconnected  chan struct{}

	mu     sync.Mutex
	closed bool
	lastID uint64
	// pending holds the calls without a response, by ID.
	pending map[uint64]*pendingCall
}

// pendingCall is a call that waits for its response.
type pendingCall struct {
	// done receives the response. It is closed if the connection is closed first.
	done chan response
}

// response is the response to a call. problem is nil or the error that the peer returned.
type response struct {
	result  json.RawMessage
	problem *jsonrpc2.Error
}

// newConn returns a connection that is closed when ctx ends. It reads nothing before start is called.
func newConn(ctx context.Context, s *stream, goroutines *conc.WaitGroup, serve func(context.Context, *jsonrpc2.Request)) *Conn {
	c := &Conn{stream: s, serve: serve, goroutines: goroutines, disconnected: make(chan struct{}), pending: map[uint64]*pendingCall{}}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// start starts reading.
func (c *Conn) start() {
	stop := context.AfterFunc(c.ctx, c.close)
	c.mu.Lock()
	c.stopFollowing = stop
	c.mu.Unlock()
	c.goroutines.Go(c.readMessages)
}

// close closes the connection; calls in progress on it fail with jsonrpc2.ErrClosed.
func (c *Conn) close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	for id, p := range c.pending {
		close(p.done)
		delete(c.pending, id)
	}
	close(c.disconnected)
	stop := c.stopFollowing
	c.mu.Unlock()
	if stop != nil {
		stop()
	}
	c.cancel()
	// The connection is not used any more, whether closing it failed or not.
	_ = c.stream.Close()
}

// isClosed reports whether the connection is closed.
func (c *Conn) isClosed() bool {
	select {
	case <-c.disconnected:
		return true
	default:
		return false
	}
}

// begin writes a call. Its response is awaited with wait.
func (c *Conn) begin(method string, params any) (*pendingCall, error) {
	p := &pendingCall{done: make(chan response, 1)}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, jsonrpc2.ErrClosed
	}
	c.lastID++
	id := c.lastID
	c.pending[id] = p
	c.mu.Unlock()
	err := c.stream.writeMessage(func(b []byte) ([]byte, error) { return appendRequest(b, id, method, params) })
	if err == nil {
		return p, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
	if c.closed {
		return nil, jsonrpc2.ErrClosed
	}
	return nil, err
}

// wait waits for the response to a call and decodes its result, unless result is nil.
func (p *pendingCall) wait(ctx context.Context, result any) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case r, answered := <-p.done:
		switch {
		case !answered:
			return jsonrpc2.ErrClosed
		case r.problem != nil:
			return r.problem
		case result == nil:
			return nil
		}
		return json.Unmarshal(r.result, result)
	}
}

// readMessages reads messages until the connection is closed.
func (c *Conn) readMessages() {
	defer c.close()
	for {
		var m message
		if err := c.stream.readMessage(&m); err != nil {
			c.logReadError(err)
			return
		}
		if m.request != nil {
			c.goroutines.Go(func() { c.serve(c.ctx, m.request) })
			continue
		}
		c.handleResponse(m)
	}
}

// logReadError logs an error other than the end of the connection.
func (c *Conn) logReadError(err error) {
	if !c.isClosed() && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		log.Printf("peering: message of %s: %v", c.stream.link.conn.Address(), err)
	}
}

// handleResponse passes a response to the call that waits for it.
func (c *Conn) handleResponse(m message) {
	c.mu.Lock()
	p := c.pending[m.id]
	delete(c.pending, m.id)
	c.mu.Unlock()
	if p == nil {
		log.Printf("peering: message of %s: response to unknown call %d", c.stream.link.conn.Address(), m.id)
		return
	}
	p.done <- m.response
}

// respond writes the response to a request: result, or problem if it is not nil. If the result cannot be
// sent, for example because it is too large, the response is the error that says so.
func (c *Conn) respond(id jsonrpc2.ID, result any, problem error) {
	err := c.writeResponse(id, result, problem)
	if err == nil || c.isClosed() {
		return
	}
	log.Printf("peering: response to %s: %v", c.stream.link.conn.Address(), err)
	if err := c.writeResponse(id, nil, err); err != nil && !c.isClosed() {
		log.Printf("peering: error response to %s: %v", c.stream.link.conn.Address(), err)
	}
}

// writeResponse writes the response to a request. An error to write it closes the connection, one to encode
// it does not.
func (c *Conn) writeResponse(id jsonrpc2.ID, result any, problem error) error {
	return c.stream.writeMessage(func(b []byte) ([]byte, error) { return appendResponse(b, id, result, problem) })
}

// notify writes a notification.
func (c *Conn) notify(method string) error {
	return c.stream.writeMessage(func(b []byte) ([]byte, error) { return appendNotification(b, method), nil })
}
