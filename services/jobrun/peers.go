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
	relayServer *relay.Server
	ctx         context.Context
	cancel      context.CancelFunc

	mu sync.Mutex
	// unresponsiveUntil is until when a box that did not answer is not asked.
	unresponsiveUntil map[string]time.Time
	// elsewhere says of boxes that they last answered that they do not hold the cell.
	notHolder map[string]bool
}

// NewPeers returns the adapter; Serve starts it.
func NewPeers(listener net.Listener, loop *Loop) *Peers {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Peers{loop: loop, ctx: ctx, cancel: cancel, unresponsiveUntil: map[string]time.Time{}, notHolder: map[string]bool{}}
	p.relayServer = relay.NewServer(loop.now, loop.platform.Workers, loop.batchSender(methodCarried))
	p.links = peering.New(ctx, listener, peering.Settings{
		Dial: loop.settings.PeerTimeout, Probe: loop.settings.Probe, Answer: loop.settings.Answer, Now: loop.now,
		Unanswered: loop.CallUnanswered, GivenUp: loop.linkGivenUp, NotAccepted: loop.linkNotAccepted,
		Open:  func(delta int) { loop.ConnectionsChanged(peering.To, delta) },
		Bytes: loop.ByteCounter(peering.To),
	}, p.handle)
	return p
}

// Serve accepts peers until Close.
func (p *Peers) Serve() { p.links.Serve() }

// Close ends all connections and waits for what is under way.
func (p *Peers) Close() {
	p.cancel()
	p.links.Close()
	p.relayServer.Close()
}

// handle serves one call of a peer.
func (p *Peers) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	switch req.Method {
	case methodRequest:
		var r Request
		if err := decodeParams(req, &r); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, p.loop.settings.PeerTimeout)
		defer cancel()
		return p.loop.postAndWait(ctx, r.event), nil
	case methodAdvise:
		var a adviseParams
		if err := decodeParams(req, &a); err != nil {
			return nil, err
		}
		return p.serveAdvice(ctx, a)
	case methodCarry, methodCarried:
		var b relay.Batch
		if err := decodeParams(req, &b); err != nil {
			return nil, err
		}
		return nil, p.handleBatch(req.Method, b)
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
}

// decodeParams reads a call's parameters.
func decodeParams(req *jsonrpc2.Request, v any) error {
	if err := json.Unmarshal(*req.Params, v); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// forwardToHolder passes a caller's wish on to the holder.
func (p *Peers) forwardToHolder(ctx context.Context, address string, r Request) exchange.Answer {
	if p.isUnresponsive(address) {
		return p.unreachableAnswer("the holder does not answer")
	}
	within, cancel := context.WithTimeout(ctx, p.loop.settings.PeerTimeout)
	defer cancel()
	a, repeated, err := p.forward(within, address, r, false)
	failed, _ := errors.AsType[*peering.NoAnswerError](err)
	switch {
	case err == nil:
		p.recordAnswer(address, a.Outcome == exchange.HeldElsewhere)
	case failed != nil && failed.OfBox && ctx.Err() == nil:
		// A caller who has left tells nothing of the box.
		p.markUnresponsive(address)
	}
	return answerAfterRetry(a, repeated)
}

// forward passes a wish on to another box; an urgent one has the link probed at once. The
// same wish again changes nothing more, so it may be made again; repeated says that an earlier try may have been served besides.
// An error means that the box has not answered it; the outcome then says whether it may
// have been asked.
func (p *Peers) forward(ctx context.Context, address string, r Request, urgent bool) (a exchange.Answer, repeated bool, err error) {
	repeated, err = p.links.Call(ctx, address, peering.Call{
		Method: methodRequest, Params: r, Result: &a, Idempotent: true, Urgent: urgent,
	})
	failed, _ := errors.AsType[*peering.NoAnswerError](err)
	switch {
	case failed != nil && !failed.Sent:
		a = p.unreachableAnswer(err.Error())
	case err != nil:
		a = exchange.Answer{Outcome: exchange.MaybeDone, Reason: err.Error()}
	}
	return a, repeated, err
}

// answerAfterRetry returns an answer as far as it is sure: if it says that nothing was done, an
// earlier try may still have been served.
func answerAfterRetry(a exchange.Answer, repeated bool) exchange.Answer {
	if !repeated || !a.Outcome.HasNoEffect() {
		return a
	}
	return exchange.Answer{Outcome: exchange.MaybeDone, Reason: "an earlier try had no answer, a later one was refused: " + a.Reason}
}

// unreachableAnswer is the answer where the holder was not asked, so nothing was done.
func (p *Peers) unreachableAnswer(reason string) exchange.Answer {
	return exchange.Answer{
		Outcome: exchange.Unavailable, Reason: reason,
		RetryAfter: job.Milliseconds(p.loop.settings.PeerTimeout.Milliseconds()),
	}
}
