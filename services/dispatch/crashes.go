// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/services/blame"
	"saddlevane/services/jobrecords"
)

// tasksAtCrash returns the tasks that may have run on a worker when it stopped answering.
func (h *holderState) tasksAtCrash(w *worker, at time.Time) []blame.RunningTask {
	var all []blame.RunningTask
	for _, a := range w.sortedAttempts() {
		if a.step.job.state.IsFinal() {
			continue
		}
		t := blame.RunningTask{
			Task: a.step.blameUnit(a.index), Run: a.run, Gang: a.step.spec.Gang, Alone: a.ranAlone(at), Workers: a.step.workerCount(),
		}
		worked, known := a.workTime(at)
		if t.Worked, t.DetectionDelay = worked, w.detectionDelay(); !known {
			t.Worked, t.TimeBound, t.DetectionDelay = h.minRunTime(a, at), job.AtLeast, 0
		}
		all = append(all, t)
	}
	return append(all, h.takeInheritedStarts(w, at)...)
}

// runsBlameUnit reports whether a worker runs the task with the given blame unit, or a member of the
// gang that it stands for.
func (w *worker) runsBlameUnit(unit job.TaskID) bool {
	return slices.ContainsFunc(w.sortedAttempts(), func(a *attempt) bool { return a.step.blameUnit(a.index) == unit })
}

// workerCount returns the number of workers that one blame unit of the step uses: 1, or those of
// all members of a gang.
func (s *step) workerCount() int {
	if !s.spec.Gang {
		return 1
	}
	workers := map[*worker]bool{}
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil {
			workers[a.worker] = true
		}
	}
	return len(workers)
}

// ranAlone reports whether no task of another blame unit was started on the attempt's worker from
// trialQuietTime before the attempt until the worker stopped answering at the given time. It
// returns false if the attempt's own run time is not known.
func (a *attempt) ranAlone(at time.Time) bool {
	worked, known := a.workTime(at)
	for _, o := range a.worker.attempts {
		if o.step.blameUnit(o.index) == a.step.blameUnit(a.index) {
			continue
		}
		if otherWorked, known := o.workTime(at); known && otherWorked < worked+trialQuietTime {
			return false
		}
	}
	return known
}

// minRunTime returns a lower bound for how long an attempt that an earlier holder started had run
// at the given time: the time for which this holder has known it, plus one lease. The bound is an
// assumption, so a crash adds little to the task's blame.
func (h *holderState) minRunTime(a *attempt, at time.Time) time.Duration {
	return max(0, at.Sub(a.stateSince)) + h.core.settings.Lease
}

// recordCrash updates the blame records of the tasks that ran on a worker when it crashed or went missing,
// and the learned crash rate.
func (h *holderState) recordCrash(now time.Time, w *worker, tasks []blame.RunningTask, ending exchange.Ending) {
	if ending == exchange.Crashed {
		r, wasMissing := h.blame.ResolveAsCrashed(now, w.Incarnation)
		if wasMissing {
			h.applyResolution(r, "its incarnation has ended")
			return
		}
	}
	at := w.presence.UnresponsiveSince()
	c := blame.Crash{
		Incarnation: w.Incarnation, Rack: w.Rack, Missing: ending == exchange.Missing, Address: w.Address, At: at, UnixMilli: h.core.unixMilli(at),
		TasksKnown: w.reported || w.logged.IsUnresponsive(), Tasks: tasks,
	}
	message := "worker crashed while running a task"
	if c.Missing {
		message = "worker went missing while running a task"
	}
	for _, f := range h.blame.RecordCrash(now, c) {
		h.core.logEvent(message, logField("job", string(f.Task.Job)), logField("task", f.Task.String()),
			logField("worker", w.Incarnation.String()),
			logField("crashes", f.Blame.Crashes), logField("certain", blame.Certain(f.Blame).Crashes), logField("guilty", fmt.Sprintf("%.3g", blame.Probability(f.Blame))),
			logField("worked_most", f.Worked.String()),
			logField("time", string(f.TimeBound)), logField("late", f.DetectionDelay.String()), logField("alone", f.Alone),
			logField("odds", fmt.Sprintf("%.3g", f.Blame.Odds)),
			logField("crashes_otherwise_every", fmt.Sprintf("%.3gs", 1/f.BackgroundHazard)))
		h.markDirty(h.jobs[f.Task.Job])
	}
	h.journal.addRecord(jobrecords.CrashRateRecord(h.blame.LearnedRate()))
}

// resolveMissing updates the blame of tasks on missing workers after an answer of a worker, which may have
// been missing itself or may have replaced one that was.
func (h *holderState) resolveMissing(now time.Time, w *worker) {
	for _, r := range h.blame.ResolveByAnswer(now, w.Incarnation, w.Address) {
		h.applyResolution(r, "answer of "+w.Incarnation.String())
	}
}

// resolveOverdueMissing updates the blame of tasks on workers that have been missing for too long. While
// the list of workers may be incomplete, it does nothing.
func (h *holderState) resolveOverdueMissing(now time.Time) {
	if now.Sub(h.startedAt) < h.maxLeaseDuration() || h.entriesMayReturn(now) {
		return
	}
	isListed := func(incarnation order.Incarnation) bool {
		w := h.currentWorker(incarnation)
		return w != nil && w.presence.IsListed() && !w.incarnations.HasCandidate()
	}
	for _, r := range h.blame.ResolveOverdue(now, h.core.unixMilli(now), isListed) {
		reason := "the platform lists it"
		if r.Crashed {
			reason = "nothing was heard of it"
		}
		h.applyResolution(r, reason)
	}
}

// applyResolution records what became of a missing worker, and how that was found.
func (h *holderState) applyResolution(r blame.Resolution, reason string) {
	h.core.logEvent("missing worker is accounted for", logField("worker", r.Worker.String()), logField("crashed", r.Crashed),
		logField("reason", reason), logField("tasks", len(r.Tasks)))
	h.core.emit(exchange.MissingWorkerResolved{Crashed: r.Crashed})
	if r.Crashed {
		h.journal.addRecord(jobrecords.CrashRateRecord(h.blame.LearnedRate()))
	}
	for _, t := range r.Tasks {
		h.markDirty(h.jobs[t.Job])
		h.untrackUnsuspected(t)
	}
}

// giveUpGuiltyJobs fails the jobs whose tasks have been found guilty of crashing workers.
func (h *holderState) giveUpGuiltyJobs(now time.Time) {
	for _, t := range h.blame.GiveUpsDue(now) {
		j, b := h.jobs[t.Job], h.blame.Blame(t)
		h.markDirty(j)
		if blame.IsGuilty(b) {
			crashes := blame.Certain(b).Crashes
			h.core.emit(exchange.JobGivenUp{Crashes: crashes})
			h.finishJob(now, j, job.Failed, fmt.Sprintf("%d workers crashed under task %s", crashes, t))
		}
	}
}
