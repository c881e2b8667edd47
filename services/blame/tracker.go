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
	// giveUpDelay is the time between the crash that makes a task guilty and the giving up of its
	// job. It is about the time in which simultaneous crashes of other workers are detected.
	giveUpDelay = time.Second
	// unreportedTasksHazard is the hazard, per second, of a crash caused by unknown tasks: those on
	// a worker that has not yet reported to a new holder, about a dozen.
	unreportedTasksHazard = 0.01
)

// Tracker holds the blame of tasks. A gang is tracked as one task, which stands for all members.
type Tracker struct {
	// Background estimates the rate at which workers crash for reasons other than their tasks.
	Background

	tasks map[job.TaskID]*taskRecord
	// suspectCounts holds the number of suspects by step.
	suspectCounts map[job.StepID]int
	// earlierStarts holds the tasks that earlier holders had started, keyed by the string
	// form of the worker's incarnation.
	earlierStarts map[string][]job.TaskID
	// pendingGiveUps holds the tasks whose jobs are about to be given up, the earliest due first.
	pendingGiveUps []pendingGiveUp
	// missing holds the workers that may have crashed.
	missing missingWorkers
}

// taskRecord holds the blame of one task.
type taskRecord struct {
	blame job.Blame
	// run is the run under which a worker crashed last. The task may not be started before retryAt.
	run     int64
	retryAt time.Time
	// crashes holds the newest of blame.RecentCrashes, as far as this holder recorded them.
	crashes []recordedCrash
	// giveUpPending is set while the task is in Tracker.pendingGiveUps.
	giveUpPending bool
}

// newestAssessment returns the assessment of the newest crash under the task, or nil if an earlier
// holder recorded that crash.
func (r *taskRecord) newestAssessment() *assessment {
	if len(r.crashes) == 0 {
		return nil
	}
	return r.crashes[len(r.crashes)-1].assessment
}

// NewTracker returns a tracker in which no task is blamed.
func NewTracker() *Tracker {
	return &Tracker{tasks: map[job.TaskID]*taskRecord{}, suspectCounts: map[job.StepID]int{}, earlierStarts: map[string][]job.TaskID{}, missing: newMissingWorkers()}
}

// Blame returns the blame of a task, or the zero value if no worker has crashed under it.
func (tr *Tracker) Blame(t job.TaskID) job.Blame {
	if r := tr.tasks[t]; r != nil {
		return r.blame
	}
	return job.Blame{}
}

// SuspectCount returns the number of tasks of a step that have to be kept apart from other
// suspects.
func (tr *Tracker) SuspectCount(s job.StepID) int { return tr.suspectCounts[s] }

// MustWait reports whether a task must not be started yet: its job is about to be given up, or would be if
// its missing workers had crashed.
func (tr *Tracker) MustWait(now time.Time, t job.TaskID) bool {
	r := tr.tasks[t]
	return r != nil && (r.giveUpPending || now.Before(r.retryAt) || isGuiltyWithMissing(r.blame))
}

// setBlame replaces the blame of a task.
func (tr *Tracker) setBlame(t job.TaskID, b job.Blame) *taskRecord {
	r := tr.tasks[t]
	if r == nil {
		r = &taskRecord{}
		tr.tasks[t] = r
	}
	tr.countSuspect(t.StepID, r.blame, -1)
	r.blame = b
	tr.countSuspect(t.StepID, b, 1)
	return r
}

// countSuspect adds by to the suspects of a step if b makes its task a suspect.
func (tr *Tracker) countSuspect(s job.StepID, b job.Blame, by int) {
	if !IsSuspect(b) {
		return
	}
	if tr.suspectCounts[s] += by; tr.suspectCounts[s] == 0 {
		delete(tr.suspectCounts, s)
	}
}

// Restore sets the blame of a task to what an earlier holder had recorded.
func (tr *Tracker) Restore(t job.TaskID, b job.Blame) {
	r := tr.setBlame(t, b)
	r.crashes = nil
	tr.restoreMissing(t, b)
	for _, worker := range b.LastStartWorkers {
		tr.earlierStarts[worker] = append(tr.earlierStarts[worker], t)
	}
	if IsGuilty(b) {
		// The earlier holder lost the cell before it gave the job up.
		r.giveUpPending = true
		tr.pendingGiveUps = append(tr.pendingGiveUps, pendingGiveUp{task: t})
	}
}

// RecordStart records that a task was started on a worker at unixMilli, in milliseconds since 1970.
// It reports whether the task is blamed, in which case the start has to be logged.
func (tr *Tracker) RecordStart(t job.TaskID, incarnation order.Incarnation, unixMilli int64) bool {
	b := tr.Blame(t)
	if b.Crashes == 0 {
		return false
	}
	if b.LastStartUnixMilli != unixMilli {
		b.LastStartWorkers, b.LastStartUnixMilli = nil, unixMilli
	}
	b.LastStartWorkers = append(slices.Clone(b.LastStartWorkers), incarnation.String())
	tr.setBlame(t, b)
	return true
}

// RecordReport drops those starts by earlier holders on a worker whose tasks are not among the ones
// that the worker has reported. Such a task does not run there, so it cannot crash the worker.
func (tr *Tracker) RecordReport(incarnation order.Incarnation, runs func(job.TaskID) bool) {
	worker := incarnation.String()
	tried := slices.DeleteFunc(tr.earlierStarts[worker], func(t job.TaskID) bool { return !runs(t) })
	if tr.earlierStarts[worker] = tried; len(tried) == 0 {
		delete(tr.earlierStarts, worker)
	}
}

// Clear removes the blame of a task, after a run of it has ended well or has been running for long.
// It reports whether the task was blamed.
func (tr *Tracker) Clear(t job.TaskID) bool {
	if tr.tasks[t] == nil {
		return false
	}
	tr.setBlame(t, job.Blame{})
	delete(tr.tasks, t)
	return true
}

// ForgetJob removes the blame of all tasks of a job.
func (tr *Tracker) ForgetJob(id job.ID) {
	for t := range tr.tasks {
		if t.Job == id {
			tr.Clear(t)
		}
	}
	maps.DeleteFunc(tr.earlierStarts, func(_ string, tasks []job.TaskID) bool {
		return !slices.ContainsFunc(tasks, func(t job.TaskID) bool { return tr.tasks[t] != nil })
	})
}

// RunningTask is a task that was on a worker when the worker crashed.
type RunningTask struct {
	Task job.TaskID
	Run  int64
	// Gang is set if the task stands for a gang. The run of a gang ends with the first crash, so
	// the gang caused at most one of the crashes under the same run.
	Gang bool
	// Worked, TimeBound, DetectionDelay, Alone and Workers are as in Suspect.
	Worked         time.Duration
	TimeBound      job.TimeBound
	DetectionDelay time.Duration
	Alone          bool
	Workers        int
}

// isSameRun reports whether the newest recorded crash under a task came under its present run.
func (tr *Tracker) isSameRun(t RunningTask) bool {
	known := tr.tasks[t.Task]
	return t.Gang && t.Run != 0 && known != nil && known.run == t.Run
}

// Crash is the crash of a worker as the holder has detected it.
type Crash struct {
	Incarnation order.Incarnation
	Rack        string
	// Missing is set if it is not known whether the worker has crashed: it may be out of reach and go
	// on. Address is its address.
	Missing bool
	Address string
	// At is when the worker stopped answering, and UnixMilli the same time as milliseconds since
	// 1970.
	At        time.Time
	UnixMilli int64
	// TasksKnown is set if the tasks on the worker are known: the worker had reported them to this
	// holder, or an earlier holder had logged them.
	TasksKnown bool
	Tasks      []RunningTask
}

// Finding is the blame of a task after a crash.
type Finding struct {
	RunningTask
	Blame job.Blame
	// BackgroundHazard is the hazard, per second, of a crash that none of the worker's tasks
	// caused, with which the crash was assessed.
	BackgroundHazard float64
}

// assessment is a crash together with what its assessment depends on besides its tasks.
type assessment struct {
	crash Crash
	// backgroundWeight is the weight with which the crash was added to the background rate.
	backgroundWeight float64
	// commonHazard is the part of the background hazard that was due to common causes when the
	// crash was recorded.
	commonHazard float64
}

// backgroundHazard returns the hazard, per second, of a crash that none of the tasks caused. It
// depends on what has been observed of other workers so far, so it may change after the crash.
func (a *assessment) backgroundHazard(b *Background) float64 {
	hazard := b.Hazard(a.crash.At, a.crash.Incarnation, a.crash.Rack)
	if !a.crash.TasksKnown {
		hazard += unreportedTasksHazard
	}
	return hazard
}

// RecordCrash assesses the tasks that were on a crashed worker, records their blame and updates the
// background rate. The crash of a missing worker makes its tasks suspects, but is held against them, and
// counts towards the rate, only once it is certain.
func (tr *Tracker) RecordCrash(now time.Time, c Crash) []Finding {
	a := &assessment{crash: c}
	a.crash.Tasks = tr.tasksOn(c)
	var suspects []Suspect
	for _, t := range a.crash.Tasks {
		suspects = append(suspects, Suspect{
			Prior: tr.Blame(t.Task), Worked: t.Worked, TimeBound: t.TimeBound, DetectionDelay: t.DetectionDelay, Alone: t.Alone, Workers: t.Workers,
			SameRun: tr.isSameRun(t), Missing: a.crash.describeMissing(),
		})
	}
	background := a.backgroundHazard(&tr.Background)
	a.commonHazard = tr.Background.commonHazard(c)
	assessed := Assess(suspects, background)
	if UnexplainedProbability(assessed) > 1-attributionThreshold {
		a.backgroundWeight = tr.Background.IndependentProbability(c.At, c.Incarnation, c.Rack)
	}
	if c.Missing {
		tr.addMissing(now, a)
	} else {
		tr.Background.AddCrash(c.Rack, a.backgroundWeight)
	}
	findings := make([]Finding, len(assessed))
	for i, b := range assessed {
		b = tr.recordBlame(now, a, i, b)
		findings[i] = Finding{RunningTask: a.crash.Tasks[i], Blame: b, BackgroundHazard: background}
	}
	for _, f := range findings {
		if certainProbability(f.Blame) >= attributionThreshold {
			tr.explainCrashes(now, f.Task)
		}
	}
	return findings
}

// recordBlame records b as the blame of the task at index in a, and returns the blame as recorded.
// If the task is guilty, its job becomes due to be given up after giveUpDelay.
func (tr *Tracker) recordBlame(now time.Time, a *assessment, index int, b job.Blame) job.Blame {
	b.RecentCrashes[len(b.RecentCrashes)-1].BackgroundWeight = a.backgroundWeight
	b = tr.attributeCrashes(Reassess(b, tr.Background.rate()))
	t := a.crash.Tasks[index]
	r := tr.setBlame(t.Task, b)
	r.run, r.retryAt, r.giveUpPending = t.Run, now.Add(RetryDelay(b)), false
	r.addCrash(a)
	if IsGuilty(b) {
		tr.scheduleGiveUp(now, t.Task)
	}
	return b
}

// attributionThreshold is the probability of guilt from which the crashes under a task are
// attributed to it and no longer count as background crashes.
const attributionThreshold = 0.9

// attributeCrashes removes the crashes under a task from the background rate once the task is
// almost certain to have caused them. Otherwise three guilty tasks would make workers seem to crash
// every 30 s by themselves, and the odds of all three would stay low.
func (tr *Tracker) attributeCrashes(b job.Blame) job.Blame {
	if certainProbability(b) < attributionThreshold {
		return b
	}
	b.RecentCrashes = slices.Clone(b.RecentCrashes)
	for i := range b.RecentCrashes {
		if b.RecentCrashes[i].SameRun || !b.RecentCrashes[i].IsCertain() {
			// The task caused at most one crash of a run, so the others had other causes. The crash of a
			// missing worker is not part of the rate yet.
			continue
		}
		tr.Background.RemoveCrashes(b.RecentCrashes[i].BackgroundWeight)
		b.RecentCrashes[i].BackgroundWeight = 0
	}
	return Reassess(b, tr.Background.rate())
}

// tasksOn returns the tasks that were on a crashed worker, each once, including those that an
// earlier holder had started there.
func (tr *Tracker) tasksOn(c Crash) []RunningTask {
	var all []RunningTask
	add := func(next RunningTask) {
		if i := slices.IndexFunc(all, func(o RunningTask) bool { return o.Task == next.Task }); i >= 0 {
			all[i].merge(next)
			return
		}
		all = append(all, next)
	}
	known := tr.missing.byIncarnation[c.Incarnation]
	for _, t := range c.Tasks {
		if known == nil || !tr.isHeldFor(t.Task, known) {
			add(t)
		}
	}
	incarnation := c.Incarnation.String()
	for _, t := range tr.earlierStarts[incarnation] {
		if b := tr.Blame(t); slices.Contains(b.LastStartWorkers, incarnation) {
			add(StartedByEarlierHolder(t, b.LastStartUnixMilli, c.UnixMilli, len(b.LastStartWorkers)))
		}
	}
	delete(tr.earlierStarts, incarnation)
	return all
}

// elapsedAfterClockStep is the assumed work time if, by the clocks of two boxes, a task was
// started after its worker crashed. It is long enough that the task gets little blame.
const elapsedAfterClockStep = 10 * time.Second

// StartedByEarlierHolder returns a task that an earlier holder had started at startedAt on a worker
// that crashed at crashedAt, both in milliseconds since 1970. workers is the number of workers on
// which it was started, more than one for a gang.
func StartedByEarlierHolder(t job.TaskID, startedAt, crashedAt int64, workers int) RunningTask {
	r := RunningTask{Task: t, Worked: time.Duration(crashedAt-startedAt) * time.Millisecond, TimeBound: job.AtMost, Workers: workers}
	if r.Worked < 0 {
		r.Worked, r.TimeBound = elapsedAfterClockStep, job.AtLeast
	}
	return r
}

// merge merges next, another record of the same task on the same worker, into o: next is another
// member of the gang, or the logged start of a run that the worker is also known to have had. A
// work time that is only a lower bound is replaced by that of next. Of two times with the same
// bound, the longer one counts.
func (o *RunningTask) merge(next RunningTask) {
	o.Alone = o.Alone && (next.Alone || next.TimeBound == job.AtMost)
	if o.TimeBound == job.AtLeast {
		o.Worked, o.TimeBound = next.Worked, next.TimeBound
		return
	}
	if next.TimeBound == o.TimeBound {
		o.Worked = max(o.Worked, next.Worked)
	}
}
