// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/services/delays"
)

// applyReport updates the state of a worker and its attempts from the worker's report.
func (h *holderState) applyReport(now time.Time, w *worker, e exchange.RenewEnded) {
	h.applyEnds(now, w, e.Report.Ended)
	listed := h.applyRuns(now, w, e.Report.Running)
	h.throttleFillers(now, w)
	if !h.mayOmitEnds(e.Report) {
		h.applyAbsences(now, w, listed, e.Renewal)
	}
	h.moveStalled(now, w)
}

// applyRuns applies the runs that a report lists as running, and returns them.
func (h *holderState) applyRuns(now time.Time, w *worker, running []order.Running) map[order.Run]bool {
	clear(w.orphans)
	listed := make(map[order.Run]bool, len(running))
	for _, r := range running {
		listed[r.Run] = true
		h.applyRunning(now, w, r)
	}
	h.updateWorkersWithOrphans(w)
	return listed
}

// applyAbsences handles the attempts of a worker that its complete report does not list.
func (h *holderState) applyAbsences(now time.Time, w *worker, listed map[order.Run]bool, renewal int64) {
	for _, a := range w.sortedAttempts() {
		if !listed[a.runID()] {
			h.applyAbsence(now, a, renewal)
		}
	}
}

// mayOmitEnds reports whether runs may have ended that a report does not list. The worker lists them
// once the listed ends are acknowledged.
func (h *holderState) mayOmitEnds(r order.Report) bool {
	limit := h.core.settings.MaxListedEnds
	return limit > 0 && len(r.Ended) >= limit
}

// startsWithinReport returns how many more runs may be started on a worker so that a single report
// can list the ends of all of its runs. More ends would remain unknown until the log accepts records
// again.
func (h *holderState) startsWithinReport(w *worker) int {
	limit := h.core.settings.MaxListedEnds
	if limit == 0 {
		return job.MaxTasks
	}
	return max(0, limit-1-len(w.attempts)-w.reportedEnds.Unacknowledged())
}

// applyEnds applies those ends of runs in a report that were not reported before.
func (h *holderState) applyEnds(now time.Time, w *worker, all []order.End) {
	for _, end := range all {
		if report, isNew := w.reportedEnds.Add(w, end.Number); isNew {
			h.handleRunEnd(now, w, end, report)
		}
	}
}

// applyRunning applies a report that a run is running on the worker.
func (h *holderState) applyRunning(now time.Time, w *worker, r order.Running) {
	a := w.attempts[r.Run]
	if a == nil {
		a = h.adopt(now, w, r)
		if a == nil {
			w.orphans[r.Run] = true
			if !h.mayBelongToJob(r.Task.Job) {
				h.stopOrphan(now, w, r.Run)
			}
			return
		}
	}
	a.workedUntilUnresponsiveKnown, a.fromEarlierIncarnation = false, false
	a.observe(now, r)
	h.confirmRunning(now, a)
	if a.step.spec.Checkpoints && r.Checkpoint != "" {
		a.task().checkpoint = r.Checkpoint
	}
	if a.state == attemptUnconfirmed || a.state == attemptStarting {
		a.state = attemptRunning
		h.markStateChange(now, a)
		h.markStarted(a)
	}
}

// adopt creates the attempt for a run that an earlier holder started, or that this holder took for
// lost. It returns nil if the run should not be running.
func (h *holderState) adopt(now time.Time, w *worker, r order.Running) *attempt {
	s := h.findRunStep(now, r.Task.StepID)
	if s == nil || r.Task.Index >= len(s.tasks) || s.job.state.IsFinal() {
		return nil
	}
	t := &s.tasks[r.Task.Index]
	if t.done || !t.isSupersededBy(r.Run) && !s.isRunOfWaitingTask(r.Run) {
		return nil
	}
	if t.attempt != nil {
		h.unassign(t.attempt)
	}
	a := &attempt{
		step: s, index: r.Task.Index, run: r.Number, worker: w, state: attemptRunning, stateSince: now, renewalsSent: h.renewalsSent, stopConfirmed: true, adopted: true,
		pace: unknownPace, inheritedTransit: h.recordInheritedTransit(s, r.Run),
	}
	h.assign(now, a)
	s.lastRun = max(s.lastRun, r.Number)
	h.markStarted(a)
	return a
}

// isRunOfWaitingTask reports whether a run that a worker reports can serve as the run of its task, which
// waits to be placed, although a later run of it was ordered before. The members of a gang must be of one
// run.
func (s *step) isRunOfWaitingTask(run order.Run) bool {
	t := &s.tasks[run.Task.Index]
	return t.attempt == nil && !s.spec.Gang && !slices.Contains(t.failedRuns, run.Number)
}

// findStep returns a step, or nil if it is unknown or its job is no longer run.
func (h *holderState) findStep(id job.StepID) *step {
	j := h.jobs[id.Job]
	if j == nil || j.instances == nil {
		return nil
	}
	in := j.instances[id.Instance]
	if in == nil || id.Step >= len(in.steps) {
		return nil
	}
	return in.steps[id.Step]
}

// stopOrphan stops a run that this holder would not have started.
func (h *holderState) stopOrphan(now time.Time, w *worker, run order.Run) {
	h.core.logEvent("stopping unexpected run", logField("task", run.Task.String()), logField("run", run.Number), logField("worker", w.Incarnation.String()))
	h.sendStop(now, w, run)
}

// applyAbsence handles an attempt that a report does not list. A renewal sent before the attempt
// entered its current state proves nothing, since the worker may have answered it before. A run
// that is being stopped is listed as running until its end is reported, so one that is not listed
// after its stop was confirmed never started.
func (h *holderState) applyAbsence(now time.Time, a *attempt, renewal int64) {
	if a.state == attemptStarting || renewal <= a.renewalsSent {
		return
	}
	if a.fromEarlierIncarnation {
		h.loseAttempt(now, a, "the worker's current incarnation has not started the run")
		return
	}
	if a.state == attemptUnconfirmed {
		h.stopAttempt(now, a)
		return
	}
	switch {
	case a.state == attemptRunning:
		h.loseAttempt(now, a, "the worker no longer reports the run")
	case a.stopConfirmed:
		h.loseAttempt(now, a, "the run was stopped before it started")
	}
}

// loseAttempt frees an attempt that the worker no longer has.
func (h *holderState) loseAttempt(now time.Time, a *attempt, reason string) {
	h.unassign(a)
	a.task().runs.RecordInterruption(delays.RunLost)
	h.core.logEvent("task lost", logField("job", string(a.step.job.id)), logField("task", a.runID().Task.String()), logField("run", a.run),
		logField("worker", a.worker.Incarnation.String()), logField("state", string(a.state)), logField("reason", reason),
		logField("worked_most", a.maxWorkTime(a.worker.presence.UnresponsiveSince()).String()), logField("times_lost", a.task().lostRuns))
	if !a.step.job.state.IsFinal() {
		h.restartGang(now, a.step, a.run)
	}
	h.replanAfterEnd(a.step)
}
