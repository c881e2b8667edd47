// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"

	"gotest.tools/v3/assert"
)

// cutOff makes a worker unreachable and removes its entry for some time. The worker itself goes on.
func (f *fakeWorker) cutOff(d time.Duration) {
	f.unreachable, f.unlisted = true, true
	f.w.after(d, func() { f.unreachable, f.unlisted = false, false })
}

// cutOffWorkersUnder cuts off the worker of a job's only task, once for each of the given times, after the
// task has run for that time.
func (w *world) cutOffWorkersUnder(id job.ID, d time.Duration, runTimes ...time.Duration) {
	w.t.Helper()
	w.loseWorkersUnder(id, w.reachableWorkerRunning, func(f *fakeWorker) { f.cutOff(d) }, runTimes)
}

// reachableWorkerRunning returns the reachable worker that runs a task of a job, or nil, and when the run
// started there.
func (w *world) reachableWorkerRunning(id job.ID) (*fakeWorker, time.Time) {
	for _, f := range w.reachableWorkersRunning(id) {
		for run, r := range f.runs {
			if run.Task.Job == id {
				return f, r.arrivedAt
			}
		}
	}
	return nil, time.Time{}
}

// reachableWorkersRunning returns the reachable workers that run tasks of a job.
func (w *world) reachableWorkersRunning(id job.ID) []*fakeWorker {
	var all []*fakeWorker
	for _, f := range w.workers {
		isOfJob := func(run order.Run) bool { return run.Task.Job == id }
		if f.alive && !f.unreachable && slices.ContainsFunc(slices.Collect(maps.Keys(f.runs)), isOfJob) {
			all = append(all, f)
		}
	}
	return all
}

// A job was shown as failed after its task had lost three workers that were only cut off.
func TestJobFailsAfterItsWorkersWereCutOff(t *testing.T) {
	for _, d := range []time.Duration{10 * time.Second, 32 * time.Second, time.Minute} {
		t.Run(d.String(), func(t *testing.T) {
			w := newCrashWorld(t, 1, 24)
			w.noRandomFailures = true
			s := oneStep("sound", "quick", 1, false)
			s.Steps[0].Estimate = 30_000
			a := w.submit(s)
			w.cutOffWorkersUnder("sound", d, 600*time.Millisecond, 610*time.Millisecond, 590*time.Millisecond, 600*time.Millisecond)
			w.waitUntil(3*time.Minute, "the job has ended", func() bool { w.queryStates(); return a.state.IsFinal() })
			assert.Equal(t, a.state, job.Succeeded)
			w.requireNoViolations()
		})
	}
}

// A job had no state any more after the workers of its gang were cut off in two runs and the cell was taken
// over.
func TestGangWithCutOffMembersIsKeptOverTakeover(t *testing.T) {
	w := newCrashWorld(t, 1, 24)
	w.noRandomFailures = true
	s := oneStep("sound", "quick", 2, true)
	s.Steps[0].Need.Processors, s.Steps[0].PerWorker, s.Steps[0].Estimate = 40*resource.Processor, 1, 30_000
	a := w.submit(s)
	for _, durations := range [][]time.Duration{{15 * time.Second, 15 * time.Second}, {9 * time.Second, 25 * time.Second}} {
		var members []*fakeWorker
		w.waitUntil(time.Minute, "both members are at work", func() bool {
			members = w.reachableWorkersRunning("sound")
			return len(members) == 2
		})
		w.run(1500 * time.Millisecond)
		for i, f := range members {
			f.cutOff(durations[i])
		}
	}
	w.run(9700 * time.Millisecond)
	w.killBox(w.holder(), 500*time.Millisecond)
	w.waitUntil(3*time.Minute, "the job has ended", func() bool { w.queryStates(); return a.state.IsFinal() })
	assert.Equal(t, a.state, job.Succeeded)
	w.requireNoViolations()
}

// A job was shown as failed after its task had lost three workers that crashed by themselves, each 1 s after
// the task began.
func TestJobFailsAfterThreeCrashesOfItsWorkers(t *testing.T) {
	w := newCrashWorld(t, 1, 24)
	w.noRandomFailures = true
	s := oneStep("sound", "quick", 1, false)
	s.Steps[0].Estimate = 30_000
	a := w.submit(s)
	w.crashWorkersUnder("sound", time.Second, time.Second, time.Second)
	w.waitUntil(60*time.Second, "the job has ended", func() bool { w.queryStates(); return a.state.IsFinal() })
	assert.Equal(t, a.state, job.Succeeded)
	w.requireNoViolations()
}

// crashWhereverStarted crashes each worker of a job's only task 0.6 s after the task began there, until the
// job has ended, and returns how often it did.
func (w *world) crashWhereverStarted(a *submittedJob, downtime time.Duration, afterCrash func(*fakeWorker)) int {
	w.t.Helper()
	crashes := 0
	for {
		w.waitUntil(10*time.Minute, "the task is at work, or the job has ended", func() bool {
			w.queryStates()
			f, _ := w.workerRunning(a.sub.ID)
			return f != nil || a.state.IsFinal()
		})
		f, startedAt := w.workerRunning(a.sub.ID)
		if f == nil {
			return crashes
		}
		w.run(startedAt.Add(600 * time.Millisecond).Sub(w.now))
		crashes++
		f.crash(downtime)
		afterCrash(f)
	}
}

// A task that crashes its workers was started without end where they came back later than their leases, or
// never, since only the lapsed lease told of the crash.
func TestGuiltyTaskIsFoundWhereWorkersReturnAfterTheirLease(t *testing.T) {
	for _, tc := range []struct {
		name        string
		downtime    time.Duration
		uniqueNames bool
		takeovers   bool
		// silence is how long the worker does not answer after the crash, although it is listed again.
		silence time.Duration
	}{
		{"under the same name", 9 * time.Second, false, false, 0},
		{"under another name", 9 * time.Second, true, false, 0},
		{"after two leases", 13 * time.Second, true, false, 0},
		{"never", time.Hour, true, false, 0},
		{"under the same name, over takeovers", 9 * time.Second, false, true, 0},
		{"under another name, over takeovers", 9 * time.Second, true, true, 0},
		{"never, over takeovers", time.Hour, true, true, 0},
		{"silent for 31 s", 9 * time.Second, false, false, 31 * time.Second},
		{"silent for six minutes", time.Second, false, false, 6 * time.Minute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 1, 3, 24)
			w.crashesVisible, w.noRandomFailures, w.uniqueIncarnationNames = true, true, tc.uniqueNames
			w.waitUntilServing()
			s := oneStep("guilty", "quick", 1, false)
			s.Steps[0].Estimate = 30_000
			a := w.submit(s)
			w.guiltyTasks[job.TaskID{StepID: job.StepID{Job: "guilty"}}] = time.Hour
			crashes := w.crashWhereverStarted(a, tc.downtime, func(f *fakeWorker) {
				if tc.silence > 0 {
					f.unreachable = true
					w.after(tc.silence, func() { f.unreachable = false })
				}
				if tc.takeovers {
					w.run(7 * time.Second)
					w.killBox(w.holder(), 500*time.Millisecond)
				}
			})
			assert.Equal(t, a.state, job.Failed)
			assert.Check(t, crashes <= 5, "%d crashes", crashes)
			w.requireNoViolations()
		})
	}
}
