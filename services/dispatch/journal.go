// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/stream"
	"saddlevane/services/endreports"
	"saddlevane/services/jobrecords"
	"saddlevane/services/startlog"
)

// journal collects durable state and appends it to the stream of jobs, one append at a
// time. The appends of a claim have consecutive sequence numbers, so that an append whose
// answer was lost can be sent again and takes effect once.
type journal struct {
	epoch    int64
	sequence int64
	// extraRecords are records that do not describe jobs: the fence, workers, deleted keys.
	extraRecords []stream.Record
	// recordedWorkers are the workers whose records are among extraRecords.
	recordedWorkers []*worker
	// endsToRecord are ends of runs that get records of their own.
	endsToRecord []endToRecord
	// unloggedJobs are submitted jobs that the log does not have yet, dirtyJobs the jobs whose
	// latest progress it does not have.
	unloggedJobs []*trackedJob
	dirtyJobs    []*trackedJob
	// recentStarts are the latest start orders. They are mostly written with appends that are
	// made for other reasons.
	recentStarts startlog.Buffer
	// batch is the pending append, or nil.
	batch *batch
	// nextSendAt is when the next append may be sent.
	nextSendAt time.Time
	// failingSince is when the first append after the last success failed, or zero.
	failingSince time.Time
}

// batch is one append, with the state changes that take effect once the log has it.
type batch struct {
	append          stream.Append
	recordedWorkers []*worker
	recordedEnds    []*endreports.Report[*worker]
	newJobs         []*trackedJob
	progressEntries []progressEntry
	sent            bool
	// sentAt is when it was first sent.
	sentAt time.Time
}

// progressEntry is the progress of one job in a batch: the state that is written, the ends
// that can be acknowledged and the cancel calls that can be answered once the log has it.
type progressEntry struct {
	job         *trackedJob
	state       job.State
	ends        []*endreports.Report[*worker]
	cancelCalls []exchange.CallID
}

// endToRecord is the record of an end, and the report to acknowledge once the log has it, or nil.
type endToRecord struct {
	record stream.Record
	report *endreports.Report[*worker]
}

// maxBatchBytes is the size, in bytes, from which an append gets no more jobs. It is well
// below the size limit of the log.
const maxBatchBytes = 512 << 10

// addRecord adds a record to the next append.
func (j *journal) addRecord(r stream.Record) { j.extraRecords = append(j.extraRecords, r) }

// addWorkerRecord adds a record of a worker to the next append.
func (j *journal) addWorkerRecord(w *worker, r stream.Record) {
	j.recordedWorkers = append(j.recordedWorkers, w)
	j.addRecord(r)
}

// isIdle reports whether no append is pending and nothing but recent starts waits for one.
func (j *journal) isIdle() bool {
	return j.batch == nil && len(j.extraRecords) == 0 && len(j.unloggedJobs) == 0 && len(j.dirtyJobs) == 0 && len(j.endsToRecord) == 0
}

// hasWaitingCallers reports whether a submitted job or a cancellation waits for the log.
func (j *journal) hasWaitingCallers() bool {
	if len(j.unloggedJobs) > 0 || slices.ContainsFunc(j.dirtyJobs, func(tj *trackedJob) bool { return len(tj.cancelCalls) > 0 }) {
		return true
	}
	return j.batch != nil && (len(j.batch.newJobs) > 0 ||
		slices.ContainsFunc(j.batch.progressEntries, func(p progressEntry) bool { return len(p.cancelCalls) > 0 }))
}

// isFailing reports whether appends have failed for longer than appendFailureLimit, or the
// pending one is unanswered for longer than appendAnswerLimit.
func (j *journal) isFailing(now time.Time) bool {
	if !j.failingSince.IsZero() && now.Sub(j.failingSince) > appendFailureLimit {
		return true
	}
	return j.batch != nil && j.batch.sent && now.Sub(j.batch.sentAt) > appendAnswerLimit
}

const (
	// appendFailureLimit is how long appends may fail before calls are refused immediately.
	appendFailureLimit = 150 * time.Millisecond
	// appendAnswerLimit is how long an append may be unanswered before calls are refused
	// immediately. An append usually takes 5 ms, and 0.3 s if the log is slow.
	appendAnswerLimit = 450 * time.Millisecond
)

// flush sends the next append if none is pending, or resends the pending one if it failed.
func (h *holderState) flush(now time.Time) {
	j := &h.journal
	if j.batch != nil {
		if !j.batch.sent && !now.Before(j.nextSendAt) {
			h.sendBatch(now)
		}
		return
	}
	if j.isIdle() && !j.recentStarts.Due(now) && !h.startOrders.NeedsAppend(now) || now.Before(j.nextSendAt) || (h.phase == phaseActive && !h.core.authority.IsHolder(now)) {
		return
	}
	j.batch = h.composeBatch(now)
	j.sequence++
	j.batch.append.Writer = &stream.Writer{Epoch: j.epoch, Sequence: j.sequence}
	h.sendBatch(now)
}

// sendBatch sends the batch, for the first time or as a retry.
func (h *holderState) sendBatch(now time.Time) {
	b := h.journal.batch
	b.sent = true
	if b.sentAt.IsZero() {
		b.sentAt = now
	}
	h.journal.nextSendAt = now.Add(h.core.settings.AppendInterval)
	h.core.emit(exchange.Append{Purpose: exchange.ForJournal, Number: b.append.Writer.Number(), Append: b.append})
}

// composeBatch builds the next append from all that waits for it.
func (h *holderState) composeBatch(now time.Time) *batch {
	j := &h.journal
	if slot, starts := j.recentStarts.Take(now, h.needsStartRecord); len(starts) > 0 {
		j.addRecord(jobrecords.RecentStartsRecord(slot, starts))
	}
	b := &batch{append: stream.Append{Stream: stream.Jobs, Records: j.extraRecords}, recordedWorkers: j.recordedWorkers}
	j.extraRecords, j.recordedWorkers = nil, nil
	for _, w := range b.recordedWorkers {
		w.logged.MarkSent()
	}
	h.addStartsInTransit(now, b)
	size := j.addNewJobs(b)
	size += j.addEnds(b, size)
	h.addProgress(b, size)
	return b
}

// addNewJobs adds submitted jobs to a batch, as many as fit, and returns their size in
// bytes.
func (j *journal) addNewJobs(b *batch) int {
	size := 0
	for len(j.unloggedJobs) > 0 && size < maxBatchBytes {
		tj := j.unloggedJobs[0]
		j.unloggedJobs = j.unloggedJobs[1:]
		b.newJobs = append(b.newJobs, tj)
		size += b.addRecord(jobrecords.Submission{
			Queue: tj.acceptedQueue, ConfigVersion: tj.acceptedVersion, Submission: *tj.submission, Accepted: tj.acceptedUnixMilli,
		}.Record())
	}
	return size
}

// addEnds adds the records of ends to a batch that has a size in bytes, as many as fit, and returns
// their size.
func (j *journal) addEnds(b *batch, size int) int {
	added := 0
	for len(j.endsToRecord) > 0 && size+added < maxBatchBytes {
		e := j.endsToRecord[0]
		j.endsToRecord = j.endsToRecord[1:]
		added += b.addRecord(e.record)
		if e.report != nil {
			b.recordedEnds = append(b.recordedEnds, e.report)
		}
	}
	return added
}

// addProgress adds the progress of dirty jobs that are accepted, or are accepted with this
// batch, to a batch that has a size in bytes. What does not fit waits for the next append.
func (h *holderState) addProgress(b *batch, size int) {
	j := &h.journal
	dirty := j.dirtyJobs
	j.dirtyJobs = nil
	for _, tj := range dirty {
		if h.jobs[tj.id] != tj {
			// The job was refused before it was part of any append.
			tj.progressPending = false
			continue
		}
		if size >= maxBatchBytes || !tj.accepted && !slices.Contains(b.newJobs, tj) {
			j.dirtyJobs = append(j.dirtyJobs, tj)
			continue
		}
		tj.progressPending = false
		b.progressEntries = append(b.progressEntries, progressEntry{job: tj, state: tj.state, ends: tj.unloggedEnds, cancelCalls: tj.cancelCalls})
		tj.unloggedEnds, tj.cancelCalls = nil, nil
		size += b.addRecord(jobrecords.ProgressRecord(tj.id, tj.progress(h.blame)))
		if tj.state.IsFinal() {
			b.append.Records = append(b.append.Records, jobrecords.DropSubmission(tj.id))
			for _, run := range tj.recordedEnds {
				b.append.Records = append(b.append.Records, jobrecords.DropEnd(run))
			}
		}
	}
}

// addRecord adds a record to the batch and returns its size in bytes.
func (b *batch) addRecord(r stream.Record) int {
	b.append.Records = append(b.append.Records, r)
	return len(r.Key) + len(r.Value)
}

// hasPendingProgress reports whether the log does not have the latest progress of a job yet.
func (j *journal) hasPendingProgress(tj *trackedJob) bool {
	return tj.progressPending || j.batch != nil && slices.ContainsFunc(j.batch.progressEntries, func(b progressEntry) bool { return b.job == tj })
}
