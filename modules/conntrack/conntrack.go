// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package conntrack keeps the open connections of a process by the address they
// lead to, with when each was opened and when something last came over it, and gives
// up those that are not trusted any more.
package conntrack

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Table holds open connections. It may be used by several goroutines.
type Table struct {
	now func() time.Time
	// began is when the table was made. Times of connections are kept as what has
	// passed since then on the steady clock: the time of day may be set meanwhile.
	createdAt time.Time

	mu sync.Mutex
	// changed is told of each connection that is opened (1) or closed (-1).
	onChange func(delta int)
	// passed is told of the bytes that were read from and written to a connection.
	onBytes func(in, out int)
	// conns holds the open connections by address.
	conns map[string]map[*Conn]struct{}
	count int
}

// NewTable returns an empty table that tells the time by now.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, createdAt: now(), onChange: func(int) {}, onBytes: func(int, int) {}, conns: map[string]map[*Conn]struct{}{}}
}

// OnChange has f told of each connection that is opened (1) or closed (-1) from now on.
func (t *Table) OnChange(f func(delta int)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = f
}

// OnBytes has f told of the bytes that are read and written from now on. It is called
// before the first connection is added.
func (t *Table) OnBytes(f func(in, out int)) { t.onBytes = f }

// Add returns a connection that is in the table until it is closed.
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

// Len returns how many connections are open.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// remove takes a connection out that is closed.
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

// silentSince returns the connections to an address over which nothing has come since a
// time, but for one.
func (t *Table) silentSince(address string, since time.Time, but *Conn) []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var silent []*Conn
	for c := range t.conns[address] {
		if c != but && c.LastReceivedAt().Before(since) {
			silent = append(silent, c)
		}
	}
	return silent
}

// Conn is a connection of a table.
type Conn struct {
	net.Conn
	table    *Table
	address  string
	openedAt time.Time
	// heard is when something last came, in nanoseconds since the table was made.
	lastReceived atomic.Int64
	// busy counts the calls under way, and begun is when the last one began, in
	// nanoseconds since the table was made.
	calls     atomic.Int32
	lastBegun atomic.Int64
	// distrusted says that the connection was given up.
	discarded atomic.Bool
}

// ErrDiscarded ends what is under way on a connection that was given up.
var ErrDiscarded = errors.New("the connection was given up: a call to its address had no answer")

// Read reads and notes that something came.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastReceived.Store(int64(c.table.now().Sub(c.table.createdAt)))
		c.table.onBytes(n, 0)
	}
	return n, c.translateError(err)
}

// Write writes.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.table.onBytes(0, n)
	return n, c.translateError(err)
}

// translateError says of an error that it came of giving the connection up.
func (c *Conn) translateError(err error) error {
	if err != nil && c.discarded.Load() {
		return ErrDiscarded
	}
	return err
}

// BeginCall notes that a call is made on the connection.
func (c *Conn) BeginCall() {
	c.lastBegun.Store(int64(c.table.now().Sub(c.table.createdAt)))
	c.calls.Add(1)
}

// lastBegunAt returns when the last call on the connection was made.
func (c *Conn) lastBegunAt() time.Time {
	return c.table.createdAt.Add(time.Duration(c.lastBegun.Load()))
}

// EndCall notes that a call on the connection is over.
func (c *Conn) EndCall() { c.calls.Add(-1) }

// Close closes the connection and takes it out of its table.
func (c *Conn) Close() error {
	c.table.remove(c)
	return c.Conn.Close()
}

// Address returns the address that the connection leads to.
func (c *Conn) Address() string { return c.address }

// OpenedAt returns when the connection was opened.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// LastReceivedAt returns when something last came over the connection; before that, when it
// was opened.
func (c *Conn) LastReceivedAt() time.Time {
	return c.table.createdAt.Add(time.Duration(c.lastReceived.Load()))
}

// MayBeQueued says whether a call that was made on the connection at some time may wait behind
// others at its address: one made earlier on another connection is still under way, or
// something has come since over one that was open by then.
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

// DiscardScope says which connections are given up.
type DiscardScope string

// The connections to give up beside the one that gave no answer.
const (
	// AllSilent that have been silent as well.
	AllSilent DiscardScope = "all"
	// SilentAndIdle ones only: calls under way on the others may still be answered.
	SilentAndIdle DiscardScope = "idle"
)

// Discarded tells of connections to one address that were given up together.
type Discarded struct {
	// To is what was called, such as the log or an entry box, and Address where.
	To      string
	Address string
	// Count is how many there were, SilentFor how long nothing had come over any.
	Count     int
	SilentFor time.Duration
}

// Discard closes the connection, on which a call sent at some time has had no answer,
// and others to its address over which nothing has come since then either: whatever
// silenced one may have silenced all that were open. One that was opened later or over
// which something came is trusted.
func (c *Conn) Discard(now, sentAt time.Time, which DiscardScope) Discarded {
	g := c.DiscardOthers(now, sentAt, which)
	g.Count++
	g.SilentFor = min(g.SilentFor, now.Sub(c.LastReceivedAt()))
	c.closeDiscarded()
	return g
}

// DiscardOthers closes the other connections that Discard would close: the answer to the
// call is overdue, and may still come.
func (c *Conn) DiscardOthers(now, sentAt time.Time, which DiscardScope) Discarded {
	g := Discarded{Address: c.address, SilentFor: now.Sub(c.LastReceivedAt())}
	for _, o := range c.table.silentSince(c.address, sentAt, c) {
		if which == SilentAndIdle && o.calls.Load() > 0 {
			continue
		}
		g.Count++
		g.SilentFor = min(g.SilentFor, now.Sub(o.LastReceivedAt()))
		o.closeDiscarded()
	}
	return g
}

// closeDiscarded closes the connection, and has what is under way on it end with ErrDiscarded.
func (c *Conn) closeDiscarded() {
	c.discarded.Store(true)
	_ = c.Close()
}

// Unanswered is a call that ran out of its time without an answer.
type Unanswered struct {
	// To is what was called, such as the log or an entry box, and Address where.
	To      string
	Address string
	// Call is the method or path.
	Call string
	// Reused says whether the connection had carried earlier calls.
	Reused bool
	// Waited is how long the call was under way, OpenFor how long its connection had
	// been open, SilentFor how long nothing had come over it.
	Waited    time.Duration
	OpenFor   time.Duration
	SilentFor time.Duration
}

// Unanswered describes a call on the connection that began at some time and has had
// no answer by now.
func (c *Conn) Unanswered(now, began time.Time) Unanswered {
	return Unanswered{
		Address: c.address, Waited: now.Sub(began), OpenFor: now.Sub(c.openedAt), SilentFor: now.Sub(c.LastReceivedAt()),
	}
}
