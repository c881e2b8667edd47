// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/ordered"
	"saddlevane/services/kept"
)

// A new holder asks all workers what they run before it starts any task that an earlier one
// may have started. One that does not answer would hold all of them up until its lease is
// over, and each handover would begin the wait anew. So the log is told what may run on a
// worker once it does not answer, and nothing is started there until the log has it that it
// answers again: the next holder takes those runs as being at work, and all others are free.

// unresponsiveRecord is what the log is told of a worker that does not answer.
type unresponsiveRecord struct {
	// kept says that the log has it, or is about to, at is when it was last told.
	written   bool
	writtenAt time.Time
	// late is by how much an earlier holder may have seen it too late.
	detectionDelay time.Duration
}

const (
	// failuresBeforeRecord is after how many looks without an answer in a row the log is told: one
	// may have been lost.
	failuresBeforeRecord = 2
	// unresponsiveRecordInterval is when the log is told again how long the lease of a silent worker lasts
	// at most.
	unresponsiveRecordInterval = 2 * time.Second
)

// refreshUnresponsiveRecord has the log tell what may run on a worker that does not answer.
func (h *holderState) refreshUnresponsiveRecord(now time.Time, w *worker) {
	again := w.unresponsive.written
	switch {
	case w.failures < failuresBeforeRecord, !again && !w.reported:
		return
	case again && (now.Sub(w.unresponsive.writtenAt) < unresponsiveRecordInterval || h.journal.isFailing(now)):
		return
	}
	h.recordUnresponsive(now, w)
}

// recordUnresponsive adds the record of a silent worker to the next append. No start may be ordered
// to it until a later record says that it answers.
func (h *holderState) recordUnresponsive(now time.Time, w *worker) {
	late := w.detectionDelay()
	w.unresponsive = unresponsiveRecord{written: true, writtenAt: now, detectionDelay: w.unresponsive.detectionDelay}
	w.recorded, w.recordPending = false, false
	w.recordCount++
	s := kept.UnresponsiveState{DetectionDelay: job.Milliseconds(late.Milliseconds()), LeaseLeft: job.Milliseconds(max(0, w.leaseExpiresBy.Sub(now)).Milliseconds())}
	for _, a := range w.sortedAttempts() {
		s.Runs = append(s.Runs, a.runID())
		s.WorkTimes = append(s.WorkTimes, a.recordedWorkTime(w.presence.SilentSince()))
	}
	for run := range ordered.By(w.orphans, order.Run.Compare) {
		s.Runs = append(s.Runs, run)
	}
	h.journal.addRecord(kept.UnresponsiveWorkerRecord(w.Worker, s))
}

// recordedWorkTime returns for how long an attempt had been at work at a time, as the log keeps
// it. Without it each crash that was followed by a takeover counted as one after a lease or
// more of work, that is for next to nothing, and a task that crashes its workers took seven.
func (a *attempt) recordedWorkTime(at time.Time) job.Milliseconds {
	if worked, known := a.workTime(at); known {
		return job.Milliseconds(worked.Milliseconds())
	}
	return -1
}

// recordResponsive has the log tell that a worker answers again.
func (h *holderState) recordResponsive(w *worker) {
	if w.unresponsive.written {
		w.unresponsive = unresponsiveRecord{}
		w.recorded, w.recordPending = false, false
		h.recordWorker(w)
	}
}

// restoreUnresponsive takes over a worker that was silent under an earlier holder: what may run on it
// is known, and counts as being at work until it answers or its lease is over.
func (h *holderState) restoreUnresponsive(now time.Time, w *worker, s *kept.UnresponsiveState) {
	w.unresponsive = unresponsiveRecord{written: true, writtenAt: now, detectionDelay: s.DetectionDelay.Duration()}
	w.leaseExpiresBy = ordered.Later(w.leaseExpiresBy, now.Add(min(h.maxLeaseDuration(), s.LeaseLeft.Duration())))
	for i, run := range s.Runs {
		a := h.restoreRun(now, w, run)
		if worked, known := s.WorkTime(i); a != nil && known {
			a.workedUntilSilence, a.workedUntilSilenceKnown = worked, true
		}
	}
}

// restoreRun takes a run as being at work on a silent worker, and returns it, or nil if it is
// over. Where the log names two runs of a task, the first was over before the second was
// ordered.
func (h *holderState) restoreRun(now time.Time, w *worker, run order.Run) *attempt {
	s := h.findStep(run.Task.StepID)
	if s == nil || run.Task.Index >= len(s.tasks) || s.job.state.IsFinal() {
		return nil
	}
	t := &s.tasks[run.Task.Index]
	if t.done || !t.isSupersededBy(run) {
		return nil
	}
	if t.attempt != nil {
		h.unassign(t.attempt)
	}
	a := &attempt{
		step: s, index: run.Task.Index, run: run.Number, worker: w, state: attemptRunning, stateSince: now, stopConfirmed: true, adopted: true,
		pace: unknownPace, onlyLogged: true,
	}
	h.assign(now, a)
	s.lastRun = max(s.lastRun, run.Number)
	return a
}

// isSupersededBy says whether a run is later than the one that the log told of, if any did, and
// no other is known.
func (t *task) isSupersededBy(run order.Run) bool {
	if t.attempt == nil {
		return run.Number > t.lastRun
	}
	return t.attempt.onlyLogged && run.Number > t.attempt.run
}
