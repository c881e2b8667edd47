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
