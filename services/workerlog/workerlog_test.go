// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package workerlog_test

import (
	"testing"
	"time"

	"saddlevane/services/workerlog"

	"gotest.tools/v3/assert"
)

// now is the time at which records are added.
var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// logged adds the records of one append to an entry and appends them.
func logged(e *workerlog.Entry) {
	e.MarkSent()
	e.MarkLogged()
}

// The next holder may read any of the records that are in the log, in the pending append or in a later one. Tasks are
// started only if it surely reads that the worker answers, and a lease is never longer than its shortest wait.
func TestEntryFollowsRecordsThatNextHolderMayRead(t *testing.T) {
	const unlimited = -1
	for _, c := range []struct {
		name  string
		entry workerlog.Entry
		do    func(e *workerlog.Entry)
		// mayStart and limit are the expected results.
		mayStart bool
		limit    time.Duration
	}{
		{name: "without a record", do: func(*workerlog.Entry) {}},
		{name: "first record waits", do: func(e *workerlog.Entry) { e.AddAnswering(now) }},
		{name: "first record is sent", do: func(e *workerlog.Entry) {
			e.AddAnswering(now)
			e.MarkSent()
		}},
		{name: "first record is logged", mayStart: true, limit: unlimited, do: func(e *workerlog.Entry) {
			e.AddAnswering(now)
			logged(e)
		}},
		{name: "record that is added after the append was sent is not logged by it", do: func(e *workerlog.Entry) {
			e.MarkSent()
			e.AddAnswering(now)
			e.MarkLogged()
		}},
		{name: "stops answering", entry: workerlog.Logged(), limit: 5 * time.Second, do: func(e *workerlog.Entry) {
			e.AddUnresponsive(now, 5*time.Second)
		}},
		{name: "answers again before the append is sent", entry: workerlog.Logged(), limit: unlimited, do: func(e *workerlog.Entry) {
			e.AddUnresponsive(now, 5*time.Second)
			e.AddAnswering(now)
		}},
		{name: "answers again while the append is pending", entry: workerlog.Logged(), limit: 5 * time.Second, do: func(e *workerlog.Entry) {
			e.AddUnresponsive(now, 5*time.Second)
			e.MarkSent()
			e.AddAnswering(now)
		}},
		{name: "answers again, and the log has the earlier append", entry: workerlog.Logged(), limit: 5 * time.Second, do: func(e *workerlog.Entry) {
			e.AddUnresponsive(now, 5*time.Second)
			e.MarkSent()
			e.AddAnswering(now)
			e.MarkLogged()
		}},
		{name: "answers again, and the log has both", entry: workerlog.Logged(), mayStart: true, limit: unlimited, do: func(e *workerlog.Entry) {
			e.AddUnresponsive(now, 5*time.Second)
			e.MarkSent()
			e.AddAnswering(now)
			e.MarkLogged()
			logged(e)
		}},
		{name: "updated record is not logged yet", entry: workerlog.LoggedUnresponsive(now, 4*time.Second), limit: 2 * time.Second, do: func(e *workerlog.Entry) {
			e.AddUnresponsive(now, 2*time.Second)
		}},
		{name: "record of a second silence is not logged yet", entry: workerlog.LoggedUnresponsive(now, time.Second), limit: time.Second, do: func(e *workerlog.Entry) {
			e.AddAnswering(now)
			e.AddUnresponsive(now, 3*time.Second)
		}},
		{name: "record of a second silence is logged", entry: workerlog.LoggedUnresponsive(now, time.Second), limit: 3 * time.Second, do: func(e *workerlog.Entry) {
			e.AddAnswering(now)
			e.AddUnresponsive(now, 3*time.Second)
			logged(e)
		}},
		{name: "undecodable", entry: workerlog.LoggedUndecodable(), do: func(*workerlog.Entry) {}},
		{name: "undecodable and replaced", entry: workerlog.LoggedUndecodable(), mayStart: true, limit: unlimited, do: func(e *workerlog.Entry) {
			e.AddAnswering(now)
			logged(e)
		}},
		{name: "successor of one that answers", entry: workerlog.Logged(), limit: unlimited, do: func(e *workerlog.Entry) { *e = e.Successor() }},
		{name: "successor of an unresponsive one", entry: workerlog.LoggedUnresponsive(now, 4*time.Second), limit: 4 * time.Second, do: func(e *workerlog.Entry) {
			e.AddAnswering(now)
			*e = e.Successor()
		}},
		{name: "successor of one without a record", do: func(e *workerlog.Entry) { *e = e.Successor() }},
		{name: "successor has a record of its own", entry: workerlog.LoggedUnresponsive(now, 4*time.Second), mayStart: true, limit: unlimited, do: func(e *workerlog.Entry) {
			*e = e.Successor()
			e.AddAnswering(now)
			logged(e)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := c.entry
			c.do(&e)
			assert.Equal(t, e.MayStartTasks(), c.mayStart)
			assert.Equal(t, e.IsLeaseLimited(), c.limit != unlimited)
			if c.limit != unlimited {
				assert.Equal(t, e.LeaseLimit(), c.limit)
			}
		})
	}
}

func TestNewestRecordOfEntry(t *testing.T) {
	var e workerlog.Entry
	assert.Check(t, !e.IsNamed() && !e.IsAnswering() && !e.IsUnresponsive())
	e.AddAnswering(now)
	assert.Check(t, e.IsNamed() && e.IsAnswering() && !e.IsUnresponsive())
	e.MarkSent()
	later := now.Add(time.Second)
	e.AddUnresponsive(later, time.Second)
	assert.Check(t, e.IsNamed() && !e.IsAnswering() && e.IsUnresponsive())
	assert.Equal(t, e.AddedAt(), later)
	s := e.Successor()
	assert.Check(t, s.IsNamed() && !s.IsAnswering() && !s.IsUnresponsive(), "the log names the worker, but not this incarnation")
}
