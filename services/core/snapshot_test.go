// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package core_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/peer"
	"saddlevane/models/record"
	"saddlevane/services/core"

	"github.com/oklog/ulid/v2"
	"gotest.tools/v3/assert"
)

// TestPublicationIsNotDelayedByAppendThatIsReadFromSnapshot guards against a journal that
// waits to read back an append that a peer's snapshot already contains, while later
// publications wait behind it.
func TestPublicationIsNotDelayedByAppendThatIsReadFromSnapshot(t *testing.T) {
	for seed := range uint64(20) {
		w := newSettledWorld(t, seed)
		n := w.nodes[0]
		n.dropsLogReads = true
		for i := range 3 {
			name := fmt.Sprintf("work%d", i)
			asked := w.now
			r := w.publish(n, name, name, 0, oneJob(name))
			assert.Equal(t, r.Outcome, effect.Accepted, "seed %d, publication %d: %v", seed, i, r)
			took := w.now.Sub(asked)
			assert.Check(t, took <= 3*time.Second, "seed %d, publication %d: answered after %v", seed, i, took)
		}
	}
}

// TestPublicationIsNotDelayedByAppendAnsweredAfterSnapshot guards against the same delay if
// the snapshot arrives before the answer to the append.
func TestPublicationIsNotDelayedByAppendAnsweredAfterSnapshot(t *testing.T) {
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	c, reader := newCore(now, "e1"), newCore(now, "e2")
	c.Handle(now, event.LogRead{AtEnd: true})
	first := publishAppend(t, c.Handle(now, publishAsked("first")))
	c.Handle(now, event.LogFailed{Reason: "cut"})
	reader.Handle(now, event.LogRead{AtEnd: true, Records: []event.LogRecord{{At: now, Envelope: first}}})

	c.Handle(now, event.SnapshotRead{From: "e2", Snapshot: reader.Snapshot()})
	c.Handle(now, event.AppendEnded{ID: first.ID, Offset: 0})
	now = now.Add(settings().Journal.Interval)
	second := publishAppend(t, c.Handle(now, publishAsked("second")))
	assert.Equal(t, second.Entries[0].Publish.ID, "second")
}

// TestAppendThatFollowsSnapshotIsNotTakenForApplied guards against an append being taken for
// applied because of a snapshot of the log before it.
func TestAppendThatFollowsSnapshotIsNotTakenForApplied(t *testing.T) {
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	c, reader := newCore(now, "e1"), newCore(now, "e2")
	c.Handle(now, event.LogRead{AtEnd: true})
	first := publishAppend(t, c.Handle(now, publishAsked("first")))
	c.Handle(now, event.LogFailed{Reason: "cut"})
	other := record.Envelope{ID: "e3/i1/1", From: "e3/i1", Entries: []record.Entry{{Mark: &record.Mark{}}}}
	reader.Handle(now, event.LogRead{AtEnd: true, Records: []event.LogRecord{{At: now, Envelope: other}}})

	c.Handle(now, event.AppendEnded{ID: first.ID, Offset: 1})
	c.Handle(now, event.SnapshotRead{From: "e2", Snapshot: reader.Snapshot()})
	assert.Equal(t, c.Dump(now).Process.Log.Next, int64(1))
	assert.Equal(t, c.Dump(now).Process.Log.Waiting, 1)
}

func newCore(now time.Time, name string) *core.Core {
	self := peer.Hello{Box: name, Incarnation: "i1", Domain: "a", Address: name}
	return core.New(now, settings(), policies(), self, func(time.Time) ulid.ULID { return ulid.ULID{} })
}

func oneJob(name string) string {
	return "name: " + name + "\njobs:\n  - {name: " + name + ", team: t, count: 1, resources: {processors: 1}, command: [sleep, 1s]}\n"
}

// publishAsked returns the publication of a cell file that declares no workers.
func publishAsked(name string) event.PublishAsked {
	data := "name: " + name + "\nteams:\n  - {name: " + name + ", quota: {processors: 1, memory: 1GiB}}\n"
	return event.PublishAsked{Waiter: 1, Publish: record.Publish{ID: name, File: name, Data: data}, Timeout: 5 * time.Second}
}

// publishAppend returns the envelope that the effects append.
func publishAppend(t *testing.T, effects []effect.Effect) record.Envelope {
	t.Helper()
	for _, e := range effects {
		if a, ok := e.(effect.Append); ok {
			return a.Envelope
		}
	}
	t.Fatalf("no append among %v", effects)
	return record.Envelope{}
}
