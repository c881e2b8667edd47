// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/models/order"
	"saddlevane/services/delays"
	"saddlevane/services/endreports"
)

// A worker on which excludeAfter different jobs fail in a row gets no tasks for
// excludeFor. Failures of the same job in a row count once, since the job itself may be at fault.
const (
	excludeAfter = 3
	excludeFor   = 4 * time.Second
)

// handleRunEnd applies the end of a run that a worker has reported. The end is acknowledged
// once the log has its effect, or at once if it has no effect: the log has the end of its job, or has
// never had the job.
func (h *holderState) handleRunEnd(now time.Time, w *worker, end order.End, report *endreports.Report[*worker]) {
	a := w.attempts[end.Run]
	s := h.findRunStep(now, end.Task.StepID)
	if a != nil {
		s = a.step
		h.unassign(a)
		if end.Status == order.Stopped && !a.stopRequestedAt.IsZero() {
			h.estimates.ObserveStop(now.Sub(a.stopRequestedAt))
		}
	}
	if s == nil {
		// Whether the step is a gang, or which of its tasks are done, is not known any more.
		w.hold.Extend(h.inheritedTransit.UntilOfStep(end.Run))
	}
	if s == nil && h.mayBelongToJob(end.Task.Job) {
		h.recordEnd(end, report)
		return
	}
	if s == nil || end.Task.Index >= len(s.tasks) {
		report.MarkLogged()
		return
	}
	t := &s.tasks[end.Task.Index]
	t.lastRun = max(t.lastRun, end.Run.Number)
	if end.Checkpoint != "" && s.spec.Checkpoints {
		t.checkpoint = end.Checkpoint
	}
	h.recordInheritedTransit(s, end.Run)
	s.holdAcknowledgements(w, end)
	if end.Status == order.Done {
		h.clearBlame(s, end.Task.Index)
		h.recordRunTime(now, s, a)
	} else {
		t.runs.RecordInterruption(delays.InterruptionCause(end.Status))
	}
	h.applyRunEnd(now, w, s, end)
	h.logRunEnd(s, w, end)
	if s.job.endLogged {
		report.MarkLogged()
		return
	}
	s.job.unloggedEnds = append(s.job.unloggedEnds, report)
	h.markDirty(s.job)
}

// holdAcknowledgements keeps the ends of a worker unacknowledged while a start of a task that has ended
// there by itself, or of another member of its gang, may be in transit. The task must not run again.
func (s *step) holdAcknowledgements(w *worker, end order.End) {
	if s.spec.Service || end.Status != order.Done && end.Status != order.Failed {
		return
	}
	for i := range s.tasks {
		if i == end.Task.Index || s.spec.Gang {
			w.hold.Extend(s.tasks[i].startsInTransit.Until())
		}
	}
}

// logRunEnd logs the end of a run that was not successful. Successes are logged per step.
func (h *holderState) logRunEnd(s *step, w *worker, end order.End) {
	if end.Status == order.Done {
		return
	}
	h.core.logEvent("task ended", logField("job", string(s.job.id)), logField("task", end.Task.String()), logField("run", end.Run.Number),
		logField("worker", w.Incarnation.String()), logField("outcome", string(end.Status)), logField("claim", h.epoch))
}

// applyRunEnd updates the step and its job after the end of a run.
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
		h.restartGang(now, s, end.Run.Number)
		h.replanAfterEnd(s)
	}
}

// completeTask records that a task has succeeded. The success of one member of a gang
// counts for all members. Attempts that were started since are stopped.
func (h *holderState) completeTask(now time.Time, s *step, end order.End) {
	if s.doneTasks == len(s.tasks) {
		// All members of a gang report their success; only the first report counts.
		return
	}
	for i := range s.tasks {
		if i != end.Task.Index && !s.spec.Gang {
			continue
		}
		s.markDone(i)
		if a := s.tasks[i].attempt; a != nil && !a.endsWith(end) {
			h.stopAttempt(now, a)
		}
	}
	if s.doneTasks == len(s.tasks) {
		h.completeStep(now, s, end.Task.Index)
	}
}

// endsWith reports whether the attempt belongs to the run of a gang of which another member has
// ended successfully, so that its run ends as well.
func (a *attempt) endsWith(end order.End) bool {
	return a.index != end.Task.Index && a.run == end.Run.Number && !a.fromEarlierIncarnation
}

// completeStep is called when the last task of a step is done. It opens the steps that
// depended on it, or ends the job if there are none left.
func (h *holderState) completeStep(now time.Time, s *step, last int) {
	s.open = false
	h.releaseCapacity(now, s)
	h.learnRunTime(now, s)
	s.doneAt, s.delaySum = now, s.tasks[last].runs.Delays(now, s.openedAt, h.expectedTime(s), s.waits.Totals())
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

// markDone marks a task as done, so that it no longer has to be placed.
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

// recordTaskFailure counts a failed run and fails the job when the task has reached its
// maximum number of attempts. The failures of a gang are counted on its first task.
func (h *holderState) recordTaskFailure(now time.Time, s *step, end order.End) {
	t := &s.tasks[end.Task.Index]
	if s.spec.Gang {
		h.restartGang(now, s, end.Run.Number)
		t = &s.tasks[0]
	}
	if !slices.Contains(t.failedRuns, end.Run.Number) {
		t.failedRuns = append(t.failedRuns, end.Run.Number)
	}
	if allowed := max(1, h.queueOf(s.job).Attempts); len(t.failedRuns) >= allowed && !t.done {
		h.finishJob(now, s.job, job.Failed, s.failureReason(end.Task, t.failedRuns, allowed))
		return
	}
	h.replanAfterEnd(s)
}

// maxNamedRuns is how many failed runs the reason of a failed job names, so that it fits a short line.
const maxNamedRuns = 3

// failureReason says which task, or which gang, failed in which runs, and how many failures are allowed.
func (s *step) failureReason(id job.TaskID, runs []int64, allowed int) string {
	what := "task " + id.String()
	if s.spec.Gang {
		what = "gang " + s.id.String()
	}
	in, named := "in runs", runs
	if len(runs) > maxNamedRuns {
		in, named = "last in runs", runs[len(runs)-maxNamedRuns:]
	}
	return fmt.Sprintf("%s failed %d times (%d allowed), %s %s", what, len(runs), allowed, in, joinNumbers(named))
}

// joinNumbers returns numbers as text, separated by commas.
func joinNumbers(numbers []int64) string {
	var texts []string
	for _, n := range numbers {
		texts = append(texts, strconv.FormatInt(n, 10))
	}
	return strings.Join(texts, ", ")
}

// restartGang stops all members of a gang that lost one of the given run, so that the gang can start
// again as a whole. Members of a later run are not affected. It does nothing for other steps or if the
// gang is done.
func (h *holderState) restartGang(now time.Time, s *step, run int64) {
	if !s.spec.Gang || s.doneTasks > 0 {
		return
	}
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil && a.run <= run {
			h.stopAttempt(now, a)
		}
	}
}

// replanAfterEnd requests a plan, and frees the memory of an ended job after its last run.
func (h *holderState) replanAfterEnd(s *step) {
	h.planDue = true
	if s.placedTasks == 0 && s.job.endLogged && s.job.state.IsFinal() {
		s.job.releaseIfIdle()
	}
}

// recordFailedWorker records that a task of the step has failed on a worker, so that the next
// attempt prefers another worker: whether the task or the worker was at fault is not known.
func (s *step) recordFailedWorker(w *worker) {
	if s.failedOn == nil {
		s.failedOn = map[*worker]bool{}
	}
	s.failedOn[w] = true
}

// excludeFailingWorker counts the failure of a job on a worker, and excludes the worker from
// new starts when excludeAfter different jobs have failed on it in a row. From then on each failure
// of another job excludes it again, until a task succeeds there.
func (h *holderState) excludeFailingWorker(now time.Time, w *worker, id job.ID) {
	if w.lastFailed == id || !h.isEnabled(mechanism.Exclusion) {
		return
	}
	w.lastFailed = id
	w.failedJobs++
	if w.failedJobs >= excludeAfter {
		w.failedJobs = excludeAfter - 1
		w.excludedUntil = now.Add(excludeFor)
		h.core.logEvent("worker is excluded because different jobs fail on it",
			logField("worker", w.Incarnation.String()), logField("until", w.excludedUntil.UTC()))
	}
}
