// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package conntrack tracks the open connections of a process by remote address, with the times
// when each was opened and when data was last received on it. It discards connections that
// appear to be dead.
package conntrack

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Table holds open connections. It is safe for concurrent use.
type Table struct {
	now func() time.Time
	// createdAt is when the table was created. Times of connections are stored as the monotonic
	// time elapsed since then, because the wall clock may be set meanwhile.
	createdAt time.Time

	mu sync.Mutex
	// onChange is called for each connection that is opened (1) or closed (-1).
	onChange func(delta int)
	// onBytes is called with the numbers of bytes read from and written to a connection.
	onBytes func(in, out int)
	// conns holds the open connections by address.
	conns map[string]map[*Conn]struct{}
	count int
}

// NewTable returns an empty table that takes the time from now.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, createdAt: now(), onChange: func(int) {}, onBytes: func(int, int) {}, conns: map[string]map[*Conn]struct{}{}}
}

// OnChange sets the function that is called for each connection opened (1) or closed (-1).
func (t *Table) OnChange(f func(delta int)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = f
}

// OnBytes sets the function that is called with the numbers of bytes read and written. It must
// be called before the first connection is added.
func (t *Table) OnBytes(f func(in, out int)) { t.onBytes = f }

// Add wraps raw in a connection that stays in the table until it is closed.
func (t *Table) Add(address string, raw net.Conn) *Conn {
	c := &Conn{Conn: raw, table: t, address: address, openedAt: t.now()}
	c.lastReceived.Store(int64(c.openedAt.Sub(t.createdAt)))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[address] == nil {
		t.conns[address] = map[*Conn]struct{}{}
	}
	t.conns[address][c] = struct{}{}
	t.count++
	t.onChange(1)
	return c
}

// Len returns the number of open connections.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// remove removes a closed connection.
func (t *Table) remove(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.conns[c.address][c]; !open {
		return
	}
	delete(t.conns[c.address], c)
	if len(t.conns[c.address]) == 0 {
		delete(t.conns, c.address)
	}
	t.count--
	t.onChange(-1)
}

// silentSince returns the connections to an address on which nothing was received after since,
// excluding one.
func (t *Table) silentSince(address string, since time.Time, excluded *Conn) []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var silent []*Conn
	for c := range t.conns[address] {
		if c != excluded && c.LastReceivedAt().Before(since) {
			silent = append(silent, c)
		}
	}
	return silent
}

// Conn is a connection in a table.
type Conn struct {
	net.Conn
	table    *Table
	address  string
	openedAt time.Time
	// lastReceived is when data was last received, in nanoseconds since the table was created.
	lastReceived atomic.Int64
	// calls is the number of calls in progress, and lastBegun is when the last call began, in
	// nanoseconds since the table was created.
	calls     atomic.Int32
	lastBegun atomic.Int64
	// discarded reports whether the connection was discarded.
	discarded atomic.Bool
}

// ErrDiscarded is returned by operations on a connection that was discarded.
var ErrDiscarded = errors.New("connection discarded: a call to its address was not answered")

// Read reads from the connection and records when data was received.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastReceived.Store(int64(c.table.now().Sub(c.table.createdAt)))
		c.table.onBytes(n, 0)
	}
	return n, c.translateError(err)
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.table.onBytes(0, n)
	return n, c.translateError(err)
}

// translateError replaces errors of a discarded connection by ErrDiscarded.
func (c *Conn) translateError(err error) error {
	if err != nil && c.discarded.Load() {
		return ErrDiscarded
	}
	return err
}

// BeginCall records the start of a call on the connection.
func (c *Conn) BeginCall() {
	c.lastBegun.Store(int64(c.table.now().Sub(c.table.createdAt)))
	c.calls.Add(1)
}

// lastBegunAt returns when the last call on the connection began.
func (c *Conn) lastBegunAt() time.Time {
	return c.table.createdAt.Add(time.Duration(c.lastBegun.Load()))
}

// EndCall records the end of a call on the connection.
func (c *Conn) EndCall() { c.calls.Add(-1) }

// Close closes the connection and removes it from its table.
func (c *Conn) Close() error {
	c.table.remove(c)
	return c.Conn.Close()
}

// Address returns the remote address of the connection.
func (c *Conn) Address() string { return c.address }

// OpenedAt returns when the connection was opened.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// LastReceivedAt returns when data was last received on the connection, or when it was opened
// if nothing was received yet.
func (c *Conn) LastReceivedAt() time.Time {
	return c.table.createdAt.Add(time.Duration(c.lastReceived.Load()))
}

// MayBeQueued reports whether a call sent on this connection at sentAt may be queued behind
// other calls to the same address. This is the case if an earlier call on another connection is
// still in progress, or if data was received after sentAt on a connection opened before it.
func (c *Conn) MayBeQueued(sentAt time.Time) bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	for o := range c.table.conns[c.address] {
		if o == c || !o.openedAt.Before(sentAt) {
			continue
		}
		if o.LastReceivedAt().After(sentAt) || o.calls.Load() > 0 && o.lastBegunAt().Before(sentAt) {
			return true
		}
	}
	return false
}

// DiscardScope selects the connections to discard besides the one on which a call timed out.
type DiscardScope string

// The scopes.
const (
	// AllSilent selects all connections on which nothing was received since the call.
	AllSilent DiscardScope = "all"
	// SilentAndIdle selects only those of AllSilent without a call in progress: calls in
	// progress may still be answered.
	SilentAndIdle DiscardScope = "idle"
)

// Discarded describes connections to one address that were discarded together.
type Discarded struct {
	// To names the remote service, such as the log or an entry box, and Address is its address.
	To      string
	Address string
	// Count is the number of connections. SilentFor is the time since data was last received on
	// any of them.
	Count     int
	SilentFor time.Duration
}

// Discard closes the connection, on which a call sent at sentAt was not answered, and the
// connections to the same address on which nothing was received since then either: the fault
// that silenced one may have silenced all that were open. Connections that were opened later or
// on which data was received are kept.
func (c *Conn) Discard(now, sentAt time.Time, scope DiscardScope) Discarded {
	d := c.DiscardOthers(now, sentAt, scope)
	d.Count++
	d.SilentFor = min(d.SilentFor, now.Sub(c.LastReceivedAt()))
	c.closeDiscarded()
	return d
}

// DiscardOthers closes the connections that Discard would close, except this one: the answer to
// the call is overdue but may still arrive.
func (c *Conn) DiscardOthers(now, sentAt time.Time, scope DiscardScope) Discarded {
	d := Discarded{Address: c.address, SilentFor: now.Sub(c.LastReceivedAt())}
	for _, o := range c.table.silentSince(c.address, sentAt, c) {
		if scope == SilentAndIdle && o.calls.Load() > 0 {
			continue
		}
		d.Count++
		d.SilentFor = min(d.SilentFor, now.Sub(o.LastReceivedAt()))
		o.closeDiscarded()
	}
	return d
}

// closeDiscarded closes the connection and makes operations in progress on it fail with
// ErrDiscarded.
func (c *Conn) closeDiscarded() {
	c.discarded.Store(true)
	_ = c.Close()
}

// Unanswered describes a call that timed out without an answer.
type Unanswered struct {
	// To names the remote service, such as the log or an entry box, and Address is its address.
	To      string
	Address string
	// Call is the method or path.
	Call string
	// Reused reports whether the connection had carried earlier calls.
	Reused bool
	// Waited is how long the call was in progress, OpenFor how long its connection had been
	// open, and SilentFor the time since data was last received on it.
	Waited    time.Duration
	OpenFor   time.Duration
	SilentFor time.Duration
}

// Unanswered describes a call on the connection that began at began and has not been answered
// by now.
func (c *Conn) Unanswered(now, began time.Time) Unanswered {
	return Unanswered{
		Address: c.address, Waited: now.Sub(began), OpenFor: now.Sub(c.openedAt), SilentFor: now.Sub(c.LastReceivedAt()),
	}
}
