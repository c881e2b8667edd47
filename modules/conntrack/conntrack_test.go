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

// clock is the time of a test.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

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

// closed says whether a connection is closed at its far end.
func closed(far net.Conn) bool {
	_ = far.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, err := far.Read(make([]byte, 1))
	return err == io.EOF
}

func TestOnlyConnectionsSilentSinceTheUnansweredCallAreGivenUp(t *testing.T) {
	at := &clock{now: time.Now()}
	table := conntrack.NewTable(at.read)
	silent, silentFar := pipe(t, table, "a")
	idle, idleFar := pipe(t, table, "a")
	heard, heardFar := pipe(t, table, "a")
	other, otherFar := pipe(t, table, "b")
	hear(t, idle, idleFar)

	at.now = at.now.Add(time.Second)
	sentAt := at.now
	at.now = at.now.Add(time.Second)
	hear(t, heard, heardFar)
	_, laterFar := pipe(t, table, "a")
	assert.Equal(t, table.Len(), 5)

	got := silent.GiveUp(at.now, sentAt, conntrack.All)
	assert.Equal(t, got, conntrack.GivenUp{Address: "a", Count: 2, HeardAgo: 2 * time.Second})
	assert.Check(t, closed(silentFar) && closed(idleFar))
	assert.Check(t, !closed(heardFar), "something came over it since the call was sent")
	assert.Check(t, !closed(laterFar), "it was opened since the call was sent")
	assert.Check(t, !closed(otherFar), "it leads elsewhere")
	assert.Equal(t, table.Len(), 3)
	_, err := idle.Read(make([]byte, 1))
	assert.ErrorIs(t, err, conntrack.ErrGivenUp)
	_, err = idle.Write([]byte{'x'})
	assert.ErrorIs(t, err, conntrack.ErrGivenUp)
	assert.NilError(t, other.Close())
	_, err = other.Read(make([]byte, 1))
	assert.Check(t, err != nil && err != conntrack.ErrGivenUp, "%v", err)
}

func TestConnectionsWithACallUnderWayAreKeptIfAsked(t *testing.T) {
	at := &clock{now: time.Now()}
	table := conntrack.NewTable(at.read)
	silent, silentFar := pipe(t, table, "a")
	busy, busyFar := pipe(t, table, "a")
	was, wasFar := pipe(t, table, "a")
	silent.Begin()
	busy.Begin()
	was.Begin()
	was.End()
	at.now = at.now.Add(time.Second)

	got := silent.GiveUp(at.now, at.now, conntrack.Idle)
	assert.Equal(t, got.Count, 2)
	assert.Check(t, closed(silentFar) && closed(wasFar))
	assert.Check(t, !closed(busyFar))
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
	began := time.Now()
	hear(t, c, far)
	heard := c.HeardAt()
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

func TestACallIsBehindThoseBeforeIt(t *testing.T) {
	at := &clock{now: time.Now()}
	table := conntrack.NewTable(at.read)
	c, _ := pipe(t, table, "a")
	beside, besideFar := pipe(t, table, "a")
	elsewhere, elsewhereFar := pipe(t, table, "b")
	at.now = at.now.Add(time.Second)
	since := at.now
	at.now = at.now.Add(time.Second)
	later, laterFar := pipe(t, table, "a")
	hear(t, later, laterFar)
	hear(t, elsewhere, elsewhereFar)
	assert.Check(t, !c.Behind(since), "only what was open by then counts")
	hear(t, beside, besideFar)
	assert.Check(t, c.Behind(since), "one was answered since")

	now := at.now
	at.now = at.now.Add(time.Second)
	beside.Begin()
	assert.Check(t, !c.Behind(now), "the other one was made later")
	at.now = at.now.Add(time.Second)
	assert.Check(t, c.Behind(at.now), "the other one is under way")
	beside.End()
	assert.Check(t, !c.Behind(at.now))
}

func TestTheConnectionOfAnOverdueCallIsKept(t *testing.T) {
	at := &clock{now: time.Now()}
	table := conntrack.NewTable(at.read)
	overdue, overdueFar := pipe(t, table, "a")
	_, idleFar := pipe(t, table, "a")
	overdue.Begin()
	at.now = at.now.Add(time.Second)

	got := overdue.GiveUpOthers(at.now, at.now, conntrack.Idle)
	assert.Equal(t, got, conntrack.GivenUp{Address: "a", Count: 1, HeardAgo: time.Second})
	assert.Check(t, closed(idleFar))
	assert.Check(t, !closed(overdueFar))
}
