// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package runtime

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/request"
	"saddlevane/models/verdict"
	"saddlevane/modules/conntrack"
	"saddlevane/modules/httpclient"
	"saddlevane/modules/httpjson"
)

// errUnterminatedAnswer means that a response may be truncated: its end is not marked.
var errUnterminatedAnswer = errors.New("response has neither a content length nor a transfer encoding: it may be truncated")

// targetRefusedError means that a target has reported that it did not run a request.
type targetRefusedError struct{ leaving bool }

func (e *targetRefusedError) Error() string {
	if e.leaving {
		return "the target is leaving"
	}
	return "the target refused the request"
}

// unresponsiveConnError means that a request got no response on a reused connection. The connection
// may be dead while the target is healthy.
type unresponsiveConnError struct{ err error }

// Error returns the message of the wrapped error.
func (e *unresponsiveConnError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *unresponsiveConnError) Unwrap() error { return e.err }

// refusalCause reports whether err is a target's refusal because the target is leaving or busy.
func refusalCause(err error) (leaving, busy bool) {
	if refusal, ok := errors.AsType[*targetRefusedError](err); ok {
		return refusal.leaving, !refusal.leaving
	}
	return false, false
}

// targetClient sends requests to targets over HTTP. It has one transport with its connection pools
// for each limit on the number of connections to a target.
type targetClient struct {
	maxAnswerBytes int64
	settings       httpclient.Settings
	mu             sync.Mutex
	pools          map[int]*httpclient.Transport
}

// newTargetClient returns a client of targets. When a request gets no response, the client discards
// only idle connections besides the request's own. Requests in flight on the others may have run, so
// they must not be retried, and each may still be answered until its own timeout.
func newTargetClient(maxAnswer int64, c Connections, loop *Loop) *targetClient {
	return &targetClient{maxAnswerBytes: maxAnswer, pools: map[int]*httpclient.Transport{}, settings: httpclient.Settings{
		To: "target", DialTimeout: targetDialTimeout, IdleTimeout: c.IdleTimeout, Discard: conntrack.SilentAndIdle, Now: loop.now, Hooks: loop.connectionHooks(),
	}}
}

// targetDialTimeout bounds the opening of a connection to a target. It allows two retransmissions
// of a lost packet, which follow after 1 s and 3 s.
const targetDialTimeout = 5 * time.Second

// transport returns the transport for targets with a limit on their connections, and creates it on
// first use.
func (t *targetClient) transport(connections int) *httpclient.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pools[connections] == nil {
		s := t.settings
		s.MaxIdlePerHost, s.MaxPerHost = connections, connections
		t.pools[connections] = httpclient.NewTransport(s)
	}
	return t.pools[connections]
}

// close closes the idle connections of all transports.
func (t *targetClient) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		p.CloseIdleConnections()
	}
}

// exchange sends a request to a target and reads the complete response. The error carries a verdict
// on whether the request may have run: it is verdict.NotRun only if no connection was obtained or
// the target reports that it did not run the request.
func (t *targetClient) exchange(ctx context.Context, e effect.SendRequest, in *Incoming) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	connected, reused := false, false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		connected, reused = true, i.Reused
	}})
	req, err := newTargetRequest(ctx, e, in)
	if err != nil {
		return Result{}, verdict.Wrap(verdict.NotRun, err)
	}
	resp, err := t.transport(e.Connections).RoundTrip(req)
	if err != nil {
		if reused && (errors.Is(err, context.DeadlineExceeded) || errors.Is(err, conntrack.ErrDiscarded)) {
			err = &unresponsiveConnError{err}
		}
		if connected {
			return Result{}, verdict.Wrap(verdict.MayHaveRun, fmt.Errorf("target %s: %w", e.Target, err))
		}
		return Result{}, verdict.Wrap(verdict.NotRun, fmt.Errorf("target %s: %w", e.Target, err))
	}
	defer resp.Body.Close()
	return t.readAnswer(e, resp)
}

// readAnswer translates a target's response.
func (t *targetClient) readAnswer(e effect.SendRequest, resp *http.Response) (Result, error) {
	if resp.Header.Get(request.HeaderVerdict) == string(verdict.NotRun) {
		return Result{}, verdict.Wrap(verdict.NotRun, &targetRefusedError{leaving: resp.Header.Get(request.HeaderLeaving) != ""})
	}
	body, err := httpjson.ReadAll(resp.Body, t.maxAnswerBytes)
	if err == nil && !isDelimited(resp) {
		err = errUnterminatedAnswer
	}
	if err != nil {
		return Result{}, verdict.Wrap(verdict.MayHaveRun, fmt.Errorf("target %s: answer: %w", e.Target, err))
	}
	return Result{
		Status: resp.StatusCode, Verdict: verdict.Ran, Header: resp.Header, Body: body, Target: e.Target,
	}, nil
}

// isDelimited reports whether the end of the response is marked, so that a broken connection is
// detected.
func isDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// newTargetRequest returns the HTTP request for one attempt of a caller's request.
func newTargetRequest(ctx context.Context, e effect.SendRequest, in *Incoming) (*http.Request, error) {
	url := "http://" + e.Address + "/" + in.Class + in.Path
	req, err := http.NewRequestWithContext(ctx, in.Method, url, nil)
	if err != nil {
		return nil, err
	}
	setBody(req, in.Body)
	for name, values := range in.Header {
		req.Header[name] = values
	}
	for _, name := range droppedHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(request.HeaderID, strconv.FormatUint(uint64(e.ID), 10)+"."+strconv.Itoa(e.Attempt))
	if !in.Key.IsZero() {
		req.Header.Set(request.HeaderKey, in.Key.String())
	}
	return req, nil
}

// setBody sets the body of a request such that the transport retries it on its own only if it has
// certainly written nothing the first time. If a connection breaks, the transport would always
// retry a request without a body, and a GET, HEAD, OPTIONS or TRACE request with GetBody, so the
// body is always set and these methods get no GetBody.
func setBody(req *http.Request, body []byte) {
	open := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	req.Body, _ = open()
	req.ContentLength = int64(len(body))
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
	default:
		req.GetBody = open
	}
}

// droppedHeaders are the headers that are not passed on: those that concern a single connection, and
// those that allow the transport to send a request twice.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
	"Idempotency-Key", "X-Idempotency-Key",
}
