// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/job"
	"saddlevane/modules/ordered"
	"saddlevane/services/ranking"
)

// createDueInstances creates the instances of a job that are due, and opens them if the log
// has the job.
func (h *holderState) createDueInstances(now time.Time, j *trackedJob) {
	if j.submission.Repeat.Times == 0 {
		if j.instances[0] == nil {
			h.addInstance(j, 0, j.acceptedAt)
		}
		return
	}
	for j.nextDueInstance < j.submission.Repeat.Times {
		due := j.submission.Repeat.Due(j.nextDueInstance)
		if h.core.unixMilli(now) < due.UnixMilli() {
			return
		}
		if j.instances[j.nextDueInstance] != nil {
			// A run of an earlier holder whose clock was ahead has created it.
			j.nextDueInstance++
			continue
		}
		in := h.addInstance(j, j.nextDueInstance, now.Add(-time.Duration(h.core.unixMilli(now)-due.UnixMilli())*time.Millisecond))
		j.nextDueInstance++
		if j.accepted {
			h.openReadySteps(now, in)
		}
	}
}

// addInstance creates one instance of a job, with its steps, that is due at a time.
func (h *holderState) addInstance(j *trackedJob, number int, due time.Time) *instance {
	in := &instance{dueAt: due}
	for i := range j.submission.Steps {
		spec := &j.submission.Steps[i]
		in.steps = append(in.steps, &step{
			id: job.StepID{Job: j.id, Instance: number, Step: i}, job: j, instance: in, spec: spec,
			tasks: make([]task, spec.Tasks), unplacedTasks: spec.Tasks,
		})
	}
	h.updateCriticalPaths(in.steps)
	j.instances[number] = in
	return in
}

// updateCriticalPaths computes the critical path from and after each step of an instance.
func (h *holderState) updateCriticalPaths(steps []*step) {
	for i, after := range ranking.CriticalPathAfter(steps, h.expectedTime, (*step).dependencies) {
		steps[i].criticalPathAfter = after
		steps[i].criticalPath = after + h.expectedTime(steps[i])
	}
}

// criticalPath returns the expected time of the longest chain of dependent steps.
func (in *instance) criticalPath() time.Duration {
	longest := time.Duration(0)
	for _, s := range in.steps {
		longest = max(longest, s.criticalPath)
	}
	return longest
}

// openInstances opens the ready steps of all instances of a job that the log has, so that
// their tasks can be placed.
func (h *holderState) openInstances(now time.Time, j *trackedJob) {
	for _, in := range ordered.Map(j.instances) {
		h.openReadySteps(now, in)
	}
}

// openReadySteps opens the steps of an instance whose dependencies are done.
func (h *holderState) openReadySteps(now time.Time, in *instance) {
	if in.openedAt.IsZero() {
		in.openedAt = now
	}
	for _, s := range in.steps {
		if s.open || s.job.state.IsFinal() || !in.isReady(s) {
			continue
		}
		s.open = true
		s.openedAt = now
		h.openSteps = append(h.openSteps, s)
		h.planDue = true
	}
}

// isReady reports whether all dependencies of a step are done.
func (in *instance) isReady(s *step) bool {
	for _, before := range s.spec.After {
		if b := in.steps[before]; b.doneTasks < len(b.tasks) {
			return false
		}
	}
	return true
}

// createAllDueInstances creates the due instances of all repeating jobs, and forgets the
// repeating jobs that have ended.
func (h *holderState) createAllDueInstances(now time.Time) {
	unfinished := h.repeatingJobs[:0]
	for _, j := range h.repeatingJobs {
		if j.state.IsFinal() {
			continue
		}
		h.createDueInstances(now, j)
		unfinished = append(unfinished, j)
	}
	h.repeatingJobs = unfinished
}

// findRunStep returns the step of a run that an earlier holder has started, or nil if it is unknown or
// its job is no longer run. That the run was started shows that its instance is due, even if this
// holder's clock is behind: the instance is created if necessary.
func (h *holderState) findRunStep(now time.Time, id job.StepID) *step {
	if s := h.findStep(id); s != nil {
		return s
	}
	j := h.jobs[id.Job]
	if j == nil || j.instances == nil || !j.accepted || j.state.IsFinal() || j.instances[id.Instance] != nil || id.Instance < 0 || id.Instance >= j.submission.Instances() {
		return nil
	}
	h.openReadySteps(now, h.addInstance(j, id.Instance, now))
	return h.findStep(id)
}
