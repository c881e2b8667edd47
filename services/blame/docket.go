// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package blame

import (
	"maps"
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
)

const (
	// giveUpDelay is how long after a crash a task is given up for it: about as long as it
	// takes until other workers that crashed at the same time are seen.
	giveUpDelay = time.Second
	// unreportedTasksHazard is the hazard, a second, of a crash by tasks that are not known: those
	// on a worker that a new holder has not heard yet, about a dozen.
	unreportedTasksHazard = 0.01
)

// Tracker has what is held against tasks. One task of a gang stands for all its members.
type Tracker struct {
	// Background is how often workers crash by no fault of their tasks.
	Background

	tasks map[job.TaskID]*taskRecord
	// suspects counts the suspected tasks of a step.
	suspectCounts map[job.StepID]int
	// earlierStarts has the tasks that earlier holders had started, by the worker's life.
	earlierStarts map[string][]job.TaskID
	// accused are the tasks that are to be given up, the first due first.
	pendingGiveUps []pendingGiveUp
}

// taskRecord is what is held against one task.
type taskRecord struct {
	blame job.Blame
	// run is the one under which a worker crashed last, retryAt when the task may be tried
	// again.
	run     int64
	retryAt time.Time
	// accused says that the task is about to be given up.
	giveUpPending bool
}

// NewTracker returns a docket without a charge.
func NewTracker() *Tracker {
	return &Tracker{tasks: map[job.TaskID]*taskRecord{}, suspectCounts: map[job.StepID]int{}, earlierStarts: map[string][]job.TaskID{}}
}

// Blame returns what is held against a task.
func (d *Tracker) Blame(t job.TaskID) job.Blame {
	if c := d.tasks[t]; c != nil {
		return c.blame
	}
	return job.Blame{}
}

// SuspectCount counts the tasks of a step that are to be kept apart from other suspects.
func (d *Tracker) SuspectCount(s job.StepID) int { return d.suspectCounts[s] }

// MustWait says whether a task may not be tried yet.
func (d *Tracker) MustWait(now time.Time, t job.TaskID) bool {
	c := d.tasks[t]
	return c != nil && (c.giveUpPending || now.Before(c.retryAt))
}

// setBlame notes what is held against a task from now on.
func (d *Tracker) setBlame(t job.TaskID, b job.Blame) *taskRecord {
	c := d.tasks[t]
	if c == nil {
		c = &taskRecord{}
		d.tasks[t] = c
	}
	d.countSuspect(t.StepID, c.blame, -1)
	c.blame = b
	d.countSuspect(t.StepID, b, 1)
	return c
}

// countSuspect counts a task among the suspects of its step, or no more.
func (d *Tracker) countSuspect(s job.StepID, b job.Blame, by int) {
	if !IsSuspect(b) {
		return
	}
	if d.suspectCounts[s] += by; d.suspectCounts[s] == 0 {
		delete(d.suspectCounts, s)
	}
}

// Restore takes over what an earlier holder held against a task.
func (d *Tracker) Restore(t job.TaskID, b job.Blame) {
	c := d.setBlame(t, b)
	for _, worker := range b.LastStartWorkers {
		d.earlierStarts[worker] = append(d.earlierStarts[worker], t)
	}
	if IsGuilty(b) {
		// That holder was lost before it gave the job up.
		c.giveUpPending = true
		d.pendingGiveUps = append(d.pendingGiveUps, pendingGiveUp{task: t})
	}
}

// RecordStart notes that a task was started on a worker at a time, in milliseconds since 1970. It
// returns whether anything is held against the task, so that the log is to know.
func (d *Tracker) RecordStart(t job.TaskID, life order.Incarnation, unixMilli int64) bool {
	b := d.Blame(t)
	if b.Crashes == 0 {
		return false
	}
	if b.LastStartUnixMilli != unixMilli {
		b.LastStartWorkers, b.LastStartUnixMilli = nil, unixMilli
	}
	b.LastStartWorkers = append(slices.Clone(b.LastStartWorkers), life.String())
	d.setBlame(t, b)
	return true
}

// RecordReport takes that a worker has told what it runs: a task that an earlier holder had meant to
// try there, and that is not among it, will not crash it.
func (d *Tracker) RecordReport(life order.Incarnation, runs func(job.TaskID) bool) {
	worker := life.String()
	tried := slices.DeleteFunc(d.earlierStarts[worker], func(t job.TaskID) bool { return !runs(t) })
	if d.earlierStarts[worker] = tried; len(tried) == 0 {
		delete(d.earlierStarts, worker)
	}
}

// Clear drops what is held against a task: a run of it has ended well, or has been at
// work for long. It returns whether anything was.
func (d *Tracker) Clear(t job.TaskID) bool {
	if d.tasks[t] == nil {
		return false
	}
	d.setBlame(t, job.Blame{})
	delete(d.tasks, t)
	return true
}

// ForgetJob forgets the tasks of a job.
func (d *Tracker) ForgetJob(id job.ID) {
	for t := range d.tasks {
		if t.Job == id {
			d.Clear(t)
		}
	}
	maps.DeleteFunc(d.earlierStarts, func(_ string, tasks []job.TaskID) bool {
		return !slices.ContainsFunc(tasks, func(t job.TaskID) bool { return d.tasks[t] != nil })
	})
}

// RunningTask is a task that was on a worker when it crashed.
type RunningTask struct {
	Task job.TaskID
	Run  int64
	// Gang says that it stands for a gang, whose run ends with the first crash: workers
	// that crash together have one cause.
	Gang bool
	// Worked, Time, Late, Alone and Workers are those of Suspect.
	Worked  time.Duration
	Time    job.TimeBound
	Late    time.Duration
	Alone   bool
	Workers int
}

// Crash is the crash of a worker, as it was seen.
type Crash struct {
	Life order.Incarnation
	Rack string
	// At is when it stopped answering, UnixMilli the same as a time of day.
	At        time.Time
	UnixMilli int64
	// Heard says that what ran on the worker is known: it had told this holder, or an
	// earlier one the log.
	TasksKnown bool
	Tasks      []RunningTask
}

// Finding is what is held against a task after a crash.
type Finding struct {
	RunningTask
	Blame job.Blame
	// Otherwise is the hazard, a second, of a crash that none of the worker's tasks
	// caused, by which it was judged.
	BackgroundHazard float64
}

// assessment is a crash and what was held against the tasks before it.
type assessment struct {
	crash    Crash
	suspects []Suspect
	// counted is the weight with which the crash counts among those by themselves.
	backgroundWeight float64
}

// backgroundHazard returns the hazard, a second, of a crash that none of the tasks caused, by what
// is known of other workers now.
func (j *assessment) backgroundHazard(b *Background) float64 {
	hazard := b.Hazard(j.crash.At, j.crash.Life, j.crash.Rack)
	if !j.crash.TasksKnown {
		hazard += unreportedTasksHazard
	}
	return hazard
}

// reassess returns what the crash says of the tasks by what is known of other workers now.
func (j *assessment) reassess(b *Background) []job.Blame {
	return Assess(j.suspects, j.backgroundHazard(b))
}

// RecordCrash judges the tasks that were on a worker that has crashed.
func (d *Tracker) RecordCrash(now time.Time, c Crash) []Finding {
	j := &assessment{crash: c}
	j.crash.Tasks = d.tasksOn(c)
	for _, on := range j.crash.Tasks {
		j.suspects = append(j.suspects, Suspect{Prior: d.Blame(on.Task), Worked: on.Worked, Time: on.Time, Late: on.Late, Alone: on.Alone, Workers: on.Workers})
	}
	otherwise := j.backgroundHazard(&d.Background)
	judged := Assess(j.suspects, otherwise)
	if UnexplainedProbability(judged) > 1-attributionThreshold {
		j.backgroundWeight = d.Background.IndependentProbability(c.At, c.Life, c.Rack)
	}
	d.Background.AddCrash(c.Rack, j.backgroundWeight)
	found := make([]Finding, len(judged))
	for i, b := range judged {
		b = d.recordBlame(now, j, i, b)
		found[i] = Finding{RunningTask: j.crash.Tasks[i], Blame: b, BackgroundHazard: otherwise}
	}
	return found
}

// recordBlame holds a crash against a task, and returns what is held against it from now on. One
// that is found guilty is judged again shortly.
func (d *Tracker) recordBlame(now time.Time, j *assessment, place int, b job.Blame) job.Blame {
	b.RecentCrashes[len(b.RecentCrashes)-1].BackgroundWeight = j.backgroundWeight
	b = d.attributeCrashes(Reassess(b, d.Background.rate()))
	on := j.crash.Tasks[place]
	c := d.setBlame(on.Task, b)
	c.run, c.retryAt = on.Run, now.Add(RetryDelay(b))
	if IsGuilty(b) {
		c.giveUpPending = true
		d.pendingGiveUps = append(d.pendingGiveUps, pendingGiveUp{task: on.Task, assessment: j, index: place, due: now.Add(giveUpDelay)})
	}
	return b
}

// attributionThreshold is the probability from which on a task is taken for the cause of its crashes.
const attributionThreshold = 0.9

// attributeCrashes takes the crashes under a task back from those by themselves once it is as good
// as sure that the task has caused them: else three guilty tasks make workers seem to crash
// every 30 s, and little is held against any of them.
func (d *Tracker) attributeCrashes(b job.Blame) job.Blame {
	if Probability(b) < attributionThreshold {
		return b
	}
	b.RecentCrashes = slices.Clone(b.RecentCrashes)
	for i := range b.RecentCrashes {
		d.Background.RemoveCrashes(b.RecentCrashes[i].BackgroundWeight)
		b.RecentCrashes[i].BackgroundWeight = 0
	}
	return Reassess(b, d.Background.rate())
}

// tasksOn returns the tasks that were on a worker, each once, with those that an earlier holder
// had started there.
func (d *Tracker) tasksOn(c Crash) []RunningTask {
	var all []RunningTask
	add := func(next RunningTask) {
		if known := d.tasks[next.Task]; next.Gang && next.Run != 0 && known != nil && known.run == next.Run {
			return
		}
		if i := slices.IndexFunc(all, func(o RunningTask) bool { return o.Task == next.Task }); i >= 0 {
			all[i].merge(next)
			return
		}
		all = append(all, next)
	}
	for _, on := range c.Tasks {
		add(on)
	}
	life := c.Life.String()
	for _, t := range d.earlierStarts[life] {
		if b := d.Blame(t); slices.Contains(b.LastStartWorkers, life) {
			add(StartedByEarlierHolder(t, b.LastStartUnixMilli, c.UnixMilli, len(b.LastStartWorkers)))
		}
	}
	delete(d.earlierStarts, life)
	return all
}

// elapsedAfterClockStep is taken for the time at work where the clocks of two boxes say that a task
// was tried after its worker crashed: little is held against it.
const elapsedAfterClockStep = 10 * time.Second

// StartedByEarlierHolder returns a task that an earlier holder had started at a time, on a worker which
// crashed at another, both in milliseconds since 1970. A gang was started on several workers.
func StartedByEarlierHolder(t job.TaskID, startedAt, crashedAt int64, workers int) RunningTask {
	on := RunningTask{Task: t, Worked: time.Duration(crashedAt-startedAt) * time.Millisecond, Time: job.AtMost, Workers: workers}
	if on.Worked < 0 {
		on.Worked, on.Time = elapsedAfterClockStep, job.AtLeast
	}
	return on
}

// merge takes what else is known of the same task on the same worker: of a gang, or of a run
// that the log tells of and whose worker is known to have had it.
func (o *RunningTask) merge(next RunningTask) {
	o.Alone = o.Alone && (next.Alone || next.Time == job.AtMost)
	if o.Time == job.AtLeast {
		o.Worked, o.Time = next.Worked, next.Time
		return
	}
	if next.Time == o.Time {
		o.Worked = max(o.Worked, next.Worked)
	}
}

// pendingGiveUp is a task that is to be given up, unless more is known of the crash by then:
// when the first of several workers that crash together is seen, the others are not.
type pendingGiveUp struct {
	task job.TaskID
	// judgement is what it is accused by, and its place there, or nil under an earlier
	// holder.
	assessment *assessment
	index      int
	due        time.Time
}

// GiveUpsDue returns the accused tasks whose time has come, after all that is known now.
// Those that are guilty still are to be given up.
func (d *Tracker) GiveUpsDue(now time.Time) []job.TaskID {
	var due []job.TaskID
	for len(d.pendingGiveUps) > 0 && !now.Before(d.pendingGiveUps[0].due) {
		a := d.pendingGiveUps[0]
		d.pendingGiveUps = d.pendingGiveUps[1:]
		c := d.tasks[a.task]
		if c == nil {
			continue
		}
		c.giveUpPending = false
		if a.assessment != nil {
			b := a.assessment.reassess(&d.Background)[a.index]
			if c.blame.Crashes != b.Crashes {
				continue
			}
			for i := range b.RecentCrashes {
				b.RecentCrashes[i].BackgroundWeight = c.blame.RecentCrashes[i].BackgroundWeight
			}
			d.setBlame(a.task, Reassess(b, d.Background.rate()))
		}
		due = append(due, a.task)
	}
	return due
}
