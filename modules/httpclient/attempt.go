// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpclient

import (
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"saddlevane/modules/conntrack"
)

// attempt is one attempt of a call.
type attempt struct {
	now func() time.Time
	req *http.Request

	mu sync.Mutex
	// conn is the connection that carries the call, or nil if there is none yet.
	conn *conntrack.Conn
	// sentAt is when the call got its connection.
	sentAt time.Time
	// reused reports that the connection had carried earlier calls.
	reused bool
}

// newAttempt returns an attempt with its own copy of req.
func (t *Transport) newAttempt(req *http.Request) *attempt {
	a := &attempt{now: t.settings.Now}
	trace := &httptrace.ClientTrace{GotConn: a.gotConn, PutIdleConn: a.putIdle}
	a.req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	return a
}

// gotConn records the connection that carries the call. The transport may take another
// connection after the first one has failed.
func (a *attempt) gotConn(i httptrace.GotConnInfo) {
	conn, ok := i.Conn.(*conntrack.Conn)
	if !ok {
		return
	}
	conn.BeginCall()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn, a.sentAt, a.reused = conn, a.now(), i.Reused
}

// putIdle records that the connection no longer carries the call.
func (a *attempt) putIdle(err error) {
	conn, _, _ := a.connection()
	if conn != nil && err == nil {
		conn.EndCall()
	}
}

// connection returns the connection that carries the call, or nil, since when it carries the
// call, and whether it had carried earlier calls.
func (a *attempt) connection() (conn *conntrack.Conn, sentAt time.Time, reused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn, a.sentAt, a.reused
}

// mayBeQueued reports whether the call is to a service that serves calls one at a time and may
// be queued behind other calls.
func (a *attempt) mayBeQueued(r Retry) bool {
	conn, sentAt, _ := a.connection()
	return r.Serialized && conn != nil && conn.MayBeQueued(sentAt)
}

// timeUntilOverdue returns how long the answer may still take if it may be late by late. While
// an answer arrives in pieces, the time is counted from the last piece.
func (a *attempt) timeUntilOverdue(now time.Time, r Retry, late time.Duration) time.Duration {
	conn, sentAt, reused := a.connection()
	if !reused || a.mayBeQueued(r) {
		// The connection is still being opened or was opened for this call, or the call may be
		// queued. In these cases the service is slow or unresponsive, and a new connection
		// would not be faster.
		return r.Expected + late
	}
	due := sentAt.Add(r.Expected)
	if received := conn.LastReceivedAt(); received.After(sentAt) {
		due = received
	}
	return due.Add(late).Sub(now)
}
