// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httpclient makes the clients with which a process calls services over
// HTTP. Open connections can go silent for good without a reset while new ones work,
// so a client keeps two rules:
//
//   - Once a call on a connection that was used before has had no answer in its time,
//     all other connections to that address over which nothing has come since are given
//     up too, so that one call pays and not one for each connection.
//   - A call that may be made again (see Repeatable) is made again on a connection opened
//     for it when its answer is overdue; the first answer counts. The connections are
//     given up only if that comes on the new one: if it comes on neither, the service is
//     slow or away, and calls under way on the others may be about to be answered.
//
// A call whose late answer still counts (see Overdue) is not given up when it is overdue,
// but the connections beside it that carry none are.
package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"saddlevane/modules/conntrack"
)

// Settings are the bounds of a client.
type Settings struct {
	// To names what is called, for lines and metrics.
	To string
	// Dial bounds the opening of a connection.
	DialTimeout time.Duration
	// Unused is how long a connection is kept that carries no call.
	IdleTimeout time.Duration
	// Answer is how long the answer to a call that may be made again may at least be
	// overdue before it is made again.
	MinOverdue time.Duration
	// MaxIdlePerHost is how many unused connections to one address are kept, Most how many
	// connections there are to it at a time, or 0 for any number.
	MaxIdlePerHost, MaxPerHost int
	// Discard says which connections are given up beside one that gave no answer. Empty
	// means all.
	Discard conntrack.DiscardScope
	// Now tells the time.
	Now   func() time.Time
	Hooks Hooks
}

// Hooks are told what happens to connections and calls. Each may be nil.
type Hooks struct {
	// Unanswered is told of each call that ran out of its time without an answer.
	OnUnanswered func(conntrack.Unanswered)
	// GivenUp is told of connections that were given up.
	OnDiscard func(conntrack.Discarded)
	// Again is told of each call that was made again, once it is over.
	OnRetry func(RetriedCall)
	// Open is told of each connection that is opened (1) or closed (-1).
	OnOpen func(delta int)
	// Bytes is told of the bytes that were read and written.
	OnBytes func(in, out int)
}

// New returns a client with connections of its own.
func New(s Settings) *http.Client { return &http.Client{Transport: NewTransport(s)} }

// NewTransport returns what carries out the calls of a client.
func NewTransport(s Settings) *Transport {
	t := &Transport{settings: s, table: conntrack.NewTable(s.Now), lateness: newLatenessTracker(s.MinOverdue)}
	if s.Hooks.OnOpen != nil {
		t.table.OnChange(s.Hooks.OnOpen)
	}
	if s.Hooks.OnBytes != nil {
		t.table.OnBytes(s.Hooks.OnBytes)
	}
	t.pooled = &http.Transport{
		DialContext: t.dial, DisableCompression: true,
		MaxIdleConnsPerHost: s.MaxIdlePerHost, MaxConnsPerHost: s.MaxPerHost, IdleConnTimeout: s.IdleTimeout,
	}
	// It keeps no connection, so each call on it is on one opened for it.
	t.fresh = &http.Transport{DialContext: t.dial, DisableCompression: true, MaxIdleConnsPerHost: -1}
	return t
}

// Transport carries out calls.
type Transport struct {
	settings Settings
	table    *conntrack.Table
	lateness *latenessTracker
	// kept has the connections that are used again.
	pooled *http.Transport
	fresh  *http.Transport
}

// dial opens a connection.
func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: t.settings.DialTimeout}
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return t.table.Add(address, raw), nil
}

// CloseIdleConnections closes the connections that carry no call.
func (t *Transport) CloseIdleConnections() { t.pooled.CloseIdleConnections() }

// RoundTrip makes one call, or one and a second time if that may be.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if r, ok := retryOf(req); ok {
		return t.doRetryable(req, r)
	}
	return t.doOnce(req)
}

// doOnce makes a call that may not be made again.
func (t *Transport) doOnce(req *http.Request) (*http.Response, error) {
	a := t.newAttempt(req)
	defer t.watchOverdue(a)()
	resp, err := t.pooled.RoundTrip(a.req)
	if err != nil {
		t.handleFailure(a, err)
		return nil, err
	}
	resp.Body = &watchedBody{ReadCloser: resp.Body, onError: func(err error) { t.handleFailure(a, err) }}
	return resp, nil
}

// handleFailure takes the failure of a call that may not be made again. One that ran out of its
// time on a connection used before is the sign that those to its address may be silent.
func (t *Transport) handleFailure(a *attempt, err error) {
	if _, told := OverdueAfter(a.req.Context()); !told {
		t.reportUnanswered(a, err)
	}
	if conn, sentAt, reused := a.connection(); reused && errors.Is(err, context.DeadlineExceeded) {
		t.discard(conn, sentAt)
	}
}

// watchOverdue has the other connections of a call given up that carry none, if its
// answer is overdue and they are as silent. The call itself goes on. It returns what ends
// the watch.
func (t *Transport) watchOverdue(a *attempt) (end func()) {
	after, ok := OverdueAfter(a.req.Context())
	if !ok {
		return func() {}
	}
	timer := time.AfterFunc(after, func() {
		t.reportUnanswered(a, context.DeadlineExceeded)
		if conn, sentAt, reused := a.connection(); reused {
			t.reportDiscarded(conn.DiscardOthers(t.settings.Now(), sentAt, conntrack.SilentAndIdle))
		}
	})
	return func() { timer.Stop() }
}

// watchedBody is the body of an answer. It tells of an error while it is read: the call
// lasts until its answer is whole.
type watchedBody struct {
	io.ReadCloser
	onError func(error)
}

// Read reads.
func (w *watchedBody) Read(b []byte) (int, error) {
	n, err := w.ReadCloser.Read(b)
	if err != nil && err != io.EOF {
		w.onError(err)
	}
	return n, err
}

// reportUnanswered tells of a try that failed because its time ran out.
func (t *Transport) reportUnanswered(a *attempt, err error) {
	report := t.settings.Hooks.OnUnanswered
	conn, sentAt, reused := a.connection()
	if report == nil || conn == nil || !errors.Is(err, context.DeadlineExceeded) {
		return
	}
	u := conn.Unanswered(t.settings.Now(), sentAt)
	u.To, u.Call, u.Reused = t.settings.To, a.req.URL.Path, reused
	report(u)
}

// discard gives up a connection on which a call had no answer, and others to its address
// that may be as silent.
func (t *Transport) discard(conn *conntrack.Conn, sentAt time.Time) {
	t.reportDiscarded(conn.Discard(t.settings.Now(), sentAt, t.settings.Discard))
}

// reportDiscarded tells of connections that were given up.
func (t *Transport) reportDiscarded(g conntrack.Discarded) {
	g.To = t.settings.To
	if report := t.settings.Hooks.OnDiscard; report != nil && g.Count > 0 {
		report(g)
	}
}
