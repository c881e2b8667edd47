// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"saddlevane/modules/frame"
	"saddlevane/modules/peering"
	"saddlevane/tests/tcpproxy"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

const (
	// slowRate is the rate of a slow link, 10 Mbit/s, in bytes per second.
	slowRate = 10_000_000 / 8
	// slowMessage is the size of a message, in bytes, that takes 0.8 s on a slow link, longer
	// than a link may be silent.
	slowMessage = 1 << 20
)

// checkKept checks that a call is served on the first connection and that no link was
// discarded.
func (p *pair) checkKept() {
	p.t.Helper()
	p.mustAnswer(10 * time.Second)
	connections, _ := p.to.connectionsAndCalls()
	assert.Check(p.t, connections == 1, "calls were received on %d connections", connections)
	assert.Check(p.t, len(p.from.discardedLinks()) == 0 && len(p.to.discardedLinks()) == 0, "%+v %+v", p.from.discardedLinks(), p.to.discardedLinks())
}

func TestWorkingLinkIsKept(t *testing.T) {
	t.Run("while a call on it takes long", func(t *testing.T) {
		p := newPair(t)
		done := make(chan error, 1)
		go func() {
			_, repeated, err := p.from.call(p.address, peering.Call{Method: methodWait, Idempotent: true})
			assert.Check(t, !repeated)
			done <- err
		}()
		began := time.Now()
		waitUntil(t, "the call has been in progress for long", func() bool { return time.Since(began) > 2*settings().ProbeAfter })
		assert.Equal(t, len(done), 0)
		close(p.to.release)
		assert.NilError(t, <-done)
		p.checkKept()
	})
	t.Run("though calls on it time out", func(t *testing.T) {
		p := newPair(t)
		defer close(p.to.release)
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), 2*settings().AnswerTimeout)
			_, err := p.from.links.Call(ctx, p.address, peering.Call{Method: methodWait, Idempotent: true})
			cancel()
			e, ok := errors.AsType[*peering.NoAnswerError](err)
			assert.Assert(t, ok, "%v", err)
			assert.Check(t, e.Sent && !e.BoxUnresponsive && errors.Is(err, context.DeadlineExceeded), "%+v", e)
		}
		p.checkKept()
	})
	t.Run("while no calls are made", func(t *testing.T) {
		p := newPair(t)
		began := time.Now()
		waitUntil(t, "no call was made for long", func() bool { return time.Since(began) > 3*settings().ProbeAfter })
		p.checkKept()
	})
}

// A link is not discarded because large messages on it are slow.
func TestLinkWithLargeSlowMessagesIsKept(t *testing.T) {
	p := &pair{t: t, from: newBox(t), to: newBox(t), proxy: tcpproxy.New()}
	t.Cleanup(p.proxy.Close)
	p.proxy.SetRate(slowRate)
	var err error
	p.address, err = p.proxy.Forward(p.to.address)
	assert.NilError(t, err)
	_, repeated, err := p.from.call(p.address, peering.Call{Method: "greet", Params: strings.Repeat("x", slowMessage)})
	assert.Check(t, err == nil, "%v: %+v %+v", err, p.from.discardedLinks(), p.to.discardedLinks())
	assert.Check(t, !repeated)
	got, _, err := p.from.call(p.address, peering.Call{Method: methodLarge})
	assert.Check(t, err == nil, "%v: %+v %+v", err, p.from.discardedLinks(), p.to.discardedLinks())
	assert.Equal(t, len(got), slowMessage)
	p.checkKept()
}

func TestLinkToBoxWithoutProbeSupportIsKept(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	answer := make(chan struct{})
	go func() {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		handle := func(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
			if req.Method != methodWait {
				return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
			}
			<-answer
			return req.Method, nil
		}
		jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(raw, frame.Codec{}), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(handle)))
	}()
	a := newBox(t)
	began := time.Now()
	time.AfterFunc(2*settings().ProbeAfter, func() { close(answer) })
	got, repeated, err := a.call(listener.Addr().String(), peering.Call{Method: methodWait})
	assert.NilError(t, err)
	assert.Equal(t, got, methodWait)
	assert.Check(t, !repeated && time.Since(began) >= 2*settings().ProbeAfter)
	assert.Check(t, len(a.discardedLinks()) == 0, "%+v", a.discardedLinks())
}
