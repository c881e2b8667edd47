// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering_test

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"saddlevane/modules/conntrack"
	"saddlevane/modules/peering"
	"saddlevane/tests/tcpproxy"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

func settings() peering.Settings {
	return peering.Settings{
		DialTimeout: time.Second, ProbeAfter: time.Second, AnswerTimeout: 250 * time.Millisecond, Now: time.Now, OnUnanswered: func(conntrack.Unanswered) {}, OnDiscard: func(peering.Discarded) {}, OnAcceptError: func(error) {},
	}
}

// box is one end of the links under test. It answers each call with the name of its method,
// except for the methods below.
type box struct {
	links   *peering.Links
	address string
	// resetProxy resets all connections at the first methodLose call.
	resetProxy *tcpproxy.Proxy

	// release is closed to answer the calls of methodWait.
	release chan struct{}

	mu sync.Mutex
	// discards holds the links that were discarded.
	discards []peering.Discarded
	// conns holds the connection of each call received, in order.
	conns []*peering.Conn
}

// The methods with special behavior.
const (
	// methodRefuse is answered with an error.
	methodRefuse = "refuse"
	// methodLose is answered after its first connection was reset.
	methodLose = "lose"
	// methodWait is answered once release is closed.
	methodWait = "wait"
	// methodLarge has a large answer.
	methodLarge = "large"
)

// newBox returns a box that serves calls until the test ends.
func newBox(t *testing.T) *box {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := &box{address: listener.Addr().String(), release: make(chan struct{})}
	s := settings()
	s.OnDiscard = b.recordDiscard
	b.links = peering.New(context.Background(), listener, s, b.handle)
	b.links.Serve()
	t.Cleanup(b.links.Close)
	return b
}

// handle serves one call.
func (b *box) handle(_ context.Context, c *peering.Conn, req *jsonrpc2.Request) (any, error) {
	b.mu.Lock()
	b.conns = append(b.conns, c)
	calls := len(b.conns)
	b.mu.Unlock()
	switch req.Method {
	case methodRefuse:
		return nil, errors.New("it is refused")
	case methodLose:
		if calls == 1 {
			b.resetProxy.Reset()
		}
	case methodWait:
		<-b.release
	case methodLarge:
		return strings.Repeat("x", slowMessage), nil
	}
	return req.Method, nil
}

// recordDiscard records a discarded link.
func (b *box) recordDiscard(d peering.Discarded) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.discards = append(b.discards, d)
}

// discardedLinks returns the links that were discarded.
func (b *box) discardedLinks() []peering.Discarded {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.discards)
}

// connectionsAndCalls returns the number of connections on which calls were received, and the
// number of calls.
func (b *box) connectionsAndCalls() (connections, calls int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	different := map[*peering.Conn]bool{}
	for _, c := range b.conns {
		different[c] = true
	}
	return len(different), len(b.conns)
}

// call makes a call with a timeout of a minute and returns its answer.
func (b *box) call(address string, c peering.Call) (answer string, repeated bool, err error) {
	return b.callWithin(address, time.Minute, c)
}

// callWithin makes a call with the given timeout and returns its answer.
func (b *box) callWithin(address string, timeout time.Duration, c peering.Call) (answer string, repeated bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c.Result = &answer
	repeated, err = b.links.Call(ctx, address, c)
	return answer, repeated, err
}

func TestCallReachesPeer(t *testing.T) {
	a, b := newBox(t), newBox(t)
	got, repeated, err := a.call(b.address, peering.Call{Method: "greet"})
	assert.NilError(t, err)
	assert.Equal(t, got, "greet")
	assert.Check(t, !repeated)
	assert.Equal(t, a.links.Len(), 1)
}

func TestConnectionIsReusedUntilItCloses(t *testing.T) {
	a, b := newBox(t), newBox(t)
	by := tcpproxy.New()
	defer by.Close()
	address, err := by.Forward(b.address)
	assert.NilError(t, err)
	for _, want := range []int{1, 1, 2} {
		got, _, err := a.call(address, peering.Call{Method: "greet"})
		assert.NilError(t, err)
		assert.Equal(t, got, "greet")
		connections, calls := b.connectionsAndCalls()
		assert.Equal(t, connections, want)
		if calls == 2 {
			by.Reset()
			waitUntil(t, "the connection is closed", func() bool { return a.links.Len() == 0 })
		}
	}
}

func TestConcurrentCallersShareConnection(t *testing.T) {
	a, b := newBox(t), newBox(t)
	var callers sync.WaitGroup
	for range 50 {
		callers.Go(func() {
			_, _, err := a.call(b.address, peering.Call{Method: "greet"})
			assert.Check(t, err == nil, "%v", err)
		})
	}
	callers.Wait()
	connections, calls := b.connectionsAndCalls()
	assert.Equal(t, connections, 1)
	assert.Equal(t, calls, 50)
}

func TestUnreachablePeerIsAnError(t *testing.T) {
	a := newBox(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, _, err = a.call(address, peering.Call{Method: "greet"})
	e, ok := errors.AsType[*peering.NoAnswerError](err)
	assert.Assert(t, ok, "%v", err)
	assert.Check(t, !e.Sent && e.BoxUnresponsive, "%+v", e)
}

func TestUnresponsiveBoxIsDistinguishedFromSilentLink(t *testing.T) {
	within := settings().AnswerTimeout + 50*time.Millisecond
	call := peering.Call{Method: "greet", Idempotent: true}
	t.Run("a box that takes connections and never answers", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer listener.Close()
		a := newBox(t)
		_, _, err = a.callWithin(listener.Addr().String(), within, call)
		e, ok := errors.AsType[*peering.NoAnswerError](err)
		assert.Assert(t, ok, "%v", err)
		assert.Check(t, e.Sent && e.BoxUnresponsive, "%+v", e)
	})
	t.Run("a link that went silent", func(t *testing.T) {
		p := newPair(t)
		p.silence()
		_, _, err := p.from.callWithin(p.address, within, call)
		e, ok := errors.AsType[*peering.NoAnswerError](err)
		assert.Assert(t, ok, "%v", err)
		assert.Check(t, e.Sent && !e.BoxUnresponsive, "%+v", e)
	})
}

func TestErrorResponseIsNotNoAnswer(t *testing.T) {
	a, b := newBox(t), newBox(t)
	_, _, err := a.call(b.address, peering.Call{Method: methodRefuse, Idempotent: true})
	assert.ErrorContains(t, err, "it is refused")
	_, ok := errors.AsType[*peering.NoAnswerError](err)
	assert.Check(t, !ok, "%v", err)
	_, calls := b.connectionsAndCalls()
	assert.Equal(t, calls, 1)
}

func TestOnlyIdempotentCallIsRetriedAfterConnectionLoss(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		a, b := newBox(t), newBox(t)
		b.resetProxy = tcpproxy.New()
		defer b.resetProxy.Close()
		address, err := b.resetProxy.Forward(b.address)
		assert.NilError(t, err)
		got, repeated, err := a.call(address, peering.Call{Method: methodLose, Idempotent: idempotent})
		_, calls := b.connectionsAndCalls()
		if idempotent {
			assert.NilError(t, err)
			assert.Equal(t, got, methodLose)
			assert.Check(t, repeated)
			assert.Equal(t, calls, 2)
			continue
		}
		e, ok := errors.AsType[*peering.NoAnswerError](err)
		assert.Assert(t, ok, "%v", err)
		assert.Check(t, e.Sent, "%+v", e)
		assert.Equal(t, calls, 1)
	}
}

func TestClosedLinksRefuseCalls(t *testing.T) {
	a, b := newBox(t), newBox(t)
	a.links.Close()
	_, _, err := a.call(b.address, peering.Call{Method: "greet", Idempotent: true})
	e, ok := errors.AsType[*peering.NoAnswerError](err)
	assert.Assert(t, ok, "%v", err)
	assert.Check(t, !e.Sent, "%+v", e)
}
