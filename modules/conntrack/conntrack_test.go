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

// fakeClock is the time of a test.
type fakeClock struct{ now time.Time }

func (c *fakeClock) read() time.Time { return c.now }

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

// receive has something come over a connection.
func receive(t *testing.T, c *conntrack.Conn, far net.Conn) {
	t.Helper()
	go func() { _, _ = far.Write([]byte{'x'}) }()
	_, err := c.Read(make([]byte, 1))
	assert.NilError(t, err)
}

// isClosed says whether a connection is closed at its far end.
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
	heard, heardFar := pipe(t, table, "a")
	other, otherFar := pipe(t, table, "b")
	receive(t, idle, idleFar)

	at.now = at.now.Add(time.Second)
	sentAt := at.now
	at.now = at.now.Add(time.Second)
	receive(t, heard, heardFar)
	_, laterFar := pipe(t, table, "a")
	assert.Equal(t, table.Len(), 5)

	got := silent.Discard(at.now, sentAt, conntrack.AllSilent)
	assert.Equal(t, got, conntrack.Discarded{Address: "a", Count: 2, SilentFor: 2 * time.Second})
	assert.Check(t, isClosed(silentFar) && isClosed(idleFar))
	assert.Check(t, !isClosed(heardFar), "something came over it since the call was sent")
	assert.Check(t, !isClosed(laterFar), "it was opened since the call was sent")
	assert.Check(t, !isClosed(otherFar), "it leads elsewhere")
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
	was, wasFar := pipe(t, table, "a")
	silent.BeginCall()
	busy.BeginCall()
	was.BeginCall()
	was.EndCall()
	at.now = at.now.Add(time.Second)

	got := silent.Discard(at.now, at.now, conntrack.SilentAndIdle)
	assert.Equal(t, got.Count, 2)
	assert.Check(t, isClosed(silentFar) && isClosed(wasFar))
	assert.Check(t, !isClosed(busyFar))
}

// Symptom: a connection seems silent for seconds over which something has just come,
// or the other way round.
//
// Sequence: the time of day is set back or forward while the connection is open.
//
// Cause: when something last came was kept as a time of day.
//
// What settled it: reading the code; the users' machines set their clocks by seconds.
func TestTimesAreMonotonic(t *testing.T) {
	c, far := pipe(t, conntrack.NewTable(time.Now), "a")
	began := time.Now()
	receive(t, c, far)
	heard := c.LastReceivedAt()
	assert.Check(t, heard != heard.Round(0), "%v has no steady time", heard)
	assert.Check(t, !heard.Before(began) && !heard.After(time.Now()), "heard at %v, read since %v", heard, began)
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
	beside, besideFar := pipe(t, table, "a")
	elsewhere, elsewhereFar := pipe(t, table, "b")
	at.now = at.now.Add(time.Second)
	since := at.now
	at.now = at.now.Add(time.Second)
	later, laterFar := pipe(t, table, "a")
	receive(t, later, laterFar)
	receive(t, elsewhere, elsewhereFar)
	assert.Check(t, !c.MayBeQueued(since), "only what was open by then counts")
	receive(t, beside, besideFar)
	assert.Check(t, c.MayBeQueued(since), "one was answered since")

	now := at.now
	at.now = at.now.Add(time.Second)
	beside.BeginCall()
	assert.Check(t, !c.MayBeQueued(now), "the other one was made later")
	at.now = at.now.Add(time.Second)
	assert.Check(t, c.MayBeQueued(at.now), "the other one is under way")
	beside.EndCall()
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
