// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package journal queues what a process has to append to the log. One append is
// under way at a time and carries all that has gathered, because the log takes
// few appends and the process shares it with all others.
package journal

import (
	"strconv"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/record"
)

// EntryNumber numbers an entry; entries reach the log in the order of their tickets.
type EntryNumber int64

// The bounds of one envelope. Publishes carry whole files, so they count for
// more.
const (
	maxEntries    = 256
	publishWeight = 128
)

// Settings bound a Journal.
type Settings struct {
	// Interval is the least time between the starts of two appends.
	Interval time.Duration
	// RetryAfter is the time from a failed append to the next try.
	RetryAfter time.Duration
	// Limit is the most entries that wait.
	Limit int
}

// Journal is the queue. It is not safe for concurrent use.
type Journal struct {
	settings Settings
	from     string
	queue    []record.Entry
	// first is the ticket of queue[0].
	first   EntryNumber
	applied EntryNumber
	current *record.Envelope
	// size is how many entries of queue are in current.
	currentSize  int
	inFlight     bool
	lastEnvelope int64
	nextAt       time.Time
	lastFailure  string
	// failures counts tries in a row that failed.
	failures int
}

// New returns an empty queue whose envelopes come from the given process.
func New(s Settings, from string) *Journal {
	return &Journal{settings: s, from: from, first: 1}
}

// Add queues an entry.
func (j *Journal) Add(e record.Entry) EntryNumber {
	j.queue = append(j.queue, e)
	return j.first + EntryNumber(len(j.queue)-1)
}

// Full says that producers should hold back.
func (j *Journal) Full() bool { return len(j.queue) >= j.settings.Limit }

// Pending returns how many entries are not yet known to be in the log.
func (j *Journal) Pending() int { return len(j.queue) }

// FailureReason returns why the last append failed, or "".
func (j *Journal) FailureReason() string { return j.lastFailure }

// Applied says whether the entry of t has been read back from the log.
func (j *Journal) Applied(t EntryNumber) bool { return t <= j.applied }

// Tick returns the append that is due, if any.
func (j *Journal) Tick(now time.Time) []effect.Effect {
	if j.inFlight || len(j.queue) == 0 || now.Before(j.nextAt) {
		return nil
	}
	if j.current == nil {
		j.buildEnvelope()
	}
	j.inFlight = true
	j.nextAt = now.Add(j.settings.Interval)
	return []effect.Effect{effect.Append{Envelope: *j.current}}
}

func (j *Journal) buildEnvelope() {
	weight := 0
	n := 0
	for n < len(j.queue) && (n == 0 || weight < maxEntries) {
		weight += entryWeight(j.queue[n])
		n++
	}
	j.lastEnvelope++
	j.currentSize = n
	j.current = &record.Envelope{
		ID:      j.from + "/" + strconv.FormatInt(j.lastEnvelope, 10),
		From:    j.from,
		Entries: j.queue[:n:n],
	}
}

func entryWeight(e record.Entry) int {
	if e.Publish != nil || e.Checkpoint != nil {
		return publishWeight
	}
	return 1
}

// AppendEnded takes the end of one try. A failed try is made again with the
// same record, because it may be in the log all the same.
func (j *Journal) AppendEnded(now time.Time, e event.AppendEnded) {
	if j.current == nil || e.ID != j.current.ID {
		return
	}
	j.inFlight = false
	j.lastFailure = e.Failure
	// Tries get rarer, so that a log that comes back is not met by all at once.
	wait := j.settings.RetryAfter << min(j.failures, maxBackoffDoublings)
	j.failures++
	if e.Failure == "" {
		// It is in the log. Should the reader not see it within this time, it is
		// appended again, which does no harm.
		wait = readBackTimeout
	}
	j.nextAt = now.Add(wait)
}

const maxBackoffDoublings = 3

const readBackTimeout = 5 * time.Second

// RecordApplied takes the identity of a record that was read from the log.
func (j *Journal) RecordApplied(now time.Time, id string) {
	if j.current == nil || id != j.current.ID {
		return
	}
	j.queue = j.queue[j.currentSize:]
	j.first += EntryNumber(j.currentSize)
	j.applied = j.first - 1
	j.current, j.currentSize, j.inFlight, j.lastFailure, j.failures = nil, 0, false, "", 0
	if j.nextAt.After(now.Add(j.settings.Interval)) {
		j.nextAt = now.Add(j.settings.Interval)
	}
}
