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

// reader is the state of reading the log.
type reader struct {
	// inForce is set once this process may act on the files that it has read. It is never
	// reset, because files in force are only replaced by newer ones.
	inForce bool
	// caughtUp is set when the end of the log has been read since the process started or
	// last found that records are missing.
	caughtUp bool
	// checkpointSearch is set while the records that follow the ledger's position have been deleted
	// from the log: it reads from the oldest remaining record on until it has found a checkpoint.
	checkpointSearch *ledger.Ledger
	reading          bool
	lastFailure      string
	failures         int
	retryAt          time.Time
	fetchAt          time.Time
	// readStartedAt is when the current read was requested.
	readStartedAt time.Time
}

// Retry delays of the reader, and the interval between requests for a peer's snapshot.
const (
	readRetryDelay    = 200 * time.Millisecond
	maxReadRetryDelay = 2 * time.Second
	fetchInterval     = 500 * time.Millisecond
)

// knownOffset returns the offset up to which this process can provide a snapshot to peers:
// 0 until files are in force.
func (c *Core) knownOffset() int64 {
	if !c.reader.inForce {
		return 0
	}
	return c.ledger.NextOffset()
}

// dueReads returns the read of the log that is due. While the log cannot be read, it also
// requests a snapshot from a peer that has read further.
func (c *Core) dueReads(now time.Time) []effect.Effect {
	r := &c.reader
	var effects []effect.Effect
	if !r.reading && !now.Before(r.retryAt) {
		r.reading, r.readStartedAt = true, now
		effects = append(effects, effect.ReadLog{From: c.readOffset()})
	}
	if (r.lastFailure != "" || r.checkpointSearch != nil) && !now.Before(r.fetchAt) {
		r.fetchAt = now.Add(fetchInterval)
		effects = append(effects, c.fetchSnapshot(now)...)
	}
	return effects
}

// readOffset returns the offset from which to read next.
func (c *Core) readOffset() int64 {
	if c.reader.checkpointSearch != nil {
		return c.reader.checkpointSearch.NextOffset()
	}
	return c.ledger.NextOffset()
}

// fetchSnapshot requests the snapshot of the peer that has read furthest, if it has read
// further than this process.
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

// logFailed schedules the next read after a failed one, with an exponential backoff.
func (c *Core) logFailed(now time.Time, e event.LogFailed) []effect.Effect {
	r := &c.reader
	r.reading, r.lastFailure = false, e.Reason
	wait := min(readRetryDelay<<min(r.failures, 8), maxReadRetryDelay)
	r.failures++
	r.retryAt = now.Add(wait)
	return nil
}

// logRead handles the records of a read. If records are missing before the first one, it
// begins to search for a checkpoint.
func (c *Core) logRead(now time.Time, e event.LogRead) []effect.Effect {
	r := &c.reader
	r.reading, r.lastFailure, r.failures = false, "", 0
	if e.First > c.readOffset() {
		r.checkpointSearch, r.caughtUp = ledger.NewCheckpointSearch(e.First), false
		return c.dueReads(now)
	}
	if r.checkpointSearch != nil {
		return c.continueCheckpointSearch(now, e)
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

// continueCheckpointSearch looks for a checkpoint in the records and, once it is complete, continues
// from it.
func (c *Core) continueCheckpointSearch(now time.Time, e event.LogRead) []effect.Effect {
	r := &c.reader
	for _, rec := range e.Records {
		r.checkpointSearch.Apply(rec.Offset, rec.At, rec.Envelope)
	}
	s, ok := r.checkpointSearch.FoundCheckpoint(e.First)
	if !ok || s.Next < c.ledger.NextOffset() {
		return c.dueReads(now)
	}
	effects := c.restore(now, s)
	return append(effects, c.dueReads(now)...)
}

// restore replaces the ledger with a snapshot and answers the publications that it contains. An
// invalid snapshot is ignored.
func (c *Core) restore(now time.Time, s record.Snapshot) []effect.Effect {
	restored, err := ledger.Restore(s)
	if err != nil {
		return nil
	}
	c.ledger.ReplaceWith(restored)
	c.reader.checkpointSearch = nil
	c.journal.LogApplied(now, c.ledger.NextOffset())
	effects := c.answerPublicationsInForce()
	if c.reader.inForce {
		effects = append(effects, c.applyFiles(now)...)
	}
	return effects
}

// snapshotRead handles a peer's snapshot. It is used only while the log cannot be read or
// records are missing from it, and only if it is newer than the ledger.
func (c *Core) snapshotRead(now time.Time, e event.SnapshotRead) []effect.Effect {
	r := &c.reader
	if (r.lastFailure == "" && r.checkpointSearch == nil) || e.Snapshot.Next <= c.ledger.NextOffset() {
		return nil
	}
	effects := c.restore(now, e.Snapshot)
	if c.ledger.NextOffset() == e.Snapshot.Next {
		effects = append(effects, c.putInForce(now)...)
	}
	return effects
}

// putInForce puts the files in force when the log or a snapshot has been read for the first
// time.
func (c *Core) putInForce(now time.Time) []effect.Effect {
	if c.reader.inForce {
		return nil
	}
	c.reader.inForce = true
	return c.applyFiles(now)
}

// applyRecords applies records of the log to the ledger, the journal and the waiting
// publications.
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

// appendDueCheckpoint appends a checkpoint once the latest one in the log is old enough.
// Each box waits for a different time, so that usually only one of them appends it. Two
// boxes that append one at the same time do no harm, since the content of a checkpoint does
// not depend on the box.
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

// indexOf returns the index of name in names, or their number if it is missing.
func indexOf(name string, names []string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return len(names)
}

// notReadyRefusal refuses requests until files are in force.
func notReadyRefusal() request.Refusal {
	return request.Refusal{
		Status: http.StatusServiceUnavailable, Verdict: verdict.NotRun,
		Reason: "this entry box has no configuration in force yet", RetryAfter: time.Second,
	}
}

// Snapshot returns the state read from the log, for a peer. It is empty until files are in
// force.
func (c *Core) Snapshot() record.Snapshot {
	if !c.reader.inForce {
		return record.Snapshot{}
	}
	return c.ledger.Snapshot()
}
