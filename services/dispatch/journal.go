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
	extraRecords []stream.Record
	// recording names workers among the extra records.
	workerRecords []workerRecord
	// accepts are jobs that the log does not have yet, dirty those whose progress
	// it does not have.
	unloggedJobs []*trackedJob
	dirtyJobs    []*trackedJob
	// starts are the last ones, of which the log is told with what else there is.
	recentStarts recent.Buffer
	// batch is the append under way, or nil.
	batch *batch
	// nextSendAt is when the next append may be sent.
	nextSendAt time.Time
	// failingSince is since when no append has succeeded, or zero.
	failingSince time.Time
}

// batch is one append and what is true once it is in the log.
type batch struct {
	append          stream.Append
	workerRecords   []workerRecord
	newJobs         []*trackedJob
	progressEntries []progressEntry
	sent            bool
	// sentAt is when it was first sent.
	sentAt time.Time
}

// workerRecord is the record of a worker that is to be in the log, and which one of it that is:
// only the last counts.
type workerRecord struct {
	worker *worker
	number int
}

// progressEntry is one job's progress in a batch.
type progressEntry struct {
	job         *trackedJob
	state       job.State
	ends        []*ends.Report[*worker]
	cancelCalls []exchange.CallID
}

// maxBatchBytes bounds one append, in bytes, well below what the log takes.
const maxBatchBytes = 512 << 10

// addRecord has a record in the next append.
func (j *journal) addRecord(r stream.Record) { j.extraRecords = append(j.extraRecords, r) }

// isIdle says whether nothing waits for the log.
func (j *journal) isIdle() bool {
	return j.batch == nil && len(j.extraRecords) == 0 && len(j.unloggedJobs) == 0 && len(j.dirtyJobs) == 0
}

// hasWaitingCallers says whether a caller's job or cancellation waits for the log.
func (j *journal) hasWaitingCallers() bool {
	if len(j.unloggedJobs) > 0 || slices.ContainsFunc(j.dirtyJobs, func(s *trackedJob) bool { return len(s.cancelCalls) > 0 }) {
		return true
	}
	return j.batch != nil && (len(j.batch.newJobs) > 0 ||
		slices.ContainsFunc(j.batch.progressEntries, func(p progressEntry) bool { return len(p.cancelCalls) > 0 }))
}

// isFailing says whether the log has not taken an append for a while.
func (j *journal) isFailing(now time.Time) bool {
	if !j.failingSince.IsZero() && now.Sub(j.failingSince) > appendFailureLimit {
		return true
	}
	return j.batch != nil && j.batch.sent && now.Sub(j.batch.sentAt) > appendAnswerLimit
}

const (
	// appendFailureLimit is how long appends may fail before callers are refused at once.
	appendFailureLimit = 150 * time.Millisecond
	// appendAnswerLimit is how long an append may go without an answer before callers are
	// refused at once. A usual one takes 5 ms, one at a slow log 0.3 s.
	appendAnswerLimit = 450 * time.Millisecond
)

// flush appends what has gathered, if no append is under way.
func (h *holderState) flush(now time.Time) {
	j := &h.journal
	if j.batch != nil {
		if !j.batch.sent && !now.Before(j.nextSendAt) {
			h.sendBatch(now)
		}
		return
	}
	if j.isIdle() && !j.recentStarts.Due(now) || now.Before(j.nextSendAt) || (h.phase == phaseActive && !h.core.authority.Holds(now)) {
		return
	}
	j.batch = h.composeBatch(now)
	j.sequence++
	j.batch.append.Writer = &stream.Writer{Epoch: j.epoch, Sequence: j.sequence}
	h.sendBatch(now)
}

// sendBatch appends the batch, for the first time or again.
func (h *holderState) sendBatch(now time.Time) {
	b := h.journal.batch
	b.sent = true
	if b.sentAt.IsZero() {
		b.sentAt = now
	}
	h.journal.nextSendAt = now.Add(h.core.settings.AppendInterval)
	h.core.emit(exchange.Append{Purpose: exchange.ForJournal, Number: b.append.Writer.Number(), Append: b.append})
}

// composeBatch builds the next append.
func (h *holderState) composeBatch(now time.Time) *batch {
	j := &h.journal
	if slot, starts := j.recentStarts.Take(now, h.needsStartRecord); len(starts) > 0 {
		j.addRecord(kept.RecentStartsRecord(slot, starts))
	}
	b := &batch{append: stream.Append{Stream: stream.Jobs, Records: j.extraRecords}, workerRecords: j.workerRecords}
	j.extraRecords, j.workerRecords = nil, nil
	h.addProgress(b, j.addNewJobs(b))
	return b
}

// addNewJobs adds jobs to accept, as many as fit. It returns the size in
// bytes.
func (j *journal) addNewJobs(b *batch) int {
	size := 0
	for len(j.unloggedJobs) > 0 && size < maxBatchBytes {
		s := j.unloggedJobs[0]
		j.unloggedJobs = j.unloggedJobs[1:]
		b.newJobs = append(b.newJobs, s)
		size += b.addRecord(kept.Submission{Queue: s.acceptedQueue, Submission: *s.submission, Accepted: s.acceptedUnixMilli}.Record())
	}
	return size
}

// addProgress adds the progress of accepted jobs to a batch of some size, in
// bytes, as far as it fits; what does not waits for the next append.
func (h *holderState) addProgress(b *batch, size int) {
	j := &h.journal
	dirty := j.dirtyJobs
	j.dirtyJobs = nil
	for _, s := range dirty {
		if h.jobs[s.id] != s {
			// It was refused before it was in any append.
			s.progressPending = false
			continue
		}
		if size >= maxBatchBytes || !s.accepted && !slices.Contains(b.newJobs, s) {
			j.dirtyJobs = append(j.dirtyJobs, s)
			continue
		}
		s.progressPending = false
		b.progressEntries = append(b.progressEntries, progressEntry{job: s, state: s.state, ends: s.unloggedEnds, cancelCalls: s.cancelCalls})
		s.unloggedEnds, s.cancelCalls = nil, nil
		size += b.addRecord(kept.ProgressRecord(s.id, s.progress(h.blame)))
		if s.state.IsFinal() {
			b.append.Records = append(b.append.Records, kept.DropSubmission(s.id))
		}
	}
}

// addRecord adds a record and returns its size in bytes.
func (b *batch) addRecord(r stream.Record) int {
	b.append.Records = append(b.append.Records, r)
	return len(r.Key) + len(r.Value)
}
