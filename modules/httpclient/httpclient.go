// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package httpclient makes the clients with which a process calls services over
// HTTP. It tells of each call that had no answer on what connection that was.
package httpclient

import (
	"context"
	"errors"
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
	Dial time.Duration
	// Unused is how long a connection is kept that carries no call.
	Unused time.Duration
	// Answer is how long the answer to a call that may be made again may at least be
	// overdue before it is made again.
	Answer time.Duration
	// PerHost is how many unused connections to one address are kept, Most how many
	// connections there are to it at a time, or 0 for any number.
	PerHost, Most int
	// GiveUp says which connections are given up beside one that gave no answer. Empty
	// means all.
	GiveUp conntrack.Which
	// Now tells the time.
	Now     func() time.Time
	Reports Reports
}

// Reports are told what happens to connections and calls. Each may be nil.
type Reports struct {
	// Unanswered is told of each call that ran out of its time without an answer.
	Unanswered func(conntrack.Unanswered)
	// GivenUp is told of connections that were given up.
	GivenUp func(conntrack.GivenUp)
	// Again is told of each call that was made again, once it is over.
	Again func(Again)
	// Open is told of each connection that is opened (1) or closed (-1).
	Open func(delta int)
}

// New returns a client with connections of its own.
func New(s Settings) *http.Client {
	t := &transport{settings: s, table: conntrack.NewTable(s.Now)}
	if s.Reports.Open != nil {
		t.table.OnChange(s.Reports.Open)
	}
	t.kept = &http.Transport{
		DialContext: t.dial, DisableCompression: true,
		MaxIdleConnsPerHost: s.PerHost, MaxConnsPerHost: s.Most, IdleConnTimeout: s.Unused,
	}
	return &http.Client{Transport: t}
}

// transport carries out calls.
type transport struct {
	settings Settings
	table    *conntrack.Table
	// kept has the connections that are used again.
	kept *http.Transport
}

// dial opens a connection.
func (t *transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: t.settings.Dial}
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return t.table.Add(address, raw), nil
}

// CloseIdleConnections closes the connections that carry no call.
func (t *transport) CloseIdleConnections() { t.kept.CloseIdleConnections() }

// RoundTrip makes one call.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	a := t.newAttempt(req)
	resp, err := t.kept.RoundTrip(a.req)
	if err != nil {
		t.failed(a, err)
		return nil, err
	}
	return resp, nil
}

// failed takes the failure of a try.
func (t *transport) failed(a *attempt, err error) {
	if !errors.Is(err, context.DeadlineExceeded) {
		return
	}
	conn, sentAt, reused := a.connection()
	if conn == nil {
		return
	}
	if report := t.settings.Reports.Unanswered; report != nil {
		u := conn.Unanswered(t.settings.Now(), sentAt)
		u.To, u.Call, u.Reused = t.settings.To, a.req.URL.Path, reused
		report(u)
	}
}
