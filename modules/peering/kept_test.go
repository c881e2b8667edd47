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
	"saddlevane/tests/forward"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

const (
	// slowRate is the rate of a thin link, 10 Mbit/s, in bytes a second.
	slowRate = 10_000_000 / 8
	// slowMessage takes a thin link 0.8 s, longer than a link may be silent, in bytes.
	slowMessage = 1 << 20
)

// kept checks that a call was served on the one connection there is.
func (p *pair) kept() {
	p.t.Helper()
	p.answered(10 * time.Second)
	connections, _ := p.to.callsOn()
	assert.Check(p.t, connections == 1, "calls came on %d connections", connections)
	assert.Check(p.t, len(p.from.givenUp()) == 0 && len(p.to.givenUp()) == 0, "%+v %+v", p.from.givenUp(), p.to.givenUp())
}

func TestALinkThatWorksIsKept(t *testing.T) {
	t.Run("while a call on it takes long", func(t *testing.T) {
		p := newPair(t)
		done := make(chan error, 1)
		go func() {
			_, repeated, err := p.from.ask(p.address, peering.Call{Method: methodWait, Idempotent: true})
			assert.Check(t, !repeated)
			done <- err
		}()
		began := time.Now()
		until(t, "the call is under way for long", func() bool { return time.Since(began) > 2*settings().Probe })
		assert.Equal(t, len(done), 0)
		close(p.to.until)
		assert.NilError(t, <-done)
		p.kept()
	})
	t.Run("though calls on it run out of their time", func(t *testing.T) {
		p := newPair(t)
		defer close(p.to.until)
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), 2*settings().Answer)
			_, err := p.from.links.Call(ctx, p.address, peering.Call{Method: methodWait, Idempotent: true})
			cancel()
			e, ok := errors.AsType[*peering.NoAnswerError](err)
			assert.Assert(t, ok, "%v", err)
			assert.Check(t, e.Sent && !e.OfBox && errors.Is(err, context.DeadlineExceeded), "%+v", e)
		}
		p.kept()
	})
	t.Run("while nobody calls", func(t *testing.T) {
		p := newPair(t)
		began := time.Now()
		until(t, "nobody has called for long", func() bool { return time.Since(began) > 3*settings().Probe })
		p.kept()
	})
}

// A link that carries large messages slowly works, too.
func TestALinkThatCarriesLargeMessagesSlowlyIsKept(t *testing.T) {
	p := &pair{t: t, from: newBox(t), to: newBox(t), by: forward.New()}
	t.Cleanup(p.by.Close)
	p.by.SetRate(slowRate)
	var err error
	p.address, err = p.by.Forward(p.to.address)
	assert.NilError(t, err)
	_, repeated, err := p.from.ask(p.address, peering.Call{Method: "greet", Params: strings.Repeat("x", slowMessage)})
	assert.Check(t, err == nil, "%v: %+v %+v", err, p.from.givenUp(), p.to.givenUp())
	assert.Check(t, !repeated)
	got, _, err := p.from.ask(p.address, peering.Call{Method: methodLarge})
	assert.Check(t, err == nil, "%v: %+v %+v", err, p.from.givenUp(), p.to.givenUp())
	assert.Equal(t, len(got), slowMessage)
	p.kept()
}

func TestALinkToABoxThatKnowsNoProbesIsKept(t *testing.T) {
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
	time.AfterFunc(2*settings().Probe, func() { close(answer) })
	got, repeated, err := a.ask(listener.Addr().String(), peering.Call{Method: methodWait})
	assert.NilError(t, err)
	assert.Equal(t, got, methodWait)
	assert.Check(t, !repeated && time.Since(began) >= 2*settings().Probe)
	assert.Check(t, len(a.givenUp()) == 0, "%+v", a.givenUp())
}
