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

// ended takes one end from a worker's list.
func (h *holding) ended(now time.Time, w *worker, end order.End, note *ends.Report[*worker]) {
	a := w.attempts[end.Run]
	s := h.findStep(end.Task.StepID)
	if a != nil {
		s = a.step
		h.unplace(a)
		if end.How == order.Stopped && !a.stopAt.IsZero() {
			h.learned.Stopped(now.Sub(a.stopAt))
		}
	}
	if s == nil || end.Task.Index >= len(s.tasks) {
		note.MarkLogged()
		return
	}
	t := &s.tasks[end.Task.Index]
	t.lastRun = max(t.lastRun, end.Run.Number)
	if end.Checkpoint != "" && s.spec.Checkpoints {
		t.saved = end.Checkpoint
	}
	if end.How == order.Done {
		h.acquit(s, end.Task.Index)
		s.tookUntil(now, a)
		if a != nil {
			h.learnSpeed(now, a)
		}
	} else {
		t.runs.RecordInterruption(delays.InterruptionCause(end.How))
	}
	h.applyEnd(now, w, s, end)
	h.noteEnd(s, w, end)
	if s.job.closed {
		note.MarkLogged()
		return
	}
	s.job.ends = append(s.job.ends, note)
	h.markDirty(s.job)
}

// noteEnd logs an end that is not a good one; good ones are told by step.
func (h *holding) noteEnd(s *step, w *worker, end order.End) {
	if end.How == order.Done {
		return
	}
	h.core.note("task ended", field("job", string(s.job.id)), field("task", end.Task.String()), field("run", end.Run.Number),
		field("worker", w.Life.String()), field("outcome", string(end.How)), field("claim", h.epoch))
}

// applyEnd draws the consequences of one end.
func (h *holding) applyEnd(now time.Time, w *worker, s *step, end order.End) {
	switch {
	case s.job.state.Final(), s.spec.Service:
		h.afterEnd(s)
	case end.How == order.Done:
		w.failedJobs = 0
		h.taskDone(now, s, end)
	case end.How == order.Failed:
		h.suspect(now, w, s.job.id)
		s.failsOn(w)
		h.taskFailed(now, s, end)
	default:
		h.gangBroke(now, s)
		h.afterEnd(s)
	}
}

// taskDone notes a task's good end. One of a gang counts for all its members.
func (h *holding) taskDone(now time.Time, s *step, end order.End) {
	if s.done == len(s.tasks) {
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
			h.stop(now, a)
		}
	}
	if s.done == len(s.tasks) {
		h.stepDone(now, s, end.Task.Index)
	}
}

// stepDone opens the steps that come after one of which the last task is done, or
// ends its job.
func (h *holding) stepDone(now time.Time, s *step, last int) {
	s.open = false
	s.doneAt, s.delayed = now, s.tasks[last].runs.Delays(now, s.openedAt, h.usual(s), s.waits)
	h.releasePromises(now, s)
	h.learnTimes(s)
	h.core.note("step done", field("job", string(s.job.id)), field("step", s.id.String()), field("tasks", len(s.tasks)),
		field("age", now.Sub(s.instance.dueAt).String()), field("slack", (h.slack(now, s)+h.expect(s)).String()),
		field("took", s.took.String()), field("estimate", s.spec.Estimate.Duration().String()))
	in := s.instance
	in.doneSteps++
	if in.doneSteps < len(in.steps) {
		h.openInstance(now, in)
		return
	}
	s.job.doneInstances++
	if s.job.doneInstances == s.job.submission.Instances() {
		h.finish(now, s.job, job.Succeeded, "every task is done")
	}
}

// markDone notes the good end of a task, which no longer waits for a place.
func (s *step) markDone(index int) {
	t := &s.tasks[index]
	if t.done {
		return
	}
	t.done = true
	s.done++
	if t.attempt == nil {
		s.waiting--
	}
}

// taskFailed counts a failed end and gives the job up after too many. The first
// task of a gang counts for all its members.
func (h *holding) taskFailed(now time.Time, s *step, end order.End) {
	t := &s.tasks[end.Task.Index]
	if s.spec.Gang {
		h.gangBroke(now, s)
		t = &s.tasks[0]
	}
	if !slices.Contains(t.failed, end.Run.Number) {
		t.failed = append(t.failed, end.Run.Number)
	}
	if len(t.failed) >= max(1, h.queueOf(s.job).Attempts) && !t.done {
		h.finish(now, s.job, job.Failed, "a task failed too often")
		return
	}
	h.afterEnd(s)
}

// gangBroke ends what is left of a gang's run, so that it can begin anew.
func (h *holding) gangBroke(now time.Time, s *step) {
	if !s.spec.Gang || s.done > 0 {
		return
	}
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil {
			h.stop(now, a)
		}
	}
}

// afterEnd has the step's remaining tasks placed again.
func (h *holding) afterEnd(s *step) {
	h.planDue = true
	if s.attempts == 0 && s.job.closed && s.job.state.Final() {
		s.job.dropIfQuiet()
	}
}

// failsOn notes that a task of a step has failed on a worker, so that the next try is
// made on another if there is one: whose fault it was is not known.
func (s *step) failsOn(w *worker) {
	if s.failedOn == nil {
		s.failedOn = map[*worker]bool{}
	}
	s.failedOn[w] = true
}

// suspect excludes a worker on which one job after another fails.
func (h *holding) suspect(now time.Time, w *worker, id job.ID) {
	if w.lastFailed == id || !h.uses(mechanism.Exclusion) {
		return
	}
	w.lastFailed = id
	w.failedJobs++
	if w.failedJobs >= excludeAfter {
		w.failedJobs = excludeAfter - 1
		w.excludedUntil = now.Add(excludeFor)
		h.core.note("worker is left out because different jobs fail on it", field("worker", w.Life.String()), field("until", w.excludedUntil.UTC()))
	}
}
