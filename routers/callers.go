// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package routers contains the HTTP handlers. Each parses and checks its request,
// calls one service function and writes the result; all decisions are made by the
// services.
package routers

import (
	"errors"
	"net/http"
	"time"

	"saddlevane/models/request"
	"saddlevane/models/verdict"
	"saddlevane/modules/httpjson"
	"saddlevane/services/core"
	"saddlevane/services/runtime"

	"github.com/julienschmidt/httprouter"
)

// Callers serves callers' requests and the load balancer's health checks.
type Callers struct {
	loop     *runtime.Loop
	requests *runtime.Requests
	maxBody  int64
}

// NewCallers returns the handler of the callers' port. maxBody is the maximum size
// of a request body, in bytes.
func NewCallers(loop *runtime.Loop, requests *runtime.Requests, maxBody int64) http.Handler {
	c := &Callers{loop: loop, requests: requests, maxBody: maxBody}
	r := httprouter.New()
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	} {
		r.Handle(method, "/v1/pools/:pool/:class", c.serve)
		r.Handle(method, "/v1/pools/:pool/:class/*path", c.serve)
	}
	r.POST("/v1/keys", c.issueKey)
	r.GET("/healthz", handleHealth)
	r.GET("/readyz", readinessHandler(loop))
	return r
}

// serve serves a caller's request to a pool. It writes no response if the caller has
// disconnected.
func (c *Callers) serve(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	in, refused := c.parseRequest(r, p)
	if refused != nil {
		c.writeResult(w, runtime.Result{Status: refused.Status, Verdict: refused.Verdict, Refusal: refused})
		return
	}
	result, ok := c.requests.Serve(r.Context(), in)
	if !ok {
		return
	}
	c.writeResult(w, result)
}

// parseRequest reads a caller's request, or returns a refusal if it is invalid.
func (c *Callers) parseRequest(r *http.Request, p httprouter.Params) (runtime.Incoming, *request.Refusal) {
	key, err := request.ParseKey(r.Header.Get(request.HeaderKey))
	if err != nil {
		return runtime.Incoming{}, notRunRefusal(http.StatusBadRequest, err.Error())
	}
	body, err := httpjson.ReadAll(r.Body, c.maxBody)
	if errors.Is(err, httpjson.ErrTooLarge) {
		return runtime.Incoming{}, notRunRefusal(http.StatusRequestEntityTooLarge, "the body is too large")
	}
	if err != nil {
		return runtime.Incoming{}, notRunRefusal(http.StatusBadRequest, "the body could not be read")
	}
	path := p.ByName("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return runtime.Incoming{
		Pool: p.ByName("pool"), Class: p.ByName("class"), Key: key,
		Method: r.Method, Path: path, Header: r.Header.Clone(), Body: body,
	}, nil
}

// notRunRefusal returns the answer to a request that was not run.
func notRunRefusal(status int, reason string) *request.Refusal {
	return &request.Refusal{Status: status, Verdict: verdict.NotRun, Reason: reason}
}

// writeResult writes the answer to a caller's request. While the box is stopping, it
// also closes the connection.
func (c *Callers) writeResult(w http.ResponseWriter, result runtime.Result) {
	for name, values := range runtime.ResultHeader(result) {
		w.Header()[name] = values
	}
	if c.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(result.Status)
	_, _ = w.Write(runtime.ResultBody(result))
}

// stopping reports whether the box is stopping, so that callers should send their
// next requests to another box.
func (c *Callers) stopping() bool { return c.loop.IsStopping() }

// issuedKey is the response body of a request for a key.
type issuedKey struct {
	Key string `json:"key"`
}

// issueKey responds with a new key for a request that may not be repeated.
func (c *Callers) issueKey(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	var key request.Key
	if !c.loop.Query(func(now time.Time, core *core.Core) { key = core.IssueKey(now) }) {
		httpjson.Error(w, http.StatusServiceUnavailable, "this entry box has stopped")
		return
	}
	httpjson.Write(w, http.StatusCreated, issuedKey{Key: key.String()})
}
