// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/job"
	"saddlevane/modules/ordered"
	"saddlevane/services/blame"
)

// restoreJob applies the progress that the log has to a job that was just read from it.
func (h *holderState) restoreJob(now time.Time, j *trackedJob, p job.Progress) {
	j.started = p.Started
	if p.State != "" {
		j.state, j.reportedState, j.failReason = p.State, p.State, p.FailureReason
	}
	for _, sp := range p.Steps {
		in := j.instances[sp.Instance]
		if in == nil {
			if sp.Instance < 0 || sp.Instance >= j.submission.Instances() {
				continue
			}
			in = h.addInstance(j, sp.Instance, now)
		}
		if sp.Step >= 0 && sp.Step < len(in.steps) {
			h.restoreStep(in.steps[sp.Step], sp)
		}
	}
	for _, in := range ordered.Map(j.instances) {
		in.countDone(j)
	}
	if j.state.IsFinal() {
		h.markDirty(j)
		return
	}
	h.openInstances(now, j)
}

// restoreStep applies the progress that the log has to a step.
func (h *holderState) restoreStep(s *step, p job.StepProgress) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if p.IsDone(i) {
			t.done = true
			s.doneTasks++
			s.unplacedTasks--
		}
		t.failedRuns = p.FailedRuns[i]
		t.checkpoint = p.Checkpoints[i]
		if b, ok := p.Blame[i]; ok {
			h.blame.Restore(s.blameUnit(i), b)
		}
	}
}

// countDone counts the done steps of an instance, and counts the instance as done in its job
// if all steps are.
func (in *instance) countDone(j *trackedJob) {
	for _, s := range in.steps {
		if s.doneTasks == len(s.tasks) {
			in.doneSteps++
		}
	}
	if in.doneSteps == len(in.steps) {
		j.doneInstances++
	}
}

// progress returns the progress of a job that is written to the log.
func (j *trackedJob) progress(d *blame.Tracker) job.Progress {
	p := job.Progress{State: j.state, Started: j.started, Queue: j.queue, Workspace: j.workspace, EndedUnixMilli: j.endedUnixMilli, FailureReason: j.failReason}
	if j.state.IsFinal() {
		p.LeftoverUsage = j.placedNeed()
		return p
	}
	for _, in := range ordered.Map(j.instances) {
		for _, s := range in.steps {
			if sp, ok := s.progress(d); ok {
				p.Steps = append(p.Steps, sp)
			}
		}
	}
	return p
}

// progress returns the progress of a step that is written to the log, and whether there is
// any.
func (s *step) progress(d *blame.Tracker) (job.StepProgress, bool) {
	sp := job.StepProgress{Instance: s.id.Instance, Step: s.id.Step}
	for i := range s.tasks {
		t := &s.tasks[i]
		sp.SetFailedRuns(i, t.failedRuns)
		if t.done {
			sp.SetDone(i, len(s.tasks))
			continue
		}
		sp.SetBlame(i, d.Blame(job.TaskID{StepID: s.id, Index: i}))
		sp.SetCheckpoint(i, t.checkpoint)
	}
	return sp, !sp.IsEmpty()
}
