// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package conntrack_test

import (
	"net"
	"testing"
	"time"

	"saddlevane/modules/conntrack"

	"gotest.tools/v3/assert"
)

// pipe returns a connection of a table and its far end.
func pipe(t *testing.T, table *conntrack.Table, address string) (*conntrack.Conn, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return table.Add(address, near), far
}

// hear has something come over a connection.
func hear(t *testing.T, c *conntrack.Conn, far net.Conn) {
	t.Helper()
	go func() { _, _ = far.Write([]byte{'x'}) }()
	_, err := c.Read(make([]byte, 1))
	assert.NilError(t, err)
}

// Symptom: a connection seems silent for seconds over which something has just come,
// or the other way round.
//
// Sequence: the time of day is set back or forward while the connection is open.
//
// Cause: when something last came was kept as a time of day.
//
// What settled it: reading the code; the users' machines set their clocks by seconds.
func TestTimesAreThoseOfTheSteadyClock(t *testing.T) {
	c, far := pipe(t, conntrack.NewTable(time.Now), "a")
	hear(t, c, far)
	assert.Check(t, c.HeardAt() != c.HeardAt().Round(0), "%v has no steady time", c.HeardAt())
}
