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
	"saddlevane/modules/httpjson"
)

// errNotWhole says that an answer may lack its end.
var errNotWhole = errors.New("the answer's end cannot be told")

// saidError is a target's own word that it did not run a request.
type saidError struct{ leaving bool }

func (e *saidError) Error() string {
	if e.leaving {
		return "the target is leaving"
	}
	return "the target refused the request"
}

// targetWords returns what a target said of itself.
func targetWords(err error) (leaving, busy bool) {
	if said, ok := errors.AsType[*saidError](err); ok {
		return said.leaving, !said.leaving
	}
	return false, false
}

// targetClient exchanges requests with targets over HTTP. It keeps one pool of
// connections for each bound on connections to a target.
type targetClient struct {
	maxAnswer int64
	mu        sync.Mutex
	pools     map[int]*http.Transport
}

func newTargetClient(maxAnswer int64) *targetClient {
	return &targetClient{maxAnswer: maxAnswer, pools: map[int]*http.Transport{}}
}

// targetIdle is how long an unused connection to a target is kept. Targets must
// keep theirs longer.
const targetIdle = 10 * time.Second

func (t *targetClient) transport(connections int) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pools[connections] == nil {
		t.pools[connections] = &http.Transport{
			MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections,
			IdleConnTimeout: targetIdle, DisableCompression: true,
		}
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
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	req, err := targetRequest(ctx, e, in)
	if err != nil {
		return Result{}, verdict.Wrap(verdict.NotRun, err)
	}
	resp, err := t.transport(e.Connections).RoundTrip(req)
	if err != nil {
		if connected {
			return Result{}, verdict.Wrap(verdict.MayHaveRun, fmt.Errorf("target %s: %w", e.Target, err))
		}
		return Result{}, verdict.Wrap(verdict.NotRun, fmt.Errorf("target %s: %w", e.Target, err))
	}
	defer resp.Body.Close()
	return t.answer(e, resp)
}

func (t *targetClient) answer(e effect.SendRequest, resp *http.Response) (Result, error) {
	if resp.Header.Get(request.HeaderVerdict) == string(verdict.NotRun) {
		return Result{}, verdict.Wrap(verdict.NotRun, &saidError{leaving: resp.Header.Get(request.HeaderLeaving) != ""})
	}
	body, err := httpjson.ReadAll(resp.Body, t.maxAnswer)
	if err == nil && !delimited(resp) {
		err = errNotWhole
	}
	if err != nil {
		return Result{}, verdict.Wrap(verdict.MayHaveRun, fmt.Errorf("target %s: answer: %w", e.Target, err))
	}
	return Result{
		Status: resp.StatusCode, Verdict: verdict.Ran, Header: resp.Header, Body: body, Target: e.Target,
	}, nil
}

// delimited says whether the answer's end was marked, so that a connection that
// broke off would have been noticed.
func delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

func targetRequest(ctx context.Context, e effect.SendRequest, in *Incoming) (*http.Request, error) {
	url := "http://" + e.Address + "/" + in.Class + in.Path
	req, err := http.NewRequestWithContext(ctx, in.Method, url, nil)
	if err != nil {
		return nil, err
	}
	setBody(req, in.Body)
	for name, values := range in.Header {
		req.Header[name] = values
	}
	for _, name := range notPassedOn {
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

// notPassedOn are headers that concern one connection only, or that would let
// the transport send a request twice.
var notPassedOn = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
	"Idempotency-Key", "X-Idempotency-Key",
}
