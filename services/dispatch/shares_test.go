// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/models/workspace"

	"gotest.tools/v3/assert"
)

// newSharedWorld returns a world of some boxes and two workers with 64 processors each, with two
// workspaces of equal weight that may submit two jobs each at once and then one every 10 s.
func newSharedWorld(t *testing.T, boxes int) *world {
	w := newWorld(t, 1, boxes, 2)
	all := []workspace.Workspace{{Name: "hot", Weight: 0.1}, {Name: "other", Weight: 0.1}}
	w.publishWorkspaces(all)
	w.waitUntilServing()
	return w
}

// jobOf returns a job of a workspace with five tasks, which together take a worker.
func jobOf(ws string, id string) job.Submission {
	s := oneStep(id, "quick", 5, false)
	s.Workspace = ws
	s.Steps[0].Need.Processors = 12 * resource.Processor
	return s
}

// fill lets a workspace take nearly all processors with two long jobs.
func (w *world) fill(ws string) (first *submittedJob) {
	w.t.Helper()
	for _, id := range []string{"first", "second"} {
		s := jobOf(ws, id)
		s.Steps[0].Estimate = 100_000
		a := w.submit(s)
		w.waitUntil(5*time.Second, "the tasks run", func() bool { return w.runningCount(s.ID) == 5 })
		if first == nil {
			first = a
		}
	}
	return first
}

// shareOf returns what the holder reports about a workspace.
func (w *world) shareOf(ws string) job.WorkspaceStatus {
	w.t.Helper()
	for _, s := range w.holder().core.Status(w.now).Workspaces {
		if s.Name == ws {
			return s
		}
	}
	w.t.Fatalf("the holder reports no workspace %s", ws)
	return job.WorkspaceStatus{}
}

// In a backlog, a step of a workspace that takes less than its share is placed before an earlier one of
// a workspace that takes nearly all workers.
func TestWorkspaceUnderItsShareIsPlacedFirst(t *testing.T) {
	w := newSharedWorld(t, 1)
	first := w.fill("hot")
	w.run(10 * time.Second)
	w.submit(jobOf("hot", "earlier"))
	w.run(100 * time.Millisecond)
	w.submit(jobOf("other", "later"))
	w.run(100 * time.Millisecond)
	assert.Assert(t, w.jobs["earlier"].accepted && w.jobs["later"].accepted)
	w.cancel(first)
	w.waitUntil(5*time.Second, "waiting tasks run", func() bool { return w.runningCount("earlier")+w.runningCount("later") > 0 })
	assert.Equal(t, w.runningCount("earlier"), 0)
}

// A new job beyond the rate of its workspace is within its share while the workspace takes less of the
// workers than its share.
func TestJobBeyondRateIsAcceptedWhileUseIsWithinShare(t *testing.T) {
	w := newSharedWorld(t, 1)
	w.fill("hot")
	submit := func(ws, id string) exchange.Outcome {
		s := jobOf(ws, id)
		s.Steps[0].Tasks = 1
		answer := w.callHolder(exchange.Submitted{Submission: s})
		w.run(time.Second)
		return answer.Outcome
	}
	for _, id := range []string{"other1", "other2", "other3"} {
		assert.Equal(t, submit("other", id), exchange.OK, id)
	}
	assert.Equal(t, submit("hot", "hot3"), exchange.OverLimit)
}

// A new holder knows what was borrowed within one lease, from what the workers report.
func TestBorrowedShareIsKnownWithinOneLeaseOfTakeover(t *testing.T) {
	w := newSharedWorld(t, 2)
	w.fill("hot")
	w.submit(jobOf("other", "waiting"))
	w.run(20 * time.Second)
	assert.Check(t, w.shareOf("hot").Borrowed > 0.4, "%+v", w.shareOf("hot"))
	w.killBox(w.holder(), 500*time.Millisecond)
	w.waitUntil(10*time.Second, "another box holds the cell", func() bool { return w.holder() != nil })
	w.run(lease)
	got := w.shareOf("hot")
	assert.Check(t, got.Borrowed > 0.4 && got.Entitled == 0.5, "%+v", got)
	assert.Equal(t, w.shareOf("other").InUse, 0.0)
}

// A short job of a workspace that takes more than its share stops no tasks of a workspace within its
// share, although these have lower priority and can wait. They would be started again at once, since
// they go before the short job.
func TestWorkspaceOverItsShareStopsNoTasksOfOthers(t *testing.T) {
	w := newWorld(t, 1, 1, 2)
	w.publishWorkspaces([]workspace.Workspace{{Name: "hot", Weight: 10}, {Name: "other", Weight: 10}})
	w.waitUntilServing()
	long := func(ws, id, queue string, tasks int) {
		s := jobOf(ws, id)
		s.Queue = queue
		s.Steps[0].Tasks, s.Steps[0].Estimate, s.Steps[0].Checkpoints = tasks, 100_000, true
		w.submit(s)
		w.waitUntil(5*time.Second, "the tasks run", func() bool { return w.runningCount(s.ID) == tasks })
	}
	long("other", "within", "wide", 3)
	long("hot", "over", "quick", 7)
	w.run(10 * time.Second)
	w.submit(jobOf("hot", "short"))
	w.run(3 * time.Second)
	starts := 0
	for task, n := range w.starts {
		if task.Job == "within" {
			starts += n
		}
	}
	assert.Equal(t, starts, 3)
}
