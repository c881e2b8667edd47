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
	"net/http/httptrace"
	"time"

	"saddlevane/modules/conntrack"
)

// Settings are the bounds of a client.
type Settings struct {
	// To names what is called, for lines and metrics.
	To string
	// Dial bounds the opening of a connection.
	Dial time.Duration
	// Idle is how long a connection is kept that is not used.
	Idle time.Duration
	// PerHost is how many unused connections to one address are kept.
	PerHost int
	// Now tells the time.
	Now func() time.Time
	// Unanswered is told of each call that ran out of its time without an answer.
	Unanswered func(conntrack.Unanswered)
}

// New returns a client with connections of its own.
func New(s Settings) *http.Client {
	t := &transport{settings: s, table: conntrack.NewTable(s.Now)}
	dialer := &net.Dialer{Timeout: s.Dial}
	t.base = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return t.table.Add(address, raw), nil
		},
		DisableCompression: true, MaxIdleConnsPerHost: s.PerHost, IdleConnTimeout: s.Idle,
	}
	return &http.Client{Transport: t}
}

// transport carries out calls.
type transport struct {
	settings Settings
	table    *conntrack.Table
	base     *http.Transport
}

// RoundTrip makes one call.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var on httptrace.GotConnInfo
	began := t.settings.Now()
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { on = i }})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if errors.Is(err, context.DeadlineExceeded) {
		t.tell(req, on, began)
	}
	return resp, err
}

// tell reports a call that had no answer, if it had a connection.
func (t *transport) tell(req *http.Request, on httptrace.GotConnInfo, began time.Time) {
	c, ok := on.Conn.(*conntrack.Conn)
	if !ok {
		return
	}
	u := c.Unanswered(t.settings.Now(), began)
	u.To, u.Call, u.Reused = t.settings.To, req.URL.Path, on.Reused
	t.settings.Unanswered(u)
}
