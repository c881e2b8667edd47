// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package blame_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/services/blame"

	"gotest.tools/v3/assert"
)

// cellCase records crashes in a cell of 24 workers, each of which crashes every 29 s by itself.
type cellCase struct {
	tracker *blame.Tracker
	now     time.Time
	count   int64
}

// newCellCase returns a case without crashes.
func newCellCase(t *testing.T) *cellCase {
	t.Helper()
	c := &cellCase{tracker: blame.NewTracker(), now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
	assert.NilError(t, c.tracker.RestoreRate([]byte(`{"all":{"crashes":83,"seconds":2400}}`)))
	return c
}

// pass lets time pass.
func (c *cellCase) pass(d time.Duration) {
	c.now = c.now.Add(d)
	c.tracker.ObserveWorkers(c.now, map[string]int{"r": 24})
}

// lostWorker is a worker that has stopped answering.
type lostWorker struct {
	name string
	at   time.Time
}

// loseWorker records that one more worker has stopped answering.
func (c *cellCase) loseWorker() lostWorker {
	c.count++
	w := lostWorker{name: fmt.Sprint("w", c.count), at: c.now}
	c.tracker.RecordUnresponsive(c.now, incarnation(w.name), "r", 0)
	return w
}

// crash records that a lost worker has crashed while a task was running, which had run for a time.
func (c *cellCase) crash(w lostWorker, task job.TaskID, worked time.Duration) {
	c.count++
	c.tracker.RecordCrash(c.now, blame.Crash{
		Incarnation: incarnation(w.name), Rack: "r", At: w.at, TasksKnown: true,
		Tasks: []blame.RunningTask{{Task: task, Run: c.count, Worked: worked, Alone: true}},
	})
}

// taskOf returns the only task of a job.
func taskOf(id job.ID) job.TaskID { return job.TaskID{StepID: job.StepID{Job: id}} }

// crashTogether makes three workers crash within 0.1 s: one under the task of job "a", one under the
// task of job "b" and one without tasks.
func (c *cellCase) crashTogether() {
	first := c.loseWorker()
	c.pass(50 * time.Millisecond)
	second := c.loseWorker()
	c.pass(50 * time.Millisecond)
	c.loseWorker()
	c.pass(1300 * time.Millisecond)
	c.crash(first, taskOf("a"), 608*time.Millisecond)
	c.crash(second, taskOf("b"), 15*time.Millisecond)
}

// crashAgain makes one more worker crash under a task.
func (c *cellCase) crashAgain(task job.TaskID, worked time.Duration) {
	c.pass(3 * time.Second)
	w := c.loseWorker()
	c.pass(1300 * time.Millisecond)
	c.crash(w, task, worked)
}

// TestCrashExplainedByOtherTaskIsNoSignOfCommonCause guards against keeping the hazard of a common
// cause, once a task has turned out to crash one of the workers that crashed at about the same
// time.
func TestCrashExplainedByOtherTaskIsNoSignOfCommonCause(t *testing.T) {
	c := newCellCase(t)
	c.crashTogether()
	c.crashAgain(taskOf("a"), 604*time.Millisecond)
	before := c.tracker.Blame(taskOf("a"))
	for range 2 {
		c.crashAgain(taskOf("b"), 15*time.Millisecond)
	}
	assert.Check(t, blame.Probability(c.tracker.Blame(taskOf("b"))) > 0.9)
	after := c.tracker.Blame(taskOf("a"))
	assert.Equal(t, after.Crashes, before.Crashes)
	assert.Check(t, after.Odds > 2*before.Odds, "%v, %v", after.Odds, before.Odds)
}

// TestCrashesWithoutExplanationKeepTheirCommonCause guards against lowering the hazard of a common
// cause when crashes at other times are attributed to another task.
func TestCrashesWithoutExplanationKeepTheirCommonCause(t *testing.T) {
	c := newCellCase(t)
	c.crashTogether()
	before := c.tracker.Blame(taskOf("a"))
	for range 4 {
		c.crashAgain(taskOf("other"), 15*time.Millisecond)
	}
	assert.Check(t, blame.Probability(c.tracker.Blame(taskOf("other"))) > 0.9)
	assert.DeepEqual(t, c.tracker.Blame(taskOf("a")), before)
}

// TestJobIsGivenUpWhenOddsRiseBetweenCrashes guards against starting a task again whose odds have
// become high enough between two of its crashes.
func TestJobIsGivenUpWhenOddsRiseBetweenCrashes(t *testing.T) {
	c := newCellCase(t)
	c.crashTogether()
	for _, worked := range []time.Duration{604 * time.Millisecond, 650 * time.Millisecond, 300 * time.Millisecond, 606 * time.Millisecond} {
		c.crashAgain(taskOf("a"), worked)
	}
	assert.Check(t, !blame.IsGuilty(c.tracker.Blame(taskOf("a"))), "%+v", c.tracker.Blame(taskOf("a")))
	for range 2 {
		c.crashAgain(taskOf("b"), 15*time.Millisecond)
	}
	assert.Check(t, blame.IsGuilty(c.tracker.Blame(taskOf("a"))), "%+v", c.tracker.Blame(taskOf("a")))
	assert.Check(t, c.tracker.MustWait(c.now.Add(time.Hour), taskOf("a")))
	c.pass(2 * time.Second)
	assert.DeepEqual(t, c.tracker.GiveUpsDue(c.now)[0], taskOf("a"))
	assert.Check(t, blame.IsGuilty(c.tracker.Blame(taskOf("a"))))
}
