// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"

	"gotest.tools/v3/assert"
)

// Workers were taken away shortly before the cell was handed over. The next holder could
// not ask them what they run, and started no task of any earlier job until their leases were
// over, 6.3 s later; before that the cell was handed over again, and the wait began anew. On
// one day 19 such workers of 350 held up all jobs for 18 s, while two thirds of the cell
// were free:
//
//	25.7569 state of the cell free=1713 processors=5584 unsettled=19 steps_late=73
//	30.1710 state of the cell free=3576 processors=5584 unsettled=19 steps_late=149
//	34.3308 state of the cell free=2536 processors=3168 unsettled=19 steps_late=127
//
// The holder before knew which tasks were on them.
func TestJobsDoNotWaitForWorkersUnresponsiveBeforeTakeover(t *testing.T) {
	w := newWorld(t, 1, 2, 9)
	w.waitUntilServing()
	lost := w.submit(longJob("lost", 1))
	w.until(time.Second, "the first job runs", func() bool { return w.runningCount("lost") == 1 })
	gone := w.workers[0]
	for _, f := range w.workers {
		if len(f.runs) > 0 {
			gone = f
		}
	}
	gone.cut = true
	w.run(3 * time.Second)
	w.submit(longJob("long", 9))
	w.until(time.Second, "the second runs", func() bool { return w.runningCount("long") > 5 })
	// The next takes its place, and waits: there is no room for all of it.
	w.submit(longJob("next", 7))
	w.run(500 * time.Millisecond)
	assert.Check(t, w.runningCount("next") < 7)
	w.killBox(w.holder(), 500*time.Millisecond)
	w.until(10*time.Second, "another box holds the cell", func() bool { return w.holder() != nil })
	held := w.now
	w.cancel(w.jobs["long"])
	w.until(10*time.Second, "the waiting tasks run", func() bool { return w.runningCount("next") == 7 })
	assert.Check(t, w.now.Sub(held) < 1500*time.Millisecond, "after %v", w.now.Sub(held))
	// What was on the silent worker begins again only when its lease is over.
	assert.Equal(t, w.runningCount("lost"), 1)
	w.until(10*time.Second, "its task has begun again", func() bool { return w.starts[job.TaskID{StepID: job.StepID{Job: "lost"}}] == 2 })
	w.check()
	w.cancel(lost)
}

// longJob returns a job of tasks of which a worker takes one.
func longJob(id string, tasks int) job.Submission {
	s := oneStep(id, "quick", tasks, false)
	s.Steps[0].Need = resource.Vector{Processors: 40 * resource.Processor, Memory: resource.GiB}
	s.Steps[0].Estimate = 60_000
	return s
}

// Workers fall silent and answer again while the cell changes hands, again and again: no
// task may start twice because of what the log told of a worker some time ago.
func TestUnresponsiveWorkersAcrossTakeovers(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 91000+seed, 3, 10)
			w.useWorkspaces()
			w.publishCaps(0)
			w.lateShare = []float64{0, 0, 0.05}[w.rng.Intn(3)]
			w.waitUntilServing()
			for range 12 {
				f := w.workers[w.rng.Intn(len(w.workers))]
				lasts := time.Duration(400+w.rng.Intn(5000)) * time.Millisecond
				w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, func() {
					if w.rng.Intn(3) == 0 {
						f.crash(lasts)
						return
					}
					f.cut = true
					w.after(lasts, func() { f.cut = false })
				})
			}
			for range 4 {
				w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, func() {
					if h := w.holder(); h != nil {
						w.killBox(h, time.Second)
					}
				})
			}
			w.plays()
		})
	}
}
