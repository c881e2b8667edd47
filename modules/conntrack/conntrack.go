// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package conntrack keeps the open connections of a process by the address they
// lead to, with when each was opened and when something last came over it.
package conntrack

import (
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
	began time.Time

	mu sync.Mutex
	// conns holds the open connections by address.
	conns map[string]map[*Conn]struct{}
	count int
}

// NewTable returns an empty table that tells the time by now.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now, began: now(), conns: map[string]map[*Conn]struct{}{}}
}

// Add returns a connection that is in the table until it is closed.
func (t *Table) Add(address string, raw net.Conn) *Conn {
	c := &Conn{Conn: raw, table: t, address: address, openedAt: t.now()}
	c.heard.Store(int64(c.openedAt.Sub(t.began)))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[address] == nil {
		t.conns[address] = map[*Conn]struct{}{}
	}
	t.conns[address][c] = struct{}{}
	t.count++
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
}

// Conn is a connection of a table.
type Conn struct {
	net.Conn
	table    *Table
	address  string
	openedAt time.Time
	// heard is when something last came, in nanoseconds since the table was made.
	heard atomic.Int64
}

// Read reads and notes that something came.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(int64(c.table.now().Sub(c.table.began)))
	}
	return n, err
}

// Close closes the connection and takes it out of its table.
func (c *Conn) Close() error {
	c.table.remove(c)
	return c.Conn.Close()
}

// OpenedAt returns when the connection was opened.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// HeardAt returns when something last came over the connection; before that, when it
// was opened.
func (c *Conn) HeardAt() time.Time { return c.table.began.Add(time.Duration(c.heard.Load())) }

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
	// been open, HeardAgo how long nothing had come over it.
	Waited   time.Duration
	OpenFor  time.Duration
	HeardAgo time.Duration
}

// Unanswered describes a call on the connection that began at some time and has had
// no answer by now.
func (c *Conn) Unanswered(now, began time.Time) Unanswered {
	return Unanswered{
		Address: c.address, Waited: now.Sub(began), OpenFor: now.Sub(c.openedAt), HeardAgo: now.Sub(c.HeardAt()),
	}
}
