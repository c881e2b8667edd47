// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package blame_test

import (
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/services/blame"

	"gotest.tools/v3/assert"
)

// gangCase records crashes under the runs of a gang of two workers, in a cell in which each worker
// crashes every 40 s by itself.
type gangCase struct {
	t       *testing.T
	tracker *blame.Tracker
	now     time.Time
	run     int64
	gang    job.TaskID
}

// newGangCase returns a case without crashes under the gang.
func newGangCase(t *testing.T) *gangCase {
	t.Helper()
	c := &gangCase{t: t, tracker: blame.NewTracker(), now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), gang: job.TaskID{StepID: job.StepID{Job: "gang"}}}
	assert.NilError(t, c.tracker.RestoreRate([]byte(`{"all":{"crashes":60,"seconds":2400}}`)))
	return c
}

// crashUnder records that a worker crashed after the gang's present run had worked for a time.
func (c *gangCase) crashUnder(worker string, worked, detectionDelay time.Duration, workers int) {
	c.t.Helper()
	c.now = c.now.Add(2 * time.Second)
	c.tracker.ObserveWorkers(c.now, map[string]int{"r": 24})
	c.tracker.RecordCrash(c.now, blame.Crash{
		Incarnation: incarnation(worker), Rack: "r", At: c.now, TasksKnown: true,
		Tasks: []blame.RunningTask{{Task: c.gang, Run: c.run, Gang: true, Worked: worked, DetectionDelay: detectionDelay, Workers: workers}},
	})
}

// TestCrashAfterSpontaneousCrashUnderSameGangRunIsCounted guards against ignoring all crashes under
// a run of a gang but the first. Under the third run, the worker of one member crashes by itself
// before the worker of the member that crashes its workers at 0.6 s.
func TestCrashAfterSpontaneousCrashUnderSameGangRunIsCounted(t *testing.T) {
	c := newGangCase(t)
	for _, worked := range []time.Duration{607 * time.Millisecond, 612 * time.Millisecond} {
		c.run++
		c.crashUnder("own", worked, 0, 2)
	}
	c.run++
	c.crashUnder("other", 70*time.Millisecond, 70*time.Millisecond, 2)
	c.crashUnder("own", 669*time.Millisecond, 67*time.Millisecond, 1)
	c.run++
	c.crashUnder("another", 199*time.Millisecond, 0, 2)
	c.run++
	c.crashUnder("own", 608*time.Millisecond, 0, 2)
	b := c.tracker.Blame(c.gang)
	assert.Equal(t, b.Crashes, 5)
	assert.Check(t, blame.IsGuilty(b), "%+v", b)
}

// TestSimultaneousCrashesUnderOneGangRunAreOneCrash guards against counting the loss of several
// workers of a gang as if each were a crash under a run of its own.
func TestSimultaneousCrashesUnderOneGangRunAreOneCrash(t *testing.T) {
	oneRun, threeRuns := newGangCase(t), newGangCase(t)
	oneRun.run = 1
	for _, worker := range []string{"a", "b", "c"} {
		oneRun.crashUnder(worker, 600*time.Millisecond, 0, 3)
		threeRuns.run++
		threeRuns.crashUnder(worker, 600*time.Millisecond, 0, 3)
	}
	together, apart := oneRun.tracker.Blame(oneRun.gang), threeRuns.tracker.Blame(threeRuns.gang)
	assert.Equal(t, together.Crashes, 1)
	assert.Equal(t, apart.Crashes, 3)
	assert.Check(t, together.Odds < 0.01*apart.Odds, "%v, %v", together.Odds, apart.Odds)
	assert.Check(t, !blame.IsGuilty(together), "%+v", together)
}

// TestSecondCrashUnderGangRunLetsNoTaskStartBeforeGiveUp guards against starting a gang again before
// its job is given up: a second crash under its run replaces the assessment of the first, and with
// it the time of the giving up.
func TestSecondCrashUnderGangRunLetsNoTaskStartBeforeGiveUp(t *testing.T) {
	c := newGangCase(t)
	for range 6 {
		c.run++
		c.crashUnder("own", 10*time.Millisecond, 0, 2)
	}
	assert.Check(t, blame.IsGuilty(c.tracker.Blame(c.gang)))
	first := c.now
	c.tracker.RecordCrash(first.Add(500*time.Millisecond), blame.Crash{
		Incarnation: incarnation("other"), Rack: "r", At: first.Add(500 * time.Millisecond), TasksKnown: true,
		Tasks: []blame.RunningTask{{Task: c.gang, Run: c.run, Gang: true, Worked: 510 * time.Millisecond, Workers: 1}},
	})
	assert.DeepEqual(t, c.tracker.GiveUpsDue(first.Add(1400*time.Millisecond)), []job.TaskID(nil))
	assert.Check(t, c.tracker.MustWait(first.Add(time.Hour), c.gang))
	assert.DeepEqual(t, c.tracker.GiveUpsDue(first.Add(1600*time.Millisecond)), []job.TaskID{c.gang})
}
