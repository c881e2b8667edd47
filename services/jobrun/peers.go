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

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/modules/frame"
	"saddlevane/services/dispatch"
)

// jobsStream is the stream that a new holder reads whole.
const jobsStream = stream.Jobs

// loadWithin bounds the reading of all jobs.
const loadWithin = 5 * time.Second

// The methods that entry boxes call on each other.
const (
	methodRequest = "jobs.request"
	methodAdvise  = "jobs.advise"
)

// adviseParams asks a box to call the advice service.
type adviseParams struct {
	Step    job.StepID `json:"step"`
	Workers []string   `json:"workers"`
}

// Peers serves other entry boxes and calls them.
type Peers struct {
	loop     *Loop
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    conc.WaitGroup

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
	// silentUntil is until when a box that did not answer is not asked.
	silentUntil map[string]time.Time
}

// NewPeers returns the adapter; Serve starts it.
func NewPeers(listener net.Listener, loop *Loop) *Peers {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Peers{loop: loop, listener: listener, ctx: ctx, cancel: cancel, conns: map[string]*jsonrpc2.Conn{}, silentUntil: map[string]time.Time{}}
	return p
}

// Serve accepts peers until Close.
func (p *Peers) Serve() { p.tasks.Go(p.accept) }

// Close ends all connections and waits for what is under way.
func (p *Peers) Close() {
	p.cancel()
	_ = p.listener.Close()
	p.mu.Lock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.tasks.Wait()
}

func (p *Peers) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		rpc := p.connect(conn)
		p.tasks.Go(func() {
			select {
			case <-rpc.DisconnectNotify():
			case <-p.ctx.Done():
				_ = rpc.Close()
			}
		})
	}
}

func (p *Peers) connect(conn net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(conn, frame.Codec{})
	return jsonrpc2.NewConn(p.ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(p.handle)))
}

// handle serves one call of a peer.
func (p *Peers) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	switch req.Method {
	case methodRequest:
		var r Request
		if err := json.Unmarshal(*req.Params, &r); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		ctx, cancel := context.WithTimeout(ctx, p.loop.settings.PeerTimeout)
		defer cancel()
		return p.loop.ask(ctx, r.event), nil
	case methodAdvise:
		var a adviseParams
		if err := json.Unmarshal(*req.Params, &a); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return p.adviseFor(ctx, a)
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
}

// conn returns a connection to a peer, a new one if there is none.
func (p *Peers) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	c := p.conns[address]
	p.mu.Unlock()
	if c != nil && !disconnected(c) {
		return c, nil
	}
	dialer := net.Dialer{Timeout: p.loop.settings.PeerTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("entry box %s: %w", address, err)
	}
	c = p.connect(raw)
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.conns[address]; other != nil && !disconnected(other) {
		_ = c.Close()
		return other, nil
	}
	p.conns[address] = c
	return c, nil
}

func disconnected(c *jsonrpc2.Conn) bool {
	select {
	case <-c.DisconnectNotify():
		return true
	default:
		return false
	}
}

// silentFor is how long a box that did not answer is not asked again, so that
// callers are refused at once.
const silentFor = 300 * time.Millisecond

func (p *Peers) silent(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loop.now().Before(p.silentUntil[address])
}

func (p *Peers) setSilent(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentUntil[address] = p.loop.now().Add(silentFor)
}

// reaches says whether the last call to a box was answered.
func (p *Peers) reaches(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silentUntil[address].IsZero()
}

func (p *Peers) answered(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.silentUntil, address)
}

// request passes a caller's wish on to the holder.
func (p *Peers) request(ctx context.Context, address string, r Request) dispatch.Answer {
	if p.silent(address) {
		return dispatch.Answer{
			Outcome: dispatch.Unavailable, Reason: "the holder does not answer",
			RetryAfter: job.Milliseconds(p.loop.settings.PeerTimeout.Milliseconds()),
		}
	}
	ctx, cancel := context.WithTimeout(ctx, p.loop.settings.PeerTimeout)
	defer cancel()
	c, err := p.conn(ctx, address)
	if err != nil {
		p.setSilent(address)
		return dispatch.Answer{
			Outcome: dispatch.Unavailable, Reason: err.Error(),
			RetryAfter: job.Milliseconds(p.loop.settings.PeerTimeout.Milliseconds()),
		}
	}
	var a dispatch.Answer
	if err := c.Call(ctx, methodRequest, r, &a); err != nil {
		_ = c.Close()
		p.setSilent(address)
		return dispatch.Answer{Outcome: dispatch.Unsure, Reason: err.Error()}
	}
	p.answered(address)
	return a
}

// advised is the answer to a call for advice through another box.
type advised struct {
	Good []order.Ticket `json:"good,omitempty"`
	Busy bool           `json:"busy,omitempty"`
}

// adviseFor calls the advice service for another box.
func (p *Peers) adviseFor(ctx context.Context, a adviseParams) (*advised, error) {
	good, err := p.loop.platform.Advise(ctx, a.Step, a.Workers)
	if errors.Is(err, ErrAdviceBusy) {
		return &advised{Busy: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &advised{Good: good}, nil
}

// advise has another entry box call the advice service.
func (p *Peers) advise(ctx context.Context, address string, step job.StepID, workers []string) ([]order.Ticket, error) {
	c, err := p.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	var a advised
	if err := c.Call(ctx, methodAdvise, adviseParams{Step: step, Workers: workers}, &a); err != nil {
		return nil, fmt.Errorf("entry box %s: %w", address, err)
	}
	if a.Busy {
		return nil, fmt.Errorf("entry box %s: %w", address, ErrAdviceBusy)
	}
	return a.Good, nil
}

// askPledges asks all other boxes at once.
func (p *Peers) askPledges(e dispatch.AskPledges) {
	sentAt := p.loop.now()
	answers := make([]dispatch.Answer, len(e.Addresses))
	var tasks conc.WaitGroup
	for i, address := range e.Addresses {
		tasks.Go(func() { answers[i] = p.quick(address, Request{Pledge: e.Epoch}) })
	}
	tasks.Wait()
	pledged := dispatch.Pledged{Epoch: e.Epoch, SentAt: sentAt, All: true}
	for i, a := range answers {
		pledged.All = pledged.All && a.Outcome == dispatch.OK
		if a.Steady {
			pledged.Steady = append(pledged.Steady, e.Addresses[i])
		}
	}
	p.loop.post(pledged)
}

// invite asks one box to take the cell over.
func (p *Peers) invite(e dispatch.Invite) {
	a := p.quick(e.Address, Request{Invite: e.Epoch})
	refused := a.Outcome == dispatch.Unavailable
	p.loop.post(dispatch.Invited{Epoch: e.Epoch, Refused: refused, Reason: a.Reason})
}

// quickWithin bounds the calls with which a holder asks about the log: it must
// hear in time to go on.
const quickWithin = 400 * time.Millisecond

func (p *Peers) quick(address string, r Request) dispatch.Answer {
	ctx, cancel := context.WithTimeout(p.ctx, quickWithin)
	defer cancel()
	c, err := p.conn(ctx, address)
	if err != nil {
		// Nobody was reached, so nothing was asked.
		return dispatch.Answer{Outcome: dispatch.Unavailable, Reason: err.Error()}
	}
	var a dispatch.Answer
	if err := c.Call(ctx, methodRequest, r, &a); err != nil {
		return dispatch.Answer{Outcome: dispatch.Unsure, Reason: err.Error()}
	}
	return a
}
