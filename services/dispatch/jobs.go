// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/ordered"
)

// submitted is one job.
type submitted struct {
	id    job.ID
	queue string
	// submission is nil once the job's end is kept.
	submission   *job.Submission
	acceptedUnix int64
	acceptedAt   time.Time
	instances    map[int]*instance
	// nextInstance is the first one that has not fallen due.
	nextInstance  int
	doneInstances int
	// state is what is believed; shown is what the log has and callers are told.
	state, shown job.State
	// accepted says that the log has the job.
	accepted bool
	// inherited says that an earlier holder accepted it.
	inherited bool
	started   bool
	// ended is when it reached its final state, in milliseconds since 1970.
	ended int64
	// dirty says that its progress waits for the journal.
	dirty bool
	// closed says that the log has the final state.
	closed     bool
	ends       []*endNote
	waitAccept []CallID
	waitCancel []CallID
}

// instance is one time that a job's steps run.
type instance struct {
	number    int
	dueAt     time.Time
	steps     []*step
	doneSteps int
}

// step is one step of an instance.
type step struct {
	id       job.StepID
	job      *submitted
	instance *instance
	spec     *job.Step
	tasks    []task
	// waiting counts tasks with neither a place nor an end.
	waiting  int
	done     int
	attempts int
	open     bool
	lastRun  int64
	// explainedAt is when a line last said why it waits.
	explainedAt time.Time
	// preemptedAt is when tasks were last stopped for it.
	preemptedAt time.Time
	// notBefore delays a step whose last start was refused.
	notBefore time.Time
	advice    advice
	// left is the longest chain of work from the step on, itself included.
	left time.Duration
}

// task is one task of a step.
type task struct {
	done bool
	// failed lists the runs that ended failed.
	failed  []int64
	saved   string
	lastRun int64
	attempt *attempt
}

// attempt is one start of a task, from its order until its end is known.
type attempt struct {
	step   *step
	index  int
	run    int64
	worker *worker
	state  attemptState
	// since is when the state began; for a stop, when it was confirmed.
	since     time.Time
	confirmed bool
}

type attemptState string

const (
	// starting: the order is under way.
	starting attemptState = "starting"
	// running: the worker has confirmed it.
	running attemptState = "running"
	// unsure: the order had no answer.
	unsure attemptState = "unsure"
	// stopping: it is to end; its place stays taken until it has.
	stopping attemptState = "stopping"
)

// endNote is one end that a worker reported. The worker may forget it once what
// it says is in the log.
type endNote struct {
	worker *worker
	number int64
	kept   bool
}

func (a *attempt) task() *task { return &a.step.tasks[a.index] }

func (a *attempt) name() order.Run {
	return order.Run{Task: job.TaskID{StepID: a.step.id, Index: a.index}, Number: a.run}
}

// newJob adds a job.
func (h *holding) newJob(now time.Time, sub job.Submission, acceptedUnix int64) *submitted {
	age := time.Duration(now.UnixMilli()-acceptedUnix) * time.Millisecond
	j := &submitted{
		id: sub.ID, queue: sub.Queue, submission: &sub, acceptedUnix: acceptedUnix,
		acceptedAt: now.Add(-max(0, age)), instances: map[int]*instance{}, state: job.Queued, shown: job.Queued,
	}
	h.jobs[j.id] = j
	if sub.Repeat.Times > 0 {
		h.repeating = append(h.repeating, j)
	}
	h.dueInstances(now, j)
	return j
}

// dueInstances creates the instances that have fallen due.
func (h *holding) dueInstances(now time.Time, j *submitted) {
	if j.submission.Repeat.Times == 0 {
		if j.nextInstance == 0 {
			j.addInstance(0, j.acceptedAt)
		}
		return
	}
	for j.nextInstance < j.submission.Repeat.Times {
		due := j.submission.Repeat.Due(j.nextInstance)
		if now.UnixMilli() < due.UnixMilli() {
			return
		}
		in := j.addInstance(j.nextInstance, now.Add(-time.Duration(now.UnixMilli()-due.UnixMilli())*time.Millisecond))
		if j.accepted {
			h.openInstance(in)
		}
	}
}

func (j *submitted) addInstance(number int, due time.Time) *instance {
	in := &instance{number: number, dueAt: due}
	for i := range j.submission.Steps {
		spec := &j.submission.Steps[i]
		in.steps = append(in.steps, &step{
			id: job.StepID{Job: j.id, Instance: number, Step: i}, job: j, instance: in, spec: spec,
			tasks: make([]task, spec.Tasks), waiting: spec.Tasks,
		})
	}
	chains(in.steps)
	j.instances[number] = in
	j.nextInstance = number + 1
	return in
}

// chains sets how much work follows each step.
func chains(steps []*step) {
	for i := len(steps) - 1; i >= 0; i-- {
		longest := time.Duration(0)
		for _, later := range steps[i+1:] {
			if slices.Contains(later.spec.After, i) {
				longest = max(longest, later.left)
			}
		}
		steps[i].left = longest + steps[i].spec.Estimate.Duration()
	}
}

// chain returns the longest chain of an instance's work.
func (in *instance) chain() time.Duration {
	longest := time.Duration(0)
	for _, s := range in.steps {
		longest = max(longest, s.left)
	}
	return longest
}

// opened makes the tasks of a job that the log has ready to be placed.
func (h *holding) opened(j *submitted) {
	for _, in := range ordered.Map(j.instances) {
		h.openInstance(in)
	}
}

// openInstance opens the steps whose earlier steps are done.
func (h *holding) openInstance(in *instance) {
	for _, s := range in.steps {
		if s.open || s.job.state.Final() || !in.reached(s) {
			continue
		}
		s.open = true
		h.open = append(h.open, s)
		h.planDue = true
	}
}

func (in *instance) reached(s *step) bool {
	for _, before := range s.spec.After {
		if b := in.steps[before]; b.done < len(b.tasks) {
			return false
		}
	}
	return true
}

// fallDue opens instances of repeating jobs whose time has come.
func (h *holding) fallDue(now time.Time) {
	kept := h.repeating[:0]
	for _, j := range h.repeating {
		if j.state.Final() {
			continue
		}
		h.dueInstances(now, j)
		kept = append(kept, j)
	}
	h.repeating = kept
}

// resume applies the log's progress to a job that has just been read.
func (h *holding) resume(now time.Time, j *submitted, p job.Progress) {
	j.started = p.Started
	if p.State != "" {
		j.state, j.shown = p.State, p.State
	}
	for _, sp := range p.Steps {
		in := j.instances[sp.Instance]
		if in == nil {
			if sp.Instance >= j.submission.Instances() || sp.Step >= len(j.submission.Steps) {
				continue
			}
			in = j.addInstance(sp.Instance, now)
		}
		if sp.Step < len(in.steps) {
			in.steps[sp.Step].resume(sp)
		}
	}
	for _, in := range ordered.Map(j.instances) {
		in.countDone(j)
	}
	if j.state.Final() {
		h.markDirty(j)
		return
	}
	h.opened(j)
}

func (s *step) resume(p job.StepProgress) {
	for i := range s.tasks {
		t := &s.tasks[i]
		if i/8 < len(p.Done) && p.Done[i/8]&(1<<(i%8)) != 0 {
			t.done = true
			s.done++
			s.waiting--
		}
		t.failed = p.Failed[i]
		t.saved = p.Saved[i]
	}
}

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
func (j *submitted) progress() job.Progress {
	p := job.Progress{State: j.state, Started: j.started, Queue: j.queue, Ended: j.ended}
	if j.state.Final() {
		return p
	}
	for _, in := range ordered.Map(j.instances) {
		for _, s := range in.steps {
			if sp, any := s.progress(); any {
				p.Steps = append(p.Steps, sp)
			}
		}
	}
	return p
}

func (s *step) progress() (job.StepProgress, bool) {
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

func (h *holding) markDirty(j *submitted) {
	if !j.dirty {
		j.dirty = true
		h.journal.dirty = append(h.journal.dirty, j)
	}
}

// finish gives a job its final state and ends what still runs of it.
func (h *holding) finish(now time.Time, j *submitted, state job.State, why string) {
	if j.state.Final() {
		return
	}
	j.state = state
	j.ended = now.UnixMilli()
	h.markDirty(j)
	for _, in := range ordered.Map(j.instances) {
		for _, s := range in.steps {
			s.open = false
			h.releasePromises(s)
			for i := range s.tasks {
				if a := s.tasks[i].attempt; a != nil && state != job.Succeeded {
					h.stop(now, a)
				}
			}
		}
	}
	h.core.note("job ended", Field{"job", string(j.id)}, Field{"queue", j.queue}, Field{"outcome", string(state)},
		Field{"reason", why}, Field{"age", now.Sub(j.acceptedAt).String()}, Field{"claim", h.epoch})
}

// close drops all but the final state of a job.
func (h *holding) close(j *submitted) {
	if j.closed {
		return
	}
	j.closed = true
	h.endedJobs = append(h.endedJobs, j)
	j.dropIfQuiet()
}

// dropEnded forgets jobs whose final state was kept long enough.
func (h *holding) dropEnded(now time.Time) {
	keep := h.core.settings.KeepEnded.Milliseconds()
	for len(h.endedJobs) > 0 && now.UnixMilli()-h.endedJobs[0].ended > keep {
		j := h.endedJobs[0]
		h.endedJobs = h.endedJobs[1:]
		delete(h.jobs, j.id)
		h.journal.add(keyDropped(keyProgress + string(j.id)))
	}
}
