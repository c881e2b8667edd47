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
	"saddlevane/services/logfeed"
	"saddlevane/services/relay"

	"github.com/sourcegraph/jsonrpc2"
)

// The methods that entry boxes call on each other.
const (
	methodRequest = "jobs.request"
	methodAdvise  = "jobs.advise"
	methodCarry   = "jobs.carry"
	methodCarried = "jobs.carried"
	methodFollow  = "jobs.follow"
)

// Peers is the adapter for other entry boxes: it serves their calls and calls them.
type Peers struct {
	loop  *Loop
	links *peering.Links
	// relayServer relays the orders of other holders to workers.
	relayServer *relay.Server
	ctx         context.Context
	cancel      context.CancelFunc

	mu sync.Mutex
	// unresponsiveUntil holds, by address, until when a box that did not answer is not called.
	unresponsiveUntil map[string]time.Time
	// notHolder holds, by address, whether the box answered its last request with
	// HeldElsewhere.
	notHolder map[string]bool
}

// NewPeers returns the adapter. It accepts connections on listener once Serve is called.
func NewPeers(listener net.Listener, loop *Loop) *Peers {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Peers{loop: loop, ctx: ctx, cancel: cancel, unresponsiveUntil: map[string]time.Time{}, notHolder: map[string]bool{}}
	p.relayServer = relay.NewServer(loop.now, loop.platform.Workers, loop.batchSender(methodCarried))
	p.links = peering.New(ctx, listener, peering.Settings{
		DialTimeout: loop.settings.PeerTimeout, ProbeAfter: loop.settings.ProbeAfter, AnswerTimeout: loop.settings.AnswerTimeout, Now: loop.now,
		OnUnanswered: loop.CallUnanswered, OnDiscard: loop.linkDiscarded, OnAcceptError: loop.linkNotAccepted,
		OnClose: loop.relayClient.HandleLinkClosed,
		OnOpen:  func(delta int) { loop.ConnectionsChanged(peering.PeerName, delta) },
		OnBytes: loop.ByteCounter(peering.PeerName),
	}, p.handle)
	return p
}

// Serve accepts connections of other boxes until Close.
func (p *Peers) Serve() { p.links.Serve() }

// Close closes all connections and waits for the calls and orders in progress.
func (p *Peers) Close() {
	p.cancel()
	p.links.Close()
	p.relayServer.Close()
}

// handle serves one call of another box.
func (p *Peers) handle(ctx context.Context, _ *peering.Conn, req *jsonrpc2.Request) (any, error) {
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
		// Through json.Unmarshal, the batch would be read twice more.
		if err := b.UnmarshalJSON(*req.Params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return nil, p.handleBatch(req.Method, b)
	case methodFollow:
		var r logfeed.Request
		if err := decodeParams(req, &r); err != nil {
			return nil, err
		}
		return p.serveFollower(ctx, r)
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
}

// decodeParams decodes the parameters of a call into v.
func decodeParams(req *jsonrpc2.Request, v any) error {
	if err := json.Unmarshal(*req.Params, v); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// forwardToHolder forwards a caller's request to the holder. If the holder does not answer, it is
// marked as unresponsive.
func (p *Peers) forwardToHolder(ctx context.Context, address string, r Request) exchange.Answer {
	if p.isUnresponsive(address) {
		return p.unreachableAnswer("the holder does not answer")
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, p.loop.settings.PeerTimeout)
	defer cancel()
	a, retried, err := p.forward(timeoutCtx, address, r, false)
	noAnswer, _ := errors.AsType[*peering.NoAnswerError](err)
	switch {
	case err == nil:
		p.recordAnswer(address, a.Outcome == exchange.HeldElsewhere)
	case noAnswer != nil && noAnswer.BoxUnresponsive && ctx.Err() == nil:
		// If the caller's own context has ended, the missing answer does not show that the box is
		// unresponsive.
		p.markUnresponsive(address)
	}
	return answerAfterRetry(a, retried)
}

// forward sends a request to another box. If urgent, the link is probed at once. Requests are
// idempotent, so the call may be retried; retried is true if it was, so that an earlier attempt
// may have taken effect too. A non-nil err means that the box has not answered; the outcome of
// the answer then states whether the request may have reached it.
func (p *Peers) forward(ctx context.Context, address string, r Request, urgent bool) (a exchange.Answer, retried bool, err error) {
	retried, err = p.links.Call(ctx, address, peering.Call{
		Method: methodRequest, Params: r, Result: &a, Idempotent: true, Urgent: urgent,
	})
	noAnswer, _ := errors.AsType[*peering.NoAnswerError](err)
	switch {
	case noAnswer != nil && !noAnswer.Sent:
		a = p.unreachableAnswer(err.Error())
	case err != nil:
		a = exchange.Answer{Outcome: exchange.MaybeDone, Reason: err.Error()}
	}
	return a, retried, err
}

// answerAfterRetry corrects the answer to a call that was retried: if the answer says that nothing
// was done, an earlier attempt may still have taken effect, and the outcome becomes MaybeDone.
func answerAfterRetry(a exchange.Answer, retried bool) exchange.Answer {
	if !retried || !a.Outcome.HasNoEffect() {
		return a
	}
	return exchange.Answer{Outcome: exchange.MaybeDone, Reason: "an earlier attempt had no answer, a later one was refused: " + a.Reason}
}

// unreachableAnswer returns the answer to a request that did not reach the holder and thus had no
// effect.
func (p *Peers) unreachableAnswer(reason string) exchange.Answer {
	return exchange.Answer{
		Outcome: exchange.Unavailable, Reason: reason,
		RetryAfter: job.Milliseconds(p.loop.settings.PeerTimeout.Milliseconds()),
	}
}
