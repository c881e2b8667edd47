// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/models/stream"
	"saddlevane/modules/conntrack"
	"saddlevane/modules/peering"
	"saddlevane/services/jobrun"
	"saddlevane/tests/tcpproxy"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
)

// peerHandler answers a call of another box.
type peerHandler func() (any, error)

// followFakeHolder appends a claim of another box to the log and waits until follower has given up
// the cell to it. That box is reached through links and answers all calls with answer.
func followFakeHolder(t *testing.T, on jobrun.Platform, follower *testBox, through *tcpproxy.Proxy, answer peerHandler) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := peering.Settings{
		DialTimeout: time.Second, ProbeAfter: time.Second, AnswerTimeout: 250 * time.Millisecond, Now: time.Now, OnUnanswered: func(conntrack.Unanswered) {}, OnDiscard: func(peering.Discarded) {}, OnAcceptError: func(error) {},
	}
	links := peering.New(context.Background(), listener, s, func(context.Context, *peering.Conn, *jsonrpc2.Request) (any, error) { return answer() })
	links.Serve()
	t.Cleanup(func() { through.Reset(); links.Close() })
	value, err := json.Marshal(claim.Claim{Epoch: 7, Box: "other", Incarnation: "o1", Address: via(t, through)(listener.Addr().String()), Renewal: 1})
	assert.NilError(t, err)
	_, err = on.Log.Append(context.Background(), stream.Append{Stream: stream.Claims, Records: []stream.Record{{Key: "holder", Value: value}}})
	assert.NilError(t, err)
	waitUntil(t, "the box no longer holds the cell", func() bool { return !follower.holdsCell() })
}

func TestForwardedJobThatMayHaveArrivedIsNotRefused(t *testing.T) {
	on := newPlatform(t)
	b := startBox(t, on, "b", io.Discard)
	waitServed(t, b, jobrun.Request{Submit: submission("first")}, "")
	var calls atomic.Int32
	links := newForwarder(t)
	followFakeHolder(t, on.Calls(), b, links, func() (any, error) {
		if calls.Add(1) == 1 {
			// The holder has received the job, but the answer is lost with the connection.
			links.Reset()
			return nil, nil
		}
		return exchange.Answer{Outcome: exchange.HeldElsewhere, Reason: "its authority has run out meanwhile"}, nil
	})
	a := b.loop.Serve(context.Background(), jobrun.Request{Submit: submission("second")})
	assert.Equal(t, a.Outcome, exchange.MaybeDone, "%+v", a)
	assert.Check(t, calls.Load() > 1, "the request is sent again")
}

func TestAbandonedCallDoesNotMarkHolderUnresponsive(t *testing.T) {
	on := newPlatform(t)
	b := startBox(t, on, "b", io.Discard)
	waitServed(t, b, jobrun.Request{Submit: submission("first")}, "")
	abandoned := make(chan struct{})
	var slow atomic.Bool
	slow.Store(true)
	followFakeHolder(t, on.Calls(), b, newForwarder(t), func() (any, error) {
		if slow.Swap(false) {
			<-abandoned
		}
		return exchange.Answer{Outcome: exchange.OK}, nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	a := b.loop.Serve(ctx, jobrun.Request{Submit: submission("second")})
	assert.Equal(t, a.Outcome, exchange.MaybeDone, "%+v", a)
	close(abandoned)
	a = b.loop.Serve(context.Background(), jobrun.Request{Submit: submission("third")})
	assert.Equal(t, a.Outcome, exchange.OK, "%+v", a)
}
