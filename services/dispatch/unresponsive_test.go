// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/models/stream"
	"saddlevane/services/jobrecords"

	"gotest.tools/v3/assert"
)

// Workers are lost shortly before a takeover. A new holder without a record of what may run on them
// starts no task of an earlier job until their leases expire, 6.3 s later, and a second takeover
// starts that wait again. 19 such workers of 350 delayed all jobs for 18 s while two thirds of the
// cell were free, although the earlier holder had known which tasks were on them.
func TestJobsDoNotWaitForWorkersUnresponsiveBeforeTakeover(t *testing.T) {
	w := newWorld(t, 1, 2, 9)
	w.waitUntilServing()
	lost := w.submit(longJob("lost", 1))
	w.waitUntil(time.Second, "the first job runs", func() bool { return w.runningCount("lost") == 1 })
	cutOff := w.workers[0]
	for _, f := range w.workers {
		if len(f.runs) > 0 {
			cutOff = f
		}
	}
	cutOff.unreachable = true
	w.run(3 * time.Second)
	w.submit(longJob("long", 9))
	w.waitUntil(time.Second, "the second runs", func() bool { return w.runningCount("long") > 5 })
	// There is no room for all tasks of the next job, so some of them wait.
	w.submit(longJob("next", 7))
	w.run(500 * time.Millisecond)
	assert.Check(t, w.runningCount("next") < 7)
	w.killBox(w.holder(), 500*time.Millisecond)
	w.waitUntil(10*time.Second, "another box holds the cell", func() bool { return w.holder() != nil })
	tookOver := w.now
	w.cancel(w.jobs["long"])
	w.waitUntil(10*time.Second, "the waiting tasks run", func() bool { return w.runningCount("next") == 7 })
	assert.Check(t, w.now.Sub(tookOver) < 1500*time.Millisecond, "after %v", w.now.Sub(tookOver))
	// The task on the unresponsive worker is started again only when its lease has expired.
	assert.Equal(t, w.runningCount("lost"), 1)
	w.waitUntil(10*time.Second, "its task has started again", func() bool { return w.starts[job.TaskID{StepID: job.StepID{Job: "lost"}}] == 2 })
	w.requireNoViolations()
	w.cancel(lost)
}

// A record of each worker that stayed out of reach was appended ten times a second once its lease had expired, 2.3 kB a
// second for each; while the log was away they piled up. One record says that nothing runs there any more.
func TestWorkersThatStayOutOfReachDoNotFillTheLog(t *testing.T) {
	w, f := newWorldWithLongRun(t)
	f.unreachable = true
	w.waitUntil(10*time.Second, "its task has started again", func() bool { return w.starts[job.TaskID{StepID: job.StepID{Job: "long"}}] == 2 })
	w.run(time.Second)
	before := w.workerRecords(f)
	assert.Equal(t, len(before[len(before)-1].Unresponsive.Runs), 0, "the last record must list no runs")
	w.run(20 * time.Second)
	assert.Equal(t, len(w.workerRecords(f)), len(before))
	f.unreachable = false
	w.run(2 * time.Second)
	after := w.workerRecords(f)
	assert.Equal(t, len(after), len(before)+1)
	assert.Check(t, after[len(after)-1].Unresponsive == nil, "the worker answers again")
}

// workerRecords returns all records of a worker that were appended, the oldest first.
func (w *world) workerRecords(f *fakeWorker) (all []jobrecords.KnownWorker) {
	for _, r := range w.streams[stream.Jobs].records {
		for _, known := range jobrecords.Decode([]stream.Record{r}).Workers {
			if known.Name == f.name {
				all = append(all, known)
			}
		}
	}
	return all
}

// longJob returns a job of one step, of which each worker has room for one task.
func longJob(id string, tasks int) job.Submission {
	s := oneStep(id, "quick", tasks, false)
	s.Steps[0].Need = resource.Vector{Processors: 40 * resource.Processor, Memory: resource.GiB}
	s.Steps[0].Estimate = 60_000
	return s
}

// Workers repeatedly stop answering and answer again while the holder changes. No task may run
// twice because of an outdated record of an unresponsive worker.
func TestUnresponsiveWorkersAcrossTakeovers(t *testing.T) {
	for seed := range seedCount() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 91000+seed, 3, 10)
			w.useWorkspaces()
			w.publishCaps(0)
			w.lateOrderShare = []float64{0, 0, 0.05}[w.rng.Intn(3)]
			w.waitUntilServing()
			for range 12 {
				f := w.workers[w.rng.Intn(len(w.workers))]
				duration := time.Duration(400+w.rng.Intn(5000)) * time.Millisecond
				w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, func() {
					if w.rng.Intn(3) == 0 {
						f.crash(duration)
						return
					}
					f.unreachable = true
					w.after(duration, func() { f.unreachable = false })
				})
			}
			for range 4 {
				w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, func() {
					if h := w.holder(); h != nil {
						w.killBox(h, time.Second)
					}
				})
			}
			w.runWithFaults()
		})
	}
}
