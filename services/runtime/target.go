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

// errUnterminatedAnswer says that an answer may lack its end.
var errUnterminatedAnswer = errors.New("the answer's end cannot be told")

// targetRefusedError is a target's own word that it did not run a request.
type targetRefusedError struct{ leaving bool }

func (e *targetRefusedError) Error() string {
	if e.leaving {
		return "the target is leaving"
	}
	return "the target refused the request"
}

// unresponsiveConnError says that a request had no answer on a connection that had carried others:
// that may be silent, and the target well.
type unresponsiveConnError struct{ err error }

// Error returns what went wrong.
func (e *unresponsiveConnError) Error() string { return e.err.Error() }

// Unwrap returns what went wrong.
func (e *unresponsiveConnError) Unwrap() error { return e.err }

// refusalCause returns what a target said of itself.
func refusalCause(err error) (leaving, busy bool) {
	if said, ok := errors.AsType[*targetRefusedError](err); ok {
		return said.leaving, !said.leaving
	}
	return false, false
}

// targetClient exchanges requests with targets over HTTP. It keeps one pool of
// connections for each bound on connections to a target.
type targetClient struct {
	maxAnswerBytes int64
	settings       httpclient.Settings
	mu             sync.Mutex
	pools          map[int]*httpclient.Transport
}

// newTargetClient returns a client of targets. A request that has no answer gives up only
// connections that carry none: those under way may have run and are not sent again, so
// they keep their time.
func newTargetClient(maxAnswer int64, c Connections, loop *Loop) *targetClient {
	return &targetClient{maxAnswerBytes: maxAnswer, pools: map[int]*httpclient.Transport{}, settings: httpclient.Settings{
		To: "target", DialTimeout: targetDialTimeout, IdleTimeout: c.IdleTimeout, Discard: conntrack.SilentAndIdle, Now: loop.now, Hooks: loop.connectionHooks(),
	}}
}

// targetDialTimeout bounds the opening of a connection to a target: a packet that is lost is
// sent again after 1 s and 3 s.
const targetDialTimeout = 5 * time.Second

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

func (t *targetClient) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		p.CloseIdleConnections()
	}
}

// exchange sends a request to a target and reads the whole answer. The error
// says whether the request may have run: only if no connection was had, or by
// the target's own word, it surely was not.
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

// isDelimited says whether the answer's end was marked, so that a connection that
// broke off would have been noticed.
func isDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

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

// setBody sets the body so that the transport sends it again by itself only if
// it has surely written nothing the first time. It would repeat a request
// without a body, or a GET with GetBody, whenever a connection breaks.
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

// droppedHeaders are headers that concern one connection only, or that would let
// the transport send a request twice.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
	"Idempotency-Key", "X-Idempotency-Key",
}
