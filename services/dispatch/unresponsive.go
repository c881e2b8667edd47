// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/ordered"
	"saddlevane/services/jobrecords"
	"saddlevane/services/workerlog"
)

// A new holder asks all workers for their runs before it starts any task that an earlier holder may
// have started. A worker that does not answer would delay all of these tasks until its lease
// expires, and each further takeover would start that wait again. The holder therefore records in
// the log what may run on a worker that does not answer, and starts nothing there until the log has
// a record that it answers again. The next holder treats the recorded runs as running, so that all
// other tasks can be started at once.

const (
	// failedRenewalsBeforeRecord is the number of consecutive failed renewals after which the record is
	// written: a single answer may have been lost.
	failedRenewalsBeforeRecord = 2
	// unresponsiveRecordInterval is how often the record is written again, with the time that the
	// lease can still last.
	unresponsiveRecordInterval = 2 * time.Second
)

// refreshUnresponsiveRecord records in the log what may run on a worker that does not answer, and
// updates that record at intervals until the lease has expired. It writes no first record of a worker
// that has not reported to this holder, because what may run there is not known.
func (h *holderState) refreshUnresponsiveRecord(now time.Time, w *worker) {
	hasRecord := w.logged.IsUnresponsive()
	switch {
	case w.failedRenewals < failedRenewalsBeforeRecord, now.After(w.leaseExpiresBy), !hasRecord && !w.reported:
		return
	case hasRecord && (now.Sub(w.logged.AddedAt()) < unresponsiveRecordInterval || h.journal.isFailing(now)):
		return
	}
	h.recordUnresponsive(now, w)
}

// recordUnresponsive adds the record of an unresponsive worker to the next append. No start may be
// ordered on the worker until a later record says that it answers.
func (h *holderState) recordUnresponsive(now time.Time, w *worker) {
	leaseLeft := max(0, w.leaseExpiresBy.Sub(now)).Truncate(time.Millisecond)
	w.logged.AddUnresponsive(now, leaseLeft)
	state := jobrecords.UnresponsiveState{DetectionDelay: job.Milliseconds(w.detectionDelay().Milliseconds()), LeaseLeft: job.Milliseconds(leaseLeft.Milliseconds())}
	for _, a := range w.sortedAttempts() {
		state.Runs = append(state.Runs, a.runID())
		state.WorkTimes = append(state.WorkTimes, a.recordedWorkTime(w.presence.UnresponsiveSince()))
	}
	for run := range ordered.MapFunc(w.orphans, order.Run.Compare) {
		state.Runs = append(state.Runs, run)
	}
	h.journal.addWorkerRecord(w, jobrecords.UnresponsiveWorkerRecord(w.Worker, state))
}

// recordedWorkTime returns how long the attempt had been running at a time, for the log, or -1 if
// that is unknown. When the log did not have this time, the next holder assumed that the attempt had
// run for at least a lease before the crash. Such a crash is hardly evidence against a task, so one
// that crashed its workers was given up only after seven crashes.
func (a *attempt) recordedWorkTime(at time.Time) job.Milliseconds {
	if worked, known := a.workTime(at); known {
		return job.Milliseconds(worked.Milliseconds())
	}
	return -1
}

// recordResponsive records in the log that a worker answers again.
func (h *holderState) recordResponsive(now time.Time, w *worker) {
	if w.logged.IsUnresponsive() {
		w.inheritedDetectionDelay = 0
		h.recordAnswering(now, w)
	}
}

// restoreUnresponsive restores a worker that did not answer an earlier holder. The recorded runs
// count as running until the worker answers or its lease expires.
func (h *holderState) restoreUnresponsive(now time.Time, w *worker, state *jobrecords.UnresponsiveState) {
	leaseLeft := min(h.maxLeaseDuration(), state.LeaseLeft.Duration())
	w.logged = workerlog.LoggedUnresponsive(now, leaseLeft)
	w.inheritedDetectionDelay = state.DetectionDelay.Duration()
	w.leaseExpiresBy = ordered.Later(w.leaseExpiresBy, now.Add(leaseLeft))
	for i, run := range state.Runs {
		a := h.restoreRun(now, w, run)
		if worked, known := state.WorkTime(i); a != nil && known {
			a.workedUntilUnresponsive, a.workedUntilUnresponsiveKnown = worked, true
		}
	}
	h.core.logEvent("worker did not answer the earlier holder", logField("worker", w.Incarnation.String()), logField("tasks", len(w.attempts)), logField("lease_left", leaseLeft.String()))
}

// restoreRun restores a run on an unresponsive worker as a running attempt and returns it, or nil
// if the run has ended or its job could not be decoded. If the log names two runs of a task, the first had
// ended before the second was ordered.
func (h *holderState) restoreRun(now time.Time, w *worker, run order.Run) *attempt {
	s := h.findRunStep(now, run.Task.StepID)
	if s == nil && h.mayBelongToJob(run.Task.Job) {
		w.orphans[run] = true
		return nil
	}
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
		pace: unknownPace, onlyLogged: true, inheritedTransit: h.recordInheritedTransit(s, run),
	}
	h.assign(now, a)
	s.lastRun = max(s.lastRun, run.Number)
	return a
}

// isSupersededBy reports whether a run replaces the task's known run: it is newer, and the known
// run, if any, is known from the log only.
func (t *task) isSupersededBy(run order.Run) bool {
	if t.attempt == nil {
		return run.Number > t.lastRun
	}
	return t.attempt.onlyLogged && run.Number > t.attempt.run
}
