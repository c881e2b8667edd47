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
	"saddlevane/tests/forward"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Symptom: calls to a box run out of their time, whatever that is, though the box
// answers others; or callers hang beyond their time.
//
// Sequence: the connection to a box goes silent, in one direction or both, without a
// reset; new ones work. Nothing ends it at either end. Calls are made on it until their
// time is out; a large one stays in its writing, with the lock held that others wait for.
//
// Cause: a connection was used until somebody closed it, and nobody looked whether
// anything came over it.
//
// What settled it: in the lines of calls without an answer all were on connections over
// which nothing had come since the silence; here, the connections are still open at both
// ends, and a second connection answers at once.
func TestSilentLink(t *testing.T) {
	for name, directions := range map[string][]forward.Direction{
		"silent in both directions": {forward.Requests, forward.Answers},
		"without requests":          {forward.Requests},
		"without answers":           {forward.Answers},
	} {
		t.Run(name, func(t *testing.T) {
			t.Run("is given up at both ends if nobody calls", func(t *testing.T) {
				p := newPair(t)
				p.silence(directions...)
				waitUntil(t, "no connection is open at either end", p.allClosed)
			})
			t.Run("costs a call only a small part of its time", func(t *testing.T) {
				p := newPair(t)
				p.silence(directions...)
				began := time.Now()
				p.mustAnswer(10 * time.Second)
				assert.Check(t, time.Since(began) < 3*time.Second, "answered after %v", time.Since(began))
			})
		})
	}
	t.Run("costs an urgent call little more than the bound on answers", func(t *testing.T) {
		p := newPair(t)
		p.silence()
		// Longer than calls usually leave a link in peace.
		began := time.Now()
		waitUntil(t, "the link is at rest", func() bool { return time.Since(began) > settings().ProbeAfter/2 })
		s := settings()
		got, repeated, err := p.from.callWithin(p.address, s.AnswerTimeout+100*time.Millisecond, peering.Call{Method: "greet", Idempotent: true, Urgent: true})
		assert.NilError(t, err)
		assert.Equal(t, got, "greet")
		assert.Check(t, repeated)
	})
	t.Run("whose writes block holds up other calls for a bounded time", func(t *testing.T) {
		p := newPair(t)
		p.silence(forward.Requests)
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

// largeMessage is more than the system takes for a connection that nobody reads from,
// in bytes.
const largeMessage = 16 << 20

// pair is a box that calls another one through a forwarder.
type pair struct {
	t        *testing.T
	from, to *box
	address  string
	proxy    *forward.Proxy
}

// newPair returns two boxes with an open connection.
func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{t: t, from: newBox(t), to: newBox(t), proxy: forward.New()}
	t.Cleanup(p.proxy.Close)
	var err error
	p.address, err = p.proxy.Forward(p.to.address)
	assert.NilError(t, err)
	p.mustAnswer(10 * time.Second)
	return p
}

// silence silences the open connection.
func (p *pair) silence(directions ...forward.Direction) {
	p.t.Helper()
	assert.Equal(p.t, p.proxy.Stall(directions...), 1)
}

// call makes a call that may be made again, and returns its answer.
func (p *pair) call(within time.Duration, params any) (string, error) {
	got, _, err := p.from.callWithin(p.address, within, peering.Call{Method: "greet", Params: params, Idempotent: true})
	return got, err
}

// mustAnswer makes a call that must be answered.
func (p *pair) mustAnswer(within time.Duration) {
	p.t.Helper()
	got, err := p.call(within, struct{}{})
	assert.NilError(p.t, err)
	assert.Equal(p.t, got, "greet")
}

// allClosed says whether no connection is open at either end.
func (p *pair) allClosed() bool { return p.from.links.Len() == 0 && p.to.links.Len() == 0 }

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}
