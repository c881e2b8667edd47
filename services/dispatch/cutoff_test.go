// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/job"

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
	for _, after := range runTimes {
		w.waitUntil(30*time.Second, "the task is at work", func() bool { f, _ := w.reachableWorkerRunning(id); return f != nil })
		f, startedAt := w.reachableWorkerRunning(id)
		w.run(startedAt.Add(after).Sub(w.now))
		f.cutOff(d)
	}
}

// reachableWorkerRunning returns the reachable worker that runs a task of a job, or nil, and when the run
// started there.
func (w *world) reachableWorkerRunning(id job.ID) (*fakeWorker, time.Time) {
	for _, f := range w.workers {
		for run, r := range f.runs {
			if f.alive && !f.unreachable && run.Task.Job == id {
				return f, r.arrivedAt
			}
		}
	}
	return nil, time.Time{}
}

// A job was shown as failed after its task had lost three workers that were only cut off.
func TestJobFailsAfterItsWorkersWereCutOff(t *testing.T) {
	w := newCrashWorld(t, 1, 24)
	w.noRandomFailures = true
	s := oneStep("sound", "quick", 1, false)
	s.Steps[0].Estimate = 30_000
	a := w.submit(s)
	w.cutOffWorkersUnder("sound", 10*time.Second, 600*time.Millisecond, 610*time.Millisecond, 590*time.Millisecond)
	w.waitUntil(60*time.Second, "the job has ended", func() bool { w.queryStates(); return a.state.IsFinal() })
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
func (w *world) crashWhereverStarted(a *submittedJob, downtime time.Duration, afterCrash func()) int {
	w.t.Helper()
	crashes := 0
	for {
		w.waitUntil(90*time.Second, "the task is at work, or the job has ended", func() bool {
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
		afterCrash()
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
	}{
		{"under the same name", 9 * time.Second, false, false},
		{"under another name", 9 * time.Second, true, false},
		{"after two leases", 13 * time.Second, true, false},
		{"never", time.Hour, true, false},
		{"under the same name, over takeovers", 9 * time.Second, false, true},
		{"under another name, over takeovers", 9 * time.Second, true, true},
		{"never, over takeovers", time.Hour, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(t, 1, 3, 24)
			w.crashesVisible, w.noRandomFailures, w.uniqueIncarnationNames = true, true, tc.uniqueNames
			w.waitUntilServing()
			s := oneStep("guilty", "quick", 1, false)
			s.Steps[0].Estimate = 30_000
			a := w.submit(s)
			w.guiltyTasks[job.TaskID{StepID: job.StepID{Job: "guilty"}}] = time.Hour
			crashes := w.crashWhereverStarted(a, tc.downtime, func() {
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
