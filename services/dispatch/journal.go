// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/stream"
	"saddlevane/services/ends"
	"saddlevane/services/kept"
	"saddlevane/services/recent"
)

// journal gathers what must last and appends it, one append at a time. Under one
// claim each append has the next sequence number, so that an append whose answer
// was lost can be sent again and takes effect once.
type journal struct {
	epoch    int64
	sequence int64
	// extra are records that are not of jobs: the fence, workers, dropped keys.
	extra []stream.Record
	// recording names workers among the extra records.
	recording []recording
	// accepts are jobs that the log does not have yet, dirty those whose progress
	// it does not have.
	accepts []*submitted
	dirty   []*submitted
	// starts are the last ones, of which the log is told with what else there is.
	starts recent.Starts
	// batch is the append under way, or nil.
	batch *batch
	// sendAt is when the next append may be sent.
	sendAt time.Time
	// failingSince is since when no append has succeeded, or zero.
	failingSince time.Time
}

// batch is one append and what is true once it is in the log.
type batch struct {
	append   stream.Append
	recorded []recording
	accepts  []*submitted
	progress []batched
	sent     bool
	// sentAt is when it was first sent.
	sentAt time.Time
}

// recording is the record of a worker that is to be in the log, and which one of it that is:
// only the last counts.
type recording struct {
	worker *worker
	number int
}

// batched is one job's progress in a batch.
type batched struct {
	job     *submitted
	state   job.State
	ends    []*ends.Report[*worker]
	cancels []exchange.CallID
}

// maxBatch bounds one append, in bytes, well below what the log takes.
const maxBatch = 512 << 10

// add has a record in the next append.
func (j *journal) add(r stream.Record) { j.extra = append(j.extra, r) }

// idle says whether nothing waits for the log.
func (j *journal) idle() bool {
	return j.batch == nil && len(j.extra) == 0 && len(j.accepts) == 0 && len(j.dirty) == 0
}

// callersWait says whether a caller's job or cancellation waits for the log.
func (j *journal) callersWait() bool {
	if len(j.accepts) > 0 || slices.ContainsFunc(j.dirty, func(s *submitted) bool { return len(s.waitCancel) > 0 }) {
		return true
	}
	return j.batch != nil && (len(j.batch.accepts) > 0 ||
		slices.ContainsFunc(j.batch.progress, func(p batched) bool { return len(p.cancels) > 0 }))
}

// failing says whether the log has not taken an append for a while.
func (j *journal) failing(now time.Time) bool {
	if !j.failingSince.IsZero() && now.Sub(j.failingSince) > failingAfter {
		return true
	}
	return j.batch != nil && j.batch.sent && now.Sub(j.batch.sentAt) > silentLog
}

const (
	// failingAfter is how long appends may fail before callers are refused at once.
	failingAfter = 150 * time.Millisecond
	// silentLog is how long an append may go without an answer before callers are
	// refused at once. A usual one takes 5 ms, one at a slow log 0.3 s.
	silentLog = 450 * time.Millisecond
)

// flush appends what has gathered, if no append is under way.
func (h *holding) flush(now time.Time) {
	j := &h.journal
	if j.batch != nil {
		if !j.batch.sent && !now.Before(j.sendAt) {
			h.send(now)
		}
		return
	}
	if j.idle() && !j.starts.Due(now) || now.Before(j.sendAt) || (h.phase == active && !h.core.authority.Holds(now)) {
		return
	}
	j.batch = h.compose(now)
	j.sequence++
	j.batch.append.Writer = &stream.Writer{Epoch: j.epoch, Sequence: j.sequence}
	h.send(now)
}

// send appends the batch, for the first time or again.
func (h *holding) send(now time.Time) {
	b := h.journal.batch
	b.sent = true
	if b.sentAt.IsZero() {
		b.sentAt = now
	}
	h.journal.sendAt = now.Add(h.core.settings.Gather)
	h.core.do(exchange.Append{Purpose: exchange.ForJournal, Number: b.append.Writer.Number(), Append: b.append})
}

// compose builds the next append.
func (h *holding) compose(now time.Time) *batch {
	j := &h.journal
	if slot, starts := j.starts.Take(now, h.needsStartRecord); len(starts) > 0 {
		j.add(kept.RecentStartsRecord(slot, starts))
	}
	b := &batch{append: stream.Append{Stream: stream.Jobs, Records: j.extra}, recorded: j.recording}
	j.extra, j.recording = nil, nil
	h.composeProgress(b, j.composeAccepts(b))
	return b
}

// composeAccepts adds jobs to accept, as many as fit. It returns the size in
// bytes.
func (j *journal) composeAccepts(b *batch) int {
	size := 0
	for len(j.accepts) > 0 && size < maxBatch {
		s := j.accepts[0]
		j.accepts = j.accepts[1:]
		b.accepts = append(b.accepts, s)
		size += b.put(kept.Submission{Queue: s.acceptedIn, Submission: *s.submission, Accepted: s.acceptedUnix}.Record())
	}
	return size
}

// composeProgress adds the progress of accepted jobs to a batch of some size, in
// bytes, as far as it fits; what does not waits for the next append.
func (h *holding) composeProgress(b *batch, size int) {
	j := &h.journal
	dirty := j.dirty
	j.dirty = nil
	for _, s := range dirty {
		if h.jobs[s.id] != s {
			// It was refused before it was in any append.
			s.dirty = false
			continue
		}
		if size >= maxBatch || !s.accepted && !slices.Contains(b.accepts, s) {
			j.dirty = append(j.dirty, s)
			continue
		}
		s.dirty = false
		b.progress = append(b.progress, batched{job: s, state: s.state, ends: s.ends, cancels: s.waitCancel})
		s.ends, s.waitCancel = nil, nil
		size += b.put(kept.ProgressRecord(s.id, s.progress(h.docket)))
		if s.state.Final() {
			b.append.Records = append(b.append.Records, kept.DropSubmission(s.id))
		}
	}
}

// put adds a record and returns its size in bytes.
func (b *batch) put(r stream.Record) int {
	b.append.Records = append(b.append.Records, r)
	return len(r.Key) + len(r.Value)
}
