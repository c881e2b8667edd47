// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package core

import (
	"net/http"
	"strconv"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/record"
	"saddlevane/models/request"
	"saddlevane/models/verdict"
	"saddlevane/modules/ordered"
	"saddlevane/services/ledger"
)

// reader is where the process stands in the log.
type reader struct {
	// inForce says that the files known here may be acted on. It never becomes
	// false again: what is in force only grows newer.
	inForce bool
	// head says that the end of the log has been read since the process started
	// or last fell behind.
	caughtUp bool
	// seek is set while the records that follow on the ledger are gone from the
	// log: it reads from the oldest record on until it finds a checkpoint.
	seek        *ledger.Ledger
	reading     bool
	lastFailure string
	failures    int
	retryAt     time.Time
	fetchAt     time.Time
	// began is when the read under way was asked for.
	readStartedAt time.Time
}

// The waits of the reader.
const (
	readRetryDelay    = 200 * time.Millisecond
	maxReadRetryDelay = 2 * time.Second
	fetchInterval     = 500 * time.Millisecond
)

// knownOffset is how far this process can help peers: nowhere while nothing is in
// force.
func (c *Core) knownOffset() int64 {
	if !c.reader.inForce {
		return 0
	}
	return c.ledger.NextOffset()
}

// dueReads returns the read that is due, and asks a peer that knows more while
// the log cannot be read.
func (c *Core) dueReads(now time.Time) []effect.Effect {
	r := &c.reader
	var effects []effect.Effect
	if !r.reading && !now.Before(r.retryAt) {
		r.reading, r.readStartedAt = true, now
		effects = append(effects, effect.ReadLog{From: c.readOffset()})
	}
	if (r.lastFailure != "" || r.seek != nil) && !now.Before(r.fetchAt) {
		r.fetchAt = now.Add(fetchInterval)
		effects = append(effects, c.fetchSnapshot(now)...)
	}
	return effects
}

func (c *Core) readOffset() int64 {
	if c.reader.seek != nil {
		return c.reader.seek.NextOffset()
	}
	return c.ledger.NextOffset()
}

// fetchSnapshot asks the peer that has read furthest for its snapshot.
func (c *Core) fetchSnapshot(now time.Time) []effect.Effect {
	var best effect.FetchSnapshot
	next := c.ledger.NextOffset()
	for name, m := range ordered.Map(c.members.Members()) {
		address, ok := c.members.AddressOf(now, name, m.Hello().Incarnation)
		if ok && m.Hello().Next > next {
			best, next = effect.FetchSnapshot{Box: name, Address: address}, m.Hello().Next
		}
	}
	if best.Box == "" {
		return nil
	}
	return []effect.Effect{best}
}

func (c *Core) logFailed(now time.Time, e event.LogFailed) []effect.Effect {
	r := &c.reader
	r.reading, r.lastFailure = false, e.Reason
	wait := min(readRetryDelay<<min(r.failures, 8), maxReadRetryDelay)
	r.failures++
	r.retryAt = now.Add(wait)
	return nil
}

func (c *Core) logRead(now time.Time, e event.LogRead) []effect.Effect {
	r := &c.reader
	r.reading, r.lastFailure, r.failures = false, "", 0
	if e.First > c.readOffset() {
		r.seek, r.caughtUp = ledger.NewCheckpointSearch(e.First), false
		return c.dueReads(now)
	}
	if r.seek != nil {
		return c.continueSeek(now, e)
	}
	effects := c.applyRecords(now, e.Records)
	if e.AtEnd {
		r.caughtUp = true
		for _, h := range c.holders {
			h.LogRead(r.readStartedAt)
		}
		effects = append(effects, c.putInForce(now)...)
	}
	return append(effects, c.dueReads(now)...)
}

// continueSeek reads towards a checkpoint and goes on from it.
func (c *Core) continueSeek(now time.Time, e event.LogRead) []effect.Effect {
	r := &c.reader
	for _, rec := range e.Records {
		r.seek.Apply(rec.Offset, rec.At, rec.Envelope)
	}
	s, ok := r.seek.FoundCheckpoint(e.First)
	if !ok || s.Next < c.ledger.NextOffset() {
		return c.dueReads(now)
	}
	effects := c.restore(now, s)
	return append(effects, c.dueReads(now)...)
}

// restore goes on from a snapshot.
func (c *Core) restore(now time.Time, s record.Snapshot) []effect.Effect {
	restored, err := ledger.Restore(s)
	if err != nil {
		return nil
	}
	c.ledger.ReplaceWith(restored)
	c.reader.seek = nil
	if !c.reader.inForce {
		return nil
	}
	return c.applyFiles(now)
}

// snapshotRead takes what a peer knows. It is taken over only while the log
// cannot tell, and only if it is newer.
func (c *Core) snapshotRead(now time.Time, e event.SnapshotRead) []effect.Effect {
	r := &c.reader
	if (r.lastFailure == "" && r.seek == nil) || e.Snapshot.Next <= c.ledger.NextOffset() {
		return nil
	}
	effects := c.restore(now, e.Snapshot)
	if c.ledger.NextOffset() == e.Snapshot.Next {
		effects = append(effects, c.putInForce(now)...)
	}
	return effects
}

func (c *Core) putInForce(now time.Time) []effect.Effect {
	if c.reader.inForce {
		return nil
	}
	c.reader.inForce = true
	return c.applyFiles(now)
}

func (c *Core) applyRecords(now time.Time, records []event.LogRecord) []effect.Effect {
	var effects []effect.Effect
	files := false
	for _, rec := range records {
		applied := c.ledger.Apply(rec.Offset, rec.At, rec.Envelope)
		c.journal.RecordApplied(now, applied.ID)
		for _, change := range applied.Changes {
			files = files || change.FilesChanged
			if change.PublishDecision != nil {
				effects = append(effects, c.answerPublication(change.PublishDecision)...)
			}
		}
	}
	if files && c.reader.inForce {
		effects = append(effects, c.applyFiles(now)...)
	}
	return effects
}

// appendDueCheckpoint appends a checkpoint once the youngest in the log has grown
// old. Boxes wait unlike times, so that mostly one of them does it; two that do
// it at once do no harm, since a checkpoint says the same whoever writes it.
func (c *Core) appendDueCheckpoint(now time.Time) {
	if !c.reader.caughtUp || c.reader.lastFailure != "" || !c.journal.Applied(c.checkpointEntry) || c.ledger.NextOffset() == 0 {
		return
	}
	since := c.ledger.CheckpointedAt()
	if since.IsZero() {
		since = c.started
	}
	rank := time.Duration(indexOf(c.self.Box, c.members.Live(now)))
	if now.Sub(since) < c.settings.Retention/4+rank*c.settings.Retention/64 {
		return
	}
	id := c.self.Box + "/" + c.self.Incarnation + "/" + strconv.FormatInt(c.ledger.NextOffset(), 10)
	for _, part := range ledger.SplitCheckpoint(id, c.ledger.Snapshot()) {
		c.checkpointEntry = c.journal.Add(record.Entry{Checkpoint: &part})
	}
}

func indexOf(name string, names []string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return len(names)
}

func notReadyRefusal() request.Refusal {
	return request.Refusal{
		Status: http.StatusServiceUnavailable, Verdict: verdict.NotRun,
		Reason: "this entry box has no configuration in force yet", RetryAfter: time.Second,
	}
}

// Snapshot returns what this process knows of the log, for a peer; nothing while
// nothing is in force.
func (c *Core) Snapshot() record.Snapshot {
	if !c.reader.inForce {
		return record.Snapshot{}
	}
	return c.ledger.Snapshot()
}
