// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httpclient provides the HTTP clients by which a process calls services. An open
// connection can go silent for good without a reset while new connections work, so a client
// follows two rules:
//
//   - When a call on a reused connection times out, all other connections to that address on
//     which nothing was received since are discarded as well, so that a fault costs one call and
//     not one call per connection.
//   - A call that may be retried (see WithRetry) is retried on a new connection when its answer
//     is overdue, and the first answer counts. Connections are discarded only if the answer arrives
//     on the new one: if neither is answered, the service is slow or unresponsive, and calls in
//     progress on other connections may still be answered.
//     If such a call times out without a retry, the silent connections without a call are discarded.
//
// A call whose late answer still counts (see WithOverdueAfter) continues when it is overdue,
// but the idle connections to the same address that are silent too are discarded.
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

// Settings holds the settings of a client.
type Settings struct {
	// To names the service in log lines and metrics.
	To string
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection without a call is kept.
	IdleTimeout time.Duration
	// MinOverdue is the minimum time by which the answer to a retryable call must be overdue
	// before the call is retried.
	MinOverdue time.Duration
	// MaxIdlePerHost limits the idle connections kept per address, MaxPerHost all connections
	// per address; 0 means no limit for the latter.
	MaxIdlePerHost, MaxPerHost int
	// Discard selects the connections to discard besides the one on which a call timed out. The
	// default is conntrack.AllSilent.
	Discard conntrack.DiscardScope
	// Now returns the current time.
	Now   func() time.Time
	Hooks Hooks
}

// Hooks are called on events of connections and calls. Each may be nil.
type Hooks struct {
	// OnUnanswered is called for each call that timed out without an answer.
	OnUnanswered func(conntrack.Unanswered)
	// OnDiscard is called when connections are discarded.
	OnDiscard func(conntrack.Discarded)
	// OnRetry is called at the end of each call that was retried.
	OnRetry func(RetriedCall)
	// OnOpen is called for each connection that is opened (1) or closed (-1).
	OnOpen func(delta int)
	// OnBytes is called with the numbers of bytes read and written.
	OnBytes func(in, out int)
}

// New returns a client with its own connections.
func New(s Settings) *http.Client { return &http.Client{Transport: NewTransport(s)} }

// NewTransport returns the transport of a client.
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
	// It keeps no idle connections, so each call opens a new one.
	t.fresh = &http.Transport{DialContext: t.dial, DisableCompression: true, MaxIdleConnsPerHost: -1}
	return t
}

// Transport is an http.RoundTripper that discards silent connections.
type Transport struct {
	settings Settings
	table    *conntrack.Table
	lateness *latenessTracker
	// pooled reuses connections; fresh opens a new connection for each call.
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

// RoundTrip makes a call and retries it if that is allowed and necessary.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if r, ok := retryOf(req); ok {
		return t.doRetryable(req, r)
	}
	return t.doOnce(req)
}

// doOnce makes a call that must not be retried.
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

// handleFailure handles the failure of a call that must not be retried. A timeout on a reused
// connection indicates that the other connections to its address may be silent as well.
func (t *Transport) handleFailure(a *attempt, err error) {
	if _, ok := OverdueAfter(a.req.Context()); !ok {
		t.reportUnanswered(a, err)
	}
	if conn, sentAt, reused := a.connection(); reused && errors.Is(err, context.DeadlineExceeded) {
		t.discard(conn, sentAt)
	}
}

// watchOverdue discards the idle connections to the address of a call if its answer is overdue
// and nothing was received on them either. The call itself continues. The returned function
// ends the watch.
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

// watchedBody is the body of an answer. It reports a read error, because a call lasts until its
// answer is complete.
type watchedBody struct {
	io.ReadCloser
	onError func(error)
}

// Read reads from the body and reports an error other than io.EOF.
func (w *watchedBody) Read(b []byte) (int, error) {
	n, err := w.ReadCloser.Read(b)
	if err != nil && err != io.EOF {
		w.onError(err)
	}
	return n, err
}

// reportUnanswered reports an attempt that timed out.
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

// discard discards a connection on which a call was not answered, and the others to its address
// that Settings.Discard selects.
func (t *Transport) discard(conn *conntrack.Conn, sentAt time.Time) {
	t.reportDiscarded(conn.Discard(t.settings.Now(), sentAt, t.settings.Discard))
}

// reportDiscarded reports connections that were discarded.
func (t *Transport) reportDiscarded(d conntrack.Discarded) {
	d.To = t.settings.To
	if report := t.settings.Hooks.OnDiscard; report != nil && d.Count > 0 {
		report(d)
	}
}
