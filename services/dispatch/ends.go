// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/models/order"
	"saddlevane/services/delays"
	"saddlevane/services/ends"
)

// excludeAfter is how many failed ends of different jobs in a row exclude a
// worker, and excludeFor for how long: one job can fail by its own fault.
const (
	excludeAfter = 3
	excludeFor   = 4 * time.Second
)

// handleRunEnd takes one end from a worker's list.
func (h *holderState) handleRunEnd(now time.Time, w *worker, end order.End, note *ends.Report[*worker]) {
	a := w.attempts[end.Run]
	s := h.findStep(end.Task.StepID)
	if a != nil {
		s = a.step
		h.unassign(a)
		if end.Status == order.Stopped && !a.stopRequestedAt.IsZero() {
			h.history.ObserveStop(now.Sub(a.stopRequestedAt))
		}
	}
	if s == nil || end.Task.Index >= len(s.tasks) {
		note.MarkLogged()
		return
	}
	t := &s.tasks[end.Task.Index]
	t.lastRun = max(t.lastRun, end.Run.Number)
	if end.Checkpoint != "" && s.spec.Checkpoints {
		t.checkpoint = end.Checkpoint
	}
	if end.Status == order.Done {
		h.clearBlame(s, end.Task.Index)
		s.recordRunTime(now, a)
		if a != nil {
			h.learnSpeed(now, a)
		}
	} else {
		t.runs.RecordInterruption(delays.InterruptionCause(end.Status))
	}
	h.applyRunEnd(now, w, s, end)
	h.logRunEnd(s, w, end)
	if s.job.endLogged {
		note.MarkLogged()
		return
	}
	s.job.unloggedEnds = append(s.job.unloggedEnds, note)
	h.markDirty(s.job)
}

// logRunEnd logs an end that is not a good one; good ones are told by step.
func (h *holderState) logRunEnd(s *step, w *worker, end order.End) {
	if end.Status == order.Done {
		return
	}
	h.core.logEvent("task ended", logField("job", string(s.job.id)), logField("task", end.Task.String()), logField("run", end.Run.Number),
		logField("worker", w.Incarnation.String()), logField("outcome", string(end.Status)), logField("claim", h.epoch))
}

// applyRunEnd draws the consequences of one end.
func (h *holderState) applyRunEnd(now time.Time, w *worker, s *step, end order.End) {
	switch {
	case s.job.state.IsFinal(), s.spec.Service:
		h.replanAfterEnd(s)
	case end.Status == order.Done:
		w.failedJobs = 0
		h.completeTask(now, s, end)
	case end.Status == order.Failed:
		h.excludeFailingWorker(now, w, s.job.id)
		s.recordFailedWorker(w)
		h.recordTaskFailure(now, s, end)
	default:
		h.restartGang(now, s)
		h.replanAfterEnd(s)
	}
}

// completeTask notes a task's good end. One of a gang counts for all its members.
func (h *holderState) completeTask(now time.Time, s *step, end order.End) {
	if s.doneTasks == len(s.tasks) {
		// The other members of a gang end well too.
		return
	}
	if s.spec.Gang {
		for i := range s.tasks {
			s.markDone(i)
		}
	} else {
		s.markDone(end.Task.Index)
		if a := s.tasks[end.Task.Index].attempt; a != nil {
			h.stopAttempt(now, a)
		}
	}
	if s.doneTasks == len(s.tasks) {
		h.completeStep(now, s, end.Task.Index)
	}
}

// completeStep opens the steps that come after one of which the last task is done, or
// ends its job.
func (h *holderState) completeStep(now time.Time, s *step, last int) {
	s.open = false
	s.doneAt, s.delaySum = now, s.tasks[last].runs.Delays(now, s.openedAt, h.usualTime(s), s.waitSum)
	h.releaseCapacity(now, s)
	h.learnRunTime(s)
	h.core.logEvent("step done", logField("job", string(s.job.id)), logField("step", s.id.String()), logField("tasks", len(s.tasks)),
		logField("age", now.Sub(s.instance.dueAt).String()), logField("slack", (h.slack(now, s)+h.expectedTime(s)).String()),
		logField("took", s.longestRun.String()), logField("estimate", s.spec.Estimate.Duration().String()))
	in := s.instance
	in.doneSteps++
	if in.doneSteps < len(in.steps) {
		h.openReadySteps(now, in)
		return
	}
	s.job.doneInstances++
	if s.job.doneInstances == s.job.submission.Instances() {
		h.finishJob(now, s.job, job.Succeeded, "every task is done")
	}
}

// markDone notes the good end of a task, which no longer waits for a place.
func (s *step) markDone(index int) {
	t := &s.tasks[index]
	if t.done {
		return
	}
	t.done = true
	s.doneTasks++
	if t.attempt == nil {
		s.unplacedTasks--
	}
}

// recordTaskFailure counts a failed end and gives the job up after too many. The first
// task of a gang counts for all its members.
func (h *holderState) recordTaskFailure(now time.Time, s *step, end order.End) {
	t := &s.tasks[end.Task.Index]
	if s.spec.Gang {
		h.restartGang(now, s)
		t = &s.tasks[0]
	}
	if !slices.Contains(t.failedRuns, end.Run.Number) {
		t.failedRuns = append(t.failedRuns, end.Run.Number)
	}
	if len(t.failedRuns) >= max(1, h.queueOf(s.job).Attempts) && !t.done {
		h.finishJob(now, s.job, job.Failed, "a task failed too often")
		return
	}
	h.replanAfterEnd(s)
}

// restartGang ends what is left of a gang's run, so that it can begin anew.
func (h *holderState) restartGang(now time.Time, s *step) {
	if !s.spec.Gang || s.doneTasks > 0 {
		return
	}
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil {
			h.stopAttempt(now, a)
		}
	}
}

// replanAfterEnd has the step's remaining tasks placed again.
func (h *holderState) replanAfterEnd(s *step) {
	h.planDue = true
	if s.placedTasks == 0 && s.job.endLogged && s.job.state.IsFinal() {
		s.job.releaseIfIdle()
	}
}

// recordFailedWorker notes that a task of a step has failed on a worker, so that the next try is
// made on another if there is one: whose fault it was is not known.
func (s *step) recordFailedWorker(w *worker) {
	if s.failedOn == nil {
		s.failedOn = map[*worker]bool{}
	}
	s.failedOn[w] = true
}

// excludeFailingWorker excludes a worker on which one job after another fails.
func (h *holderState) excludeFailingWorker(now time.Time, w *worker, id job.ID) {
	if w.lastFailed == id || !h.isEnabled(mechanism.Exclusion) {
		return
	}
	w.lastFailed = id
	w.failedJobs++
	if w.failedJobs >= excludeAfter {
		w.failedJobs = excludeAfter - 1
		w.excludedUntil = now.Add(excludeFor)
		h.core.logEvent("worker is left out because different jobs fail on it", logField("worker", w.Incarnation.String()), logField("until", w.excludedUntil.UTC()))
	}
}
