// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering_test

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/modules/peering"
	"saddlevane/tests/tcpproxy"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against calls that time out, or callers that hang beyond their timeout, although the
// box answers calls on other connections. This happens when the connection to a box goes silent
// in one or both directions without a reset while new connections work: unless received data is
// monitored, both ends keep using it, and a large call blocks in its write while it holds the
// lock that other calls need.
func TestSilentLink(t *testing.T) {
	for name, directions := range map[string][]tcpproxy.Direction{
		"silent in both directions": {tcpproxy.Requests, tcpproxy.Answers},
		"without requests":          {tcpproxy.Requests},
		"without answers":           {tcpproxy.Answers},
	} {
		t.Run(name, func(t *testing.T) {
			t.Run("is discarded at both ends if no calls are made", func(t *testing.T) {
				p := newPair(t)
				p.silence(directions...)
				waitUntil(t, "no connection is open at either end", p.allClosed)
			})
			t.Run("delays a call only by a small part of its timeout", func(t *testing.T) {
				p := newPair(t)
				p.silence(directions...)
				began := time.Now()
				p.mustAnswer(10 * time.Second)
				assert.Check(t, time.Since(began) < 3*time.Second, "answered after %v", time.Since(began))
			})
		})
	}
	t.Run("delays an urgent call by little more than the answer timeout", func(t *testing.T) {
		p := newPair(t)
		p.silence()
		// Wait longer than other calls usually leave a link idle.
		began := time.Now()
		waitUntil(t, "the link has been idle", func() bool { return time.Since(began) > settings().ProbeAfter/2 })
		s := settings()
		got, repeated, err := p.from.callWithin(p.address, s.AnswerTimeout+100*time.Millisecond, peering.Call{Method: "greet", Idempotent: true, Urgent: true})
		assert.NilError(t, err)
		assert.Equal(t, got, "greet")
		assert.Check(t, repeated)
	})
	t.Run("with blocked writes delays other calls for a bounded time", func(t *testing.T) {
		p := newPair(t)
		p.silence(tcpproxy.Requests)
		var calls sync.WaitGroup
		defer calls.Wait()
		defer p.proxy.Close()
		calls.Go(func() { _, _ = p.call(20*time.Second, strings.Repeat("x", largeMessage)) })
		var done atomic.Int32
		for range 5 {
			calls.Go(func() {
				if _, err := p.call(20*time.Second, struct{}{}); err == nil {
					done.Add(1)
				}
			})
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if done.Load() == 5 {
				return poll.Success()
			}
			return poll.Continue("%d of 5 calls are answered", done.Load())
		}, poll.WithTimeout(3*time.Second), poll.WithDelay(10*time.Millisecond))
	})
}

// largeMessage is a size, in bytes, that exceeds the system's buffers of a connection that
// nobody reads from.
const largeMessage = 16 << 20

// pair is a box that calls another one through a proxy.
type pair struct {
	t        *testing.T
	from, to *box
	address  string
	proxy    *tcpproxy.Proxy
}

// newPair returns two boxes with an open connection.
func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{t: t, from: newBox(t), to: newBox(t), proxy: tcpproxy.New()}
	t.Cleanup(p.proxy.Close)
	var err error
	p.address, err = p.proxy.Forward(p.to.address)
	assert.NilError(t, err)
	p.mustAnswer(10 * time.Second)
	return p
}

// silence stalls the open connection.
func (p *pair) silence(directions ...tcpproxy.Direction) {
	p.t.Helper()
	assert.Equal(p.t, p.proxy.Stall(directions...), 1)
}

// call makes an idempotent call and returns its answer.
func (p *pair) call(timeout time.Duration, params any) (string, error) {
	got, _, err := p.from.callWithin(p.address, timeout, peering.Call{Method: "greet", Params: params, Idempotent: true})
	return got, err
}

// mustAnswer makes a call and fails the test unless it is answered.
func (p *pair) mustAnswer(timeout time.Duration) {
	p.t.Helper()
	got, err := p.call(timeout, struct{}{})
	assert.NilError(p.t, err)
	assert.Equal(p.t, got, "greet")
}

// allClosed reports whether no connection is open at either end.
func (p *pair) allClosed() bool { return p.from.links.Len() == 0 && p.to.links.Len() == 0 }

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", description)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}
