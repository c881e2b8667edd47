// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package journal queues the entries that a process appends to the log. There is at
// most one append in flight, and it contains as many pending entries as an envelope
// holds, because the log supports only a low rate of appends and is shared by all
// processes.
package journal

import (
	"strconv"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/record"
)

// EntryNumber identifies an entry of a Journal. Numbers start at 1 and increase in the order
// in which the entries are added, which is also their order in the log.
type EntryNumber int64

const (
	// maxEntries bounds the total weight of the entries in one envelope, where a plain entry
	// has weight 1.
	maxEntries = 256
	// publishWeight is the weight of a publication or a checkpoint, which can contain a
	// whole file.
	publishWeight = 128
)

// Settings configures a Journal.
type Settings struct {
	// Interval is the minimum time between the starts of two appends.
	Interval time.Duration
	// RetryAfter is the delay before an append is retried after its first failure. It
	// doubles with each further failure, up to a limit.
	RetryAfter time.Duration
	// Limit is the number of pending entries from which the journal is full.
	Limit int
}

// Journal is the queue of entries to append. It is not safe for concurrent use.
type Journal struct {
	settings Settings
	// from identifies the process in its envelopes.
	from  string
	queue []record.Entry
	// first is the number of queue[0].
	first EntryNumber
	// applied is the number of the last entry that was read back from the log.
	applied EntryNumber
	// current is the envelope that is being appended or retried, or nil.
	current *record.Envelope
	// currentSize is the number of entries of queue that are in current.
	currentSize int
	// currentOffset is the offset of current in the log, or unknownOffset.
	currentOffset int64
	// inFlight is set while an append of current has not been answered.
	inFlight bool
	// lastEnvelope is the number of the last envelope that was built.
	lastEnvelope int64
	// nextAt is the earliest time of the next append.
	nextAt time.Time
	// lastFailure is the reason why the last append failed, or "".
	lastFailure string
	// failures is the number of failed appends of current.
	failures int
}

// New returns an empty journal. From identifies the process and prefixes the IDs of its envelopes.
func New(s Settings, from string) *Journal {
	return &Journal{settings: s, from: from, first: 1}
}

// Add queues an entry and returns its number.
func (j *Journal) Add(e record.Entry) EntryNumber {
	j.queue = append(j.queue, e)
	return j.first + EntryNumber(len(j.queue)-1)
}

// Full reports whether the limit of pending entries is reached, so that producers should
// add no more. Add does not enforce it.
func (j *Journal) Full() bool { return len(j.queue) >= j.settings.Limit }

// Pending returns the number of entries that have not been read back from the log.
func (j *Journal) Pending() int { return len(j.queue) }

// FailureReason returns the reason why the last append failed, or "" if it succeeded.
func (j *Journal) FailureReason() string { return j.lastFailure }

// Applied reports whether the entry with number n has been read back from the log.
func (j *Journal) Applied(n EntryNumber) bool { return n <= j.applied }

// Tick returns the append that is due, or nil if there is none.
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

// buildEnvelope makes the first pending entries the current envelope.
func (j *Journal) buildEnvelope() {
	weight := 0
	n := 0
	for n < len(j.queue) && (n == 0 || weight < maxEntries) {
		weight += entryWeight(j.queue[n])
		n++
	}
	j.lastEnvelope++
	j.currentSize = n
	j.currentOffset = unknownOffset
	j.current = &record.Envelope{
		ID:      j.from + "/" + strconv.FormatInt(j.lastEnvelope, 10),
		From:    j.from,
		Entries: j.queue[:n:n],
	}
}

// entryWeight returns the weight of an entry toward maxEntries.
func entryWeight(e record.Entry) int {
	if e.Publish != nil || e.Checkpoint != nil {
		return publishWeight
	}
	return 1
}

// AppendEnded handles the result of an append. A failed append is retried with the same
// envelope, because the log may contain the envelope despite the failure.
func (j *Journal) AppendEnded(now time.Time, e event.AppendEnded) {
	if j.current == nil || e.ID != j.current.ID {
		return
	}
	j.inFlight = false
	j.lastFailure = e.Failure
	// The delay grows, so that a recovering log does not receive the retries of all
	// processes at once.
	wait := j.settings.RetryAfter << min(j.failures, maxBackoffDoublings)
	if e.Failure != "" {
		j.failures++
	} else {
		// The envelope is in the log. If it is not read back within this time, it is
		// appended again, which has no effect on the state because the ID is the same.
		wait = readBackTimeout
		if j.currentOffset == unknownOffset {
			j.currentOffset = e.Offset
		}
	}
	j.nextAt = now.Add(wait)
}

// unknownOffset is the offset of an envelope of which no append has been confirmed.
const unknownOffset = -1

// maxBackoffDoublings bounds how often the retry delay is doubled.
const maxBackoffDoublings = 3

// readBackTimeout is the time after a successful append within which the envelope should be
// read back from the log.
const readBackTimeout = 5 * time.Second

// RecordApplied handles an envelope with the given ID that was read from the log. If it is the
// current one, its entries are removed from the queue.
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

// LogApplied handles that all records before offset next have been applied, one by one or as part
// of a snapshot, which does not name them. If the current envelope is one of them, its entries are
// removed from the queue.
func (j *Journal) LogApplied(now time.Time, next int64) {
	if j.current == nil || j.currentOffset == unknownOffset || j.currentOffset >= next {
		return
	}
	j.RecordApplied(now, j.current.ID)
}
