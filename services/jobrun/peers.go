// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/modules/peering"
	"saddlevane/services/relay"

	"github.com/sourcegraph/jsonrpc2"
)

// The methods that entry boxes call on each other.
const (
	methodRequest = "jobs.request"
	methodAdvise  = "jobs.advise"
	methodCarry   = "jobs.carry"
	methodCarried = "jobs.carried"
)

// Peers serves other entry boxes and calls them.
type Peers struct {
	loop  *Loop
	links *peering.Links
	// relay carries the orders of holders to workers.
	relay  *relay.Server
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// silentUntil is until when a box that did not answer is not asked.
	silentUntil map[string]time.Time
	// elsewhere says of boxes that they last answered that they do not hold the cell.
	elsewhere map[string]bool
}

// NewPeers returns the adapter; Serve starts it.
func NewPeers(listener net.Listener, loop *Loop) *Peers {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Peers{loop: loop, ctx: ctx, cancel: cancel, silentUntil: map[string]time.Time{}, elsewhere: map[string]bool{}}
	p.relay = relay.NewServer(loop.now, loop.platform.Workers, loop.sendBatch(methodCarried))
	p.links = peering.New(ctx, listener, peering.Settings{
		Dial: loop.settings.PeerTimeout, Probe: loop.settings.Probe, Answer: loop.settings.Answer, Now: loop.now,
		Unanswered: loop.Unanswered, GivenUp: loop.linkGivenUp, NotAccepted: loop.linkNotAccepted,
		Open:  func(delta int) { loop.ConnectionsChanged(peering.To, delta) },
		Bytes: loop.BytesTo(peering.To),
	}, p.handle)
	return p
}

// Serve accepts peers until Close.
func (p *Peers) Serve() { p.links.Serve() }

// Close ends all connections and waits for what is under way.
func (p *Peers) Close() {
	p.cancel()
	p.links.Close()
	p.relay.Close()
}

// handle serves one call of a peer.
func (p *Peers) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	switch req.Method {
	case methodRequest:
		var r Request
		if err := decode(req, &r); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, p.loop.settings.PeerTimeout)
		defer cancel()
		return p.loop.ask(ctx, r.event), nil
	case methodAdvise:
		var a adviseParams
		if err := decode(req, &a); err != nil {
			return nil, err
		}
		return p.adviseFor(ctx, a)
	case methodCarry, methodCarried:
		var b relay.Batch
		if err := decode(req, &b); err != nil {
			return nil, err
		}
		return nil, p.takeBatch(req.Method, b)
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
}

// decode reads a call's parameters.
func decode(req *jsonrpc2.Request, v any) error {
	if err := json.Unmarshal(*req.Params, v); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// request passes a caller's wish on to the holder.
func (p *Peers) request(ctx context.Context, address string, r Request) exchange.Answer {
	if p.silent(address) {
		return p.unreached("the holder does not answer")
	}
	within, cancel := context.WithTimeout(ctx, p.loop.settings.PeerTimeout)
	defer cancel()
	a, repeated, err := p.pass(within, address, r, false)
	failed, _ := errors.AsType[*peering.NoAnswerError](err)
	switch {
	case err == nil:
		p.answered(address, a.Outcome == exchange.HeldElsewhere)
	case failed != nil && failed.OfBox && ctx.Err() == nil:
		// A caller who has left tells nothing of the box.
		p.setSilent(address)
	}
	return sure(a, repeated)
}

// pass passes a wish on to another box; an urgent one has the link probed at once. The
// same wish again changes nothing more, so it may be made again; repeated says that an earlier try may have been served besides.
// An error means that the box has not answered it; the outcome then says whether it may
// have been asked.
func (p *Peers) pass(ctx context.Context, address string, r Request, urgent bool) (a exchange.Answer, repeated bool, err error) {
	repeated, err = p.links.Call(ctx, address, peering.Call{
		Method: methodRequest, Params: r, Result: &a, Idempotent: true, Urgent: urgent,
	})
	failed, _ := errors.AsType[*peering.NoAnswerError](err)
	switch {
	case failed != nil && !failed.Sent:
		a = p.unreached(err.Error())
	case err != nil:
		a = exchange.Answer{Outcome: exchange.MaybeDone, Reason: err.Error()}
	}
	return a, repeated, err
}

// sure returns an answer as far as it is sure: if it says that nothing was done, an
// earlier try may still have been served.
func sure(a exchange.Answer, repeated bool) exchange.Answer {
	if !repeated || !a.Outcome.HasNoEffect() {
		return a
	}
	return exchange.Answer{Outcome: exchange.MaybeDone, Reason: "an earlier try had no answer, a later one was refused: " + a.Reason}
}

// unreached is the answer where the holder was not asked, so nothing was done.
func (p *Peers) unreached(reason string) exchange.Answer {
	return exchange.Answer{
		Outcome: exchange.Unavailable, Reason: reason,
		RetryAfter: job.Milliseconds(p.loop.settings.PeerTimeout.Milliseconds()),
	}
}
