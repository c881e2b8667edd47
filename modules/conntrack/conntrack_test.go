// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package conntrack_test

import (
	"io"
	"net"
	"testing"
	"time"

	"saddlevane/modules/conntrack"

	"gotest.tools/v3/assert"
)

// fakeClock is a clock that the test sets.
type fakeClock struct{ now time.Time }

func (c *fakeClock) read() time.Time { return c.now }

// pipe returns a connection in a table and its remote end.
func pipe(t *testing.T, table *conntrack.Table, address string) (*conntrack.Conn, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return table.Add(address, near), far
}

// receive makes c receive one byte from its remote end.
func receive(t *testing.T, c *conntrack.Conn, far net.Conn) {
	t.Helper()
	go func() { _, _ = far.Write([]byte{'x'}) }()
	_, err := c.Read(make([]byte, 1))
	assert.NilError(t, err)
}

// isClosed reports whether the other end of a connection is closed.
func isClosed(far net.Conn) bool {
	_ = far.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, err := far.Read(make([]byte, 1))
	return err == io.EOF
}

func TestDiscardClosesOnlyConnectionsSilentSinceCall(t *testing.T) {
	at := &fakeClock{now: time.Now()}
	table := conntrack.NewTable(at.read)
	silent, silentFar := pipe(t, table, "a")
	idle, idleFar := pipe(t, table, "a")
	active, activeFar := pipe(t, table, "a")
	other, otherFar := pipe(t, table, "b")
	receive(t, idle, idleFar)

	at.now = at.now.Add(time.Second)
	sentAt := at.now
	at.now = at.now.Add(time.Second)
	receive(t, active, activeFar)
	_, laterFar := pipe(t, table, "a")
	assert.Equal(t, table.Len(), 5)

	got := silent.Discard(at.now, sentAt, conntrack.AllSilent)
	assert.Equal(t, got, conntrack.Discarded{Address: "a", Count: 2, SilentFor: 2 * time.Second})
	assert.Check(t, isClosed(silentFar) && isClosed(idleFar))
	assert.Check(t, !isClosed(activeFar), "data was received on it since the call was sent")
	assert.Check(t, !isClosed(laterFar), "it was opened after the call was sent")
	assert.Check(t, !isClosed(otherFar), "it has another address")
	assert.Equal(t, table.Len(), 3)
	_, err := idle.Read(make([]byte, 1))
	assert.ErrorIs(t, err, conntrack.ErrDiscarded)
	_, err = idle.Write([]byte{'x'})
	assert.ErrorIs(t, err, conntrack.ErrDiscarded)
	assert.NilError(t, other.Close())
	_, err = other.Read(make([]byte, 1))
	assert.Check(t, err != nil && err != conntrack.ErrDiscarded, "%v", err)
}

func TestSilentAndIdleKeepsConnectionsWithCalls(t *testing.T) {
	at := &fakeClock{now: time.Now()}
	table := conntrack.NewTable(at.read)
	silent, silentFar := pipe(t, table, "a")
	busy, busyFar := pipe(t, table, "a")
	finished, finishedFar := pipe(t, table, "a")
	silent.BeginCall()
	busy.BeginCall()
	finished.BeginCall()
	finished.EndCall()
	at.now = at.now.Add(time.Second)

	got := silent.Discard(at.now, at.now, conntrack.SilentAndIdle)
	assert.Equal(t, got.Count, 2)
	assert.Check(t, isClosed(silentFar) && isClosed(finishedFar))
	assert.Check(t, !isClosed(busyFar))
}

// Guards against connections that appear silent, or active, by several seconds because the wall
// clock was set while they were open. This happens if the time of the last receipt is stored as
// wall-clock time; machines in production set their clocks by seconds.
func TestTimesAreMonotonic(t *testing.T) {
	c, far := pipe(t, conntrack.NewTable(time.Now), "a")
	began := time.Now()
	receive(t, c, far)
	received := c.LastReceivedAt()
	assert.Check(t, received != received.Round(0), "%v has no monotonic reading", received)
	assert.Check(t, !received.Before(began) && !received.After(time.Now()), "received at %v, read since %v", received, began)
}

func TestOpenConnectionsAreCounted(t *testing.T) {
	table := conntrack.NewTable(time.Now)
	open := 0
	table.OnChange(func(delta int) { open += delta })
	c, _ := pipe(t, table, "a")
	_, _ = pipe(t, table, "a")
	assert.Equal(t, open, 2)
	assert.NilError(t, c.Close())
	_ = c.Close()
	assert.Equal(t, open, 1)
}

func TestCallMayBeQueuedBehindEarlierOnes(t *testing.T) {
	at := &fakeClock{now: time.Now()}
	table := conntrack.NewTable(at.read)
	c, _ := pipe(t, table, "a")
	other, otherFar := pipe(t, table, "a")
	elsewhere, elsewhereFar := pipe(t, table, "b")
	at.now = at.now.Add(time.Second)
	since := at.now
	at.now = at.now.Add(time.Second)
	later, laterFar := pipe(t, table, "a")
	receive(t, later, laterFar)
	receive(t, elsewhere, elsewhereFar)
	assert.Check(t, !c.MayBeQueued(since), "only connections open by then count")
	receive(t, other, otherFar)
	assert.Check(t, c.MayBeQueued(since), "another connection received data since then")

	now := at.now
	at.now = at.now.Add(time.Second)
	other.BeginCall()
	assert.Check(t, !c.MayBeQueued(now), "the other call began later")
	at.now = at.now.Add(time.Second)
	assert.Check(t, c.MayBeQueued(at.now), "the other call is in progress")
	other.EndCall()
	assert.Check(t, !c.MayBeQueued(at.now))
}

func TestDiscardOthersKeepsConnectionOfOverdueCall(t *testing.T) {
	at := &fakeClock{now: time.Now()}
	table := conntrack.NewTable(at.read)
	overdue, overdueFar := pipe(t, table, "a")
	_, idleFar := pipe(t, table, "a")
	overdue.BeginCall()
	at.now = at.now.Add(time.Second)

	got := overdue.DiscardOthers(at.now, at.now, conntrack.SilentAndIdle)
	assert.Equal(t, got, conntrack.Discarded{Address: "a", Count: 1, SilentFor: time.Second})
	assert.Check(t, isClosed(idleFar))
	assert.Check(t, !isClosed(overdueFar))
}
