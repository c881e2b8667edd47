// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package journal_test

import (
	"testing"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/record"
	"saddlevane/services/journal"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

func mark() record.Entry { return record.Entry{Mark: &record.Mark{}} }

func sentEnvelope(t *testing.T, effects []effect.Effect) record.Envelope {
	t.Helper()
	assert.Equal(t, len(effects), 1)
	return effects[0].(effect.Append).Envelope
}

func TestPendingEntriesShareOneAppendAndRetriesAreUnchanged(t *testing.T) {
	j := journal.New(journal.Settings{Interval: 100 * time.Millisecond, RetryAfter: time.Second, Limit: 10}, "me")
	first, second := j.Add(mark()), j.Add(mark())
	e := sentEnvelope(t, j.Tick(start))
	assert.Equal(t, len(e.Entries), 2)
	third := j.Add(mark())
	assert.Equal(t, len(j.Tick(start.Add(time.Second))), 0, "no second append while one is in flight")

	// The answer is lost, so that the same envelope is sent again, without the entry added since.
	j.AppendEnded(start.Add(time.Second), event.AppendEnded{ID: e.ID, Failure: "lost"})
	assert.Check(t, j.FailureReason() != "")
	again := sentEnvelope(t, j.Tick(start.Add(3*time.Second)))
	assert.DeepEqual(t, again, e)

	// The envelope is read back, because the log had accepted the first append.
	j.RecordApplied(start.Add(3*time.Second), e.ID)
	assert.Check(t, j.Applied(first) && j.Applied(second) && !j.Applied(third))
	assert.Equal(t, j.FailureReason(), "")
	next := sentEnvelope(t, j.Tick(start.Add(4*time.Second)))
	assert.Check(t, next.ID != e.ID)
	assert.Equal(t, len(next.Entries), 1)
}

// An append that succeeded is repeated if it is not read back. Such appends are no failures, so a later
// failure is retried after the first delay.
func TestAppendsThatAreNotReadBackDoNotCountAsFailures(t *testing.T) {
	j := journal.New(journal.Settings{Interval: 100 * time.Millisecond, RetryAfter: time.Second, Limit: 10}, "me")
	j.Add(mark())
	now := start
	for range 3 {
		e := sentEnvelope(t, j.Tick(now))
		j.AppendEnded(now, event.AppendEnded{ID: e.ID})
		now = now.Add(10 * time.Second)
	}
	e := sentEnvelope(t, j.Tick(now))
	j.AppendEnded(now, event.AppendEnded{ID: e.ID, Failure: "lost"})
	assert.Equal(t, len(j.Tick(now.Add(time.Second))), 1)
}

func TestFailedAppendsBackOff(t *testing.T) {
	j := journal.New(journal.Settings{Interval: time.Millisecond, RetryAfter: time.Second, Limit: 10}, "me")
	j.Add(mark())
	now, appends := start, 0
	for range 60 {
		for _, e := range j.Tick(now) {
			appends++
			j.AppendEnded(now, event.AppendEnded{ID: e.(effect.Append).Envelope.ID, Failure: "down"})
		}
		now = now.Add(time.Second)
	}
	assert.Check(t, appends < 12, "%d appends in a minute", appends)
	for range 10 {
		j.Add(mark())
	}
	assert.Check(t, j.Full())
}
