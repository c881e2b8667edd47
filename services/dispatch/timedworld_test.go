// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/job"
)

// TestTimedJobsWhileClocksAreStepped runs worlds in which the wall clocks of the boxes are stepped while
// jobs run at set times and the cell is taken over. Workers that the next holder cannot reach at first
// report the ends of runs later.
func TestTimedJobsWhileClocksAreStepped(t *testing.T) {
	for seed := range seedCount() / 2 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runTimedWorld(t, 150_000+seed)
		})
	}
}

// maxClockStep bounds how far the wall clock of a box is from the world's time.
const maxClockStep = 3 * time.Second

// runTimedWorld runs the world of a seed for TestTimedJobsWhileClocksAreStepped.
func runTimedWorld(t *testing.T, seed int64) {
	w := newWorld(t, seed, 3, 8)
	w.waitUntilServing()
	for i := range 12 {
		w.after(time.Duration(w.rng.Intn(4000))*time.Millisecond, func() { w.submit(w.timedJob(i)) })
	}
	for range 10 {
		w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, w.stepClock)
	}
	for range 4 {
		w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, w.loseHolderAndWorkers)
	}
	w.runChecked(100)
	w.runUntilEnded()
}

// timedJob returns a job with a step, which may be a gang, that runs several times.
func (w *world) timedJob(i int) job.Submission {
	s := oneStep(fmt.Sprint("timed", i), "quick", 1+w.rng.Intn(3), w.rng.Intn(3) == 0)
	s.Steps[0].Estimate = job.Milliseconds(100 + w.rng.Intn(900))
	s.Repeat = job.Repeat{
		Times: 3 + w.rng.Intn(6), FirstUnixMilli: w.now.Add(time.Duration(w.rng.Intn(2000)) * time.Millisecond).UnixMilli(),
		Interval: job.Milliseconds(300 + w.rng.Intn(1500)),
	}
	return s
}

// stepClock sets the wall clock of a box ahead or back.
func (w *world) stepClock() {
	b := w.boxes[w.rng.Intn(len(w.boxes))]
	b.clockOffset = time.Duration(w.rng.Int63n(int64(2*maxClockStep))) - maxClockStep
}

// loseHolderAndWorkers kills the holder, and makes some workers unreachable for a while, some of them
// for longer than their leases last.
func (w *world) loseHolderAndWorkers() {
	if h := w.holder(); h != nil {
		w.killBox(h, time.Second)
	}
	for _, f := range w.workers {
		if w.rng.Intn(4) != 0 {
			continue
		}
		f.unreachable = true
		w.after(time.Duration(200+w.rng.Intn(8000))*time.Millisecond, func() { f.unreachable = false })
	}
}
