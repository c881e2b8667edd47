// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"saddlevane/models/job"
	"saddlevane/modules/peering"
	"saddlevane/services/dispatch"

	"github.com/sourcegraph/jsonrpc2"
)

// The methods that entry boxes call on each other.
const (
	methodRequest = "jobs.request"
	methodAdvise  = "jobs.advise"
)

// Peers serves other entry boxes and calls them.
type Peers struct {
	loop   *Loop
	links  *peering.Links
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
	p.links = peering.New(ctx, listener, peering.Settings{
		Dial: loop.settings.PeerTimeout, Probe: loop.settings.Probe, Answer: loop.settings.Answer, Now: loop.now,
		Unanswered: loop.Unanswered,
	}, p.handle)
	return p
}

// Serve accepts peers until Close.
func (p *Peers) Serve() { p.links.Serve() }

// Close ends all connections and waits for what is under way.
func (p *Peers) Close() {
	p.cancel()
	p.links.Close()
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

// conn returns a connection to a peer. An error means that nobody was reached.
func (p *Peers) conn(ctx context.Context, address string) (*peering.Link, error) {
	c, err := p.links.Conn(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("entry box %s: %w", address, err)
	}
	return c, nil
}

// request passes a caller's wish on to the holder.
func (p *Peers) request(ctx context.Context, address string, r Request) dispatch.Answer {
	if p.silent(address) {
		return p.unreached("the holder does not answer")
	}
	began := p.loop.now()
	ctx, cancel := context.WithTimeout(ctx, p.loop.settings.PeerTimeout)
	defer cancel()
	a, err := p.requestOnce(ctx, address, r)
	for tries := 1; err != nil && a.Outcome == dispatch.Unsure && tries < requestTries && ctx.Err() == nil; tries++ {
		// The connection was lost, not the holder, and the same wish again changes
		// nothing more.
		var again dispatch.Answer
		again, err = p.requestOnce(ctx, address, r)
		if err == nil {
			p.answered(address, again.Outcome == dispatch.Elsewhere)
		}
		if refused(again) {
			// Nothing was done this time; an earlier call may still have been served.
			return a
		}
		a = again
	}
	switch {
	case err == nil:
		p.answered(address, a.Outcome == dispatch.Elsewhere)
	case !p.impatient(err, began):
		p.setSilent(address)
	}
	return a
}

// refused says whether an answer says that nothing was done.
func refused(a dispatch.Answer) bool {
	return a.Outcome == dispatch.Unavailable || a.Outcome == dispatch.Elsewhere
}

// impatient says whether a call that began at some time has failed because its caller
// waits no longer, which says nothing of the box that was called.
func (p *Peers) impatient(err error, began time.Time) bool {
	ended := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	return ended && p.loop.now().Sub(began) < p.loop.settings.PeerTimeout
}

// requestTries is how often a wish is passed on whose connection is lost: another
// connection is had in a few milliseconds.
const requestTries = 4

// requestOnce makes one call. An error means that there was no answer; the outcome
// then says whether the holder may have been asked.
func (p *Peers) requestOnce(ctx context.Context, address string, r Request) (dispatch.Answer, error) {
	c, err := p.conn(ctx, address)
	if err != nil {
		return p.unreached(err.Error()), err
	}
	var a dispatch.Answer
	began := p.loop.now()
	if err := c.Call(ctx, methodRequest, r, &a); err != nil {
		if !p.impatient(err, began) {
			// Other callers' calls are under way on a connection that works.
			c.Close()
		}
		return dispatch.Answer{Outcome: dispatch.Unsure, Reason: err.Error()}, err
	}
	return a, nil
}

// unreached is the answer where the holder was not asked, so nothing was done.
func (p *Peers) unreached(reason string) dispatch.Answer {
	return dispatch.Answer{
		Outcome: dispatch.Unavailable, Reason: reason,
		RetryAfter: job.Milliseconds(p.loop.settings.PeerTimeout.Milliseconds()),
	}
}
