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

// attempt is one try of a call.
type attempt struct {
	now func() time.Time
	req *http.Request

	mu sync.Mutex
	// conn is the connection that carries the call, or nil while there is none.
	conn *conntrack.Conn
	// sentAt is when the call had its connection.
	sentAt time.Time
	// reused says that the connection had carried earlier calls.
	reused bool
}

// newAttempt returns a try that is to be made with its own req.
func (t *Transport) newAttempt(req *http.Request) *attempt {
	a := &attempt{now: t.settings.Now}
	trace := &httptrace.ClientTrace{GotConn: a.gotConn, PutIdleConn: a.putIdle}
	a.req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	return a
}

// gotConn notes the connection that carries the call. The transport may take another
// one after the first has failed.
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

// putIdle notes that the connection carries the call no more.
func (a *attempt) putIdle(err error) {
	conn, _, _ := a.connection()
	if conn != nil && err == nil {
		conn.EndCall()
	}
}

// connection returns the connection that carries the call, or nil, since when, and
// whether it had carried earlier ones.
func (a *attempt) connection() (conn *conntrack.Conn, sentAt time.Time, reused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn, a.sentAt, a.reused
}

// mayBeQueued says of a call that the service takes in turn whether others may be before
// it.
func (a *attempt) mayBeQueued(r Retry) bool {
	conn, sentAt, _ := a.connection()
	return r.Serialized && conn != nil && conn.MayBeQueued(sentAt)
}

// timeUntilOverdue returns how long the answer may take from now on, if it may be late by some
// time. An answer that comes in pieces is under way as long as they come.
func (a *attempt) timeUntilOverdue(now time.Time, r Retry, late time.Duration) time.Duration {
	conn, sentAt, reused := a.connection()
	if !reused || a.mayBeQueued(r) {
		// A connection that is being opened, or was opened for the call: then the service
		// is slow or away, and another one would be no faster.
		return r.Expected + late
	}
	due := sentAt.Add(r.Expected)
	if heard := conn.LastReceivedAt(); heard.After(sentAt) {
		due = heard
	}
	return due.Add(late).Sub(now)
}
