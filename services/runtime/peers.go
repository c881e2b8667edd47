// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package runtime

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/peer"
	"saddlevane/models/record"
	"saddlevane/models/request"
	"saddlevane/models/verdict"
	"saddlevane/modules/peering"
	"saddlevane/services/core"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"
)

// Timeouts of connections and calls to other entry boxes.
const (
	peerDialTimeout = time.Second
	helloTimeout    = time.Second
	fetchTimeout    = 5 * time.Second
)

// Peers is the adapter for other entry boxes (peers): it serves their calls and calls them.
type Peers struct {
	loop       *Loop
	requests   *Requests
	links      *peering.Links
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines conc.WaitGroup

	mu sync.Mutex
	// hellosInFlight holds the addresses of the peers with an unanswered heartbeat.
	hellosInFlight map[string]bool
}

// NewPeers returns the adapter and starts serving peers on listener.
func NewPeers(listener net.Listener, s Connections, loop *Loop, requests *Requests) *Peers {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Peers{loop: loop, requests: requests, ctx: ctx, cancel: cancel, hellosInFlight: map[string]bool{}}
	p.links = peering.New(ctx, listener, peering.Settings{
		DialTimeout: peerDialTimeout, ProbeAfter: s.ProbeAfter, AnswerTimeout: s.AnswerTimeout, Now: loop.now, OnUnanswered: loop.logUnanswered,
		OnDiscard: loop.logDiscardedLink, OnAcceptError: loop.logAcceptFailure,
	}, p.handle)
	p.links.Serve()
	return p
}

// Close closes all connections and waits for the calls in progress.
func (p *Peers) Close() {
	p.cancel()
	p.links.Close()
	p.goroutines.Wait()
}

// handle serves one call from a peer.
func (p *Peers) handle(ctx context.Context, _ *peering.Conn, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case peer.MethodHello:
		hello, err := decodeParams[peer.Hello](req)
		if err != nil {
			return nil, err
		}
		p.loop.Post(event.HelloReceived{Hello: hello})
		return struct{}{}, nil
	case peer.MethodSnapshot:
		var s record.Snapshot
		p.loop.Query(func(_ time.Time, c *core.Core) { s = c.Snapshot() })
		return s, nil
	case peer.MethodForward:
		forward, err := decodeParams[peer.Forward](req)
		if err != nil {
			return nil, err
		}
		return p.serveForwarded(ctx, forward)
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
}

// decodeParams decodes the parameters of a call.
func decodeParams[T any](req *jsonrpc2.Request) (T, error) {
	var v T
	if req.Params == nil {
		return v, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*req.Params, &v); err != nil {
		return v, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return v, nil
}

// serveForwarded serves a caller's request that a peer has forwarded.
func (p *Peers) serveForwarded(ctx context.Context, f peer.Forward) (*peer.Answer, error) {
	key, err := request.ParseKey(f.Key)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	result, ok := p.requests.Serve(ctx, Incoming{
		Pool: f.Pool, Class: f.Class, Key: key, Method: f.Method, Path: f.Path, Header: f.Header, Body: f.Body,
		Forwarded: true, Delegated: f.Delegated, Budget: time.Duration(f.Budget) * time.Millisecond,
	})
	if !ok {
		return nil, context.Canceled
	}
	return &peer.Answer{
		Status: result.Status, Verdict: result.Verdict, Header: ResultHeader(result), Body: ResultBody(result),
	}, nil
}

// call calls a peer. If the call was certainly not sent, the error carries verdict.NotRun.
func (p *Peers) call(ctx context.Context, address string, c peering.Call) error {
	_, err := p.links.Call(ctx, address, c)
	if noAnswer, ok := errors.AsType[*peering.NoAnswerError](err); ok && !noAnswer.Sent {
		return verdict.Wrap(verdict.NotRun, err)
	}
	return err
}

// sendHello sends a heartbeat to a peer in the background, unless the previous one is still
// unanswered.
func (p *Peers) sendHello(e effect.SendHello) {
	p.mu.Lock()
	busy := p.hellosInFlight[e.Address]
	p.hellosInFlight[e.Address] = true
	p.mu.Unlock()
	if busy {
		return
	}
	p.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, helloTimeout)
		defer cancel()
		var none struct{}
		hello := peering.Call{Method: peer.MethodHello, Params: e.Hello, Result: &none, Idempotent: true}
		if err := p.call(ctx, e.Address, hello); err != nil {
			p.loop.log.WithError(err).Debug("heartbeat to an entry box failed")
		}
		p.mu.Lock()
		delete(p.hellosInFlight, e.Address)
		p.mu.Unlock()
	})
}

// fetchSnapshot fetches a peer's snapshot in the background and posts a SnapshotRead event. Failures
// are only logged.
func (p *Peers) fetchSnapshot(e effect.FetchSnapshot) {
	p.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, fetchTimeout)
		defer cancel()
		var s record.Snapshot
		fetch := peering.Call{Method: peer.MethodSnapshot, Params: struct{}{}, Result: &s, Idempotent: true}
		if err := p.call(ctx, e.Address, fetch); err != nil {
			p.loop.log.WithError(err).Debug("fetching a snapshot from an entry box failed")
			return
		}
		p.loop.Post(event.SnapshotRead{From: e.Box, Snapshot: s})
	})
}

// forward forwards a caller's request to a peer in the background and posts a ForwardEnded event.
func (p *Peers) forward(e effect.Forward) {
	k := p.requests.get(e.ID)
	if k == nil {
		return
	}
	p.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, e.Timeout)
		defer cancel()
		in := &k.incoming
		var answer peer.Answer
		// The call is not marked as idempotent: a request that may have run must not be retried.
		err := p.call(ctx, e.Address, peering.Call{Method: peer.MethodForward, Result: &answer, Params: peer.Forward{
			Pool: in.Pool, Class: in.Class, Key: in.Key.String(), Method: in.Method, Path: in.Path,
			Header: in.Header, Body: in.Body, Budget: e.Timeout.Milliseconds(), Delegated: e.Delegated,
		}})
		ended := event.ForwardEnded{ID: e.ID, Verdict: answer.Verdict}
		if err != nil {
			ended.Failure, ended.Verdict = err.Error(), verdict.Of(err)
		} else {
			p.requests.recordAnswer(e.ID, 0, forwardedResult(answer))
		}
		p.loop.Post(ended)
	})
}

// forwardedResult translates a peer's answer to a forwarded request.
func forwardedResult(a peer.Answer) Result {
	header := a.Header
	if header == nil {
		header = http.Header{}
	}
	return Result{Status: a.Status, Verdict: a.Verdict, Header: header, Body: a.Body, Target: header.Get(request.HeaderTarget)}
}
