// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/job"
	"saddlevane/modules/ordered"
	"saddlevane/services/blame"
)

// resume applies the log's progress to a job that has just been read.
func (h *holding) resume(now time.Time, j *submitted, p job.Progress) {
	j.started = p.Started
	if p.State != "" {
		j.state, j.shown, j.why = p.State, p.State, p.Why
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
			h.resumeStep(in.steps[sp.Step], sp)
		}
	}
	for _, in := range ordered.Map(j.instances) {
		in.countDone(j)
	}
	if j.state.Final() {
		h.markDirty(j)
		return
	}
	h.opened(now, j)
}

// resumeStep applies the log's progress to a step.
func (h *holding) resumeStep(s *step, p job.StepProgress) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0 {
			t.done = true
			s.done++
			s.waiting--
		}
		t.failed = p.Failed[i]
		t.saved = p.Saved[i]
		if b, held := p.Blame[i]; held {
			h.docket.Resume(s.unit(i), b)
		}
	}
}

// countDone counts the steps that are done, and the instance if all are.
func (in *instance) countDone(j *submitted) {
	for _, s := range in.steps {
		if s.done == len(s.tasks) {
			in.doneSteps++
		}
	}
	if in.doneSteps == len(in.steps) {
		j.doneInstances++
	}
}

// progress returns what the log must keep of a job.
func (j *submitted) progress(d *blame.Docket) job.Progress {
	p := job.Progress{State: j.state, Started: j.started, Queue: j.queue, Workspace: j.workspace, Ended: j.ended, Why: j.why}
	if j.state.Final() {
		p.Left = j.placed()
		return p
	}
	for _, in := range ordered.Map(j.instances) {
		for _, s := range in.steps {
			if sp, any := s.progress(d); any {
				p.Steps = append(p.Steps, sp)
			}
		}
	}
	return p
}

// progress returns what the log must keep of a step, and whether that is
// anything.
func (s *step) progress(d *blame.Docket) (job.StepProgress, bool) {
	sp := job.StepProgress{Instance: s.id.Instance, Step: s.id.Step}
	found := false
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done {
			if sp.Done == nil {
				sp.Done = make([]byte, (len(s.tasks)+7)/8)
			}
			sp.Done[i/8] |= 1 << (i % 8)
			found = true
		}
		if len(t.failed) > 0 {
			if sp.Failed == nil {
				sp.Failed = map[int][]int64{}
			}
			sp.Failed[i] = t.failed
			found = true
		}
		if b := d.Of(job.TaskID{StepID: s.id, Index: i}); b.Crashes > 0 && !t.done {
			if sp.Blame == nil {
				sp.Blame = map[int]job.Blame{}
			}
			sp.Blame[i] = b
			found = true
		}
		if t.saved != "" && !t.done {
			if sp.Saved == nil {
				sp.Saved = map[int]string{}
			}
			sp.Saved[i] = t.saved
			found = true
		}
	}
	return sp, found
}
