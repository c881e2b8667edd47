// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"saddlevane/models/mechanism"

	"gotest.tools/v3/assert"
)

// seedCount returns the number of random worlds that each test runs.
func seedCount() int64 {
	if os.Getenv("SADDLEVANE_FREE_SEEDS") != "" {
		return 400
	}
	return 60
}

// TestRandomWorlds runs worlds in which boxes, workers and the log fail. Whenever a task starts,
// the guarantees of the scheduler are checked. SADDLEVANE_SEED runs a single world;
// SADDLEVANE_FREE_SEEDS runs more worlds, of seeds that differ each time.
func TestRandomWorlds(t *testing.T) {
	if text := os.Getenv("SADDLEVANE_SEED"); text != "" {
		seed, err := strconv.ParseInt(text, 10, 64)
		assert.NilError(t, err)
		runRandomWorld(t, seed)
		return
	}
	base := int64(0)
	if os.Getenv("SADDLEVANE_FREE_SEEDS") != "" {
		base = time.Now().UnixNano() % 1_000_000_000
	}
	for seed := range seedCount() {
		t.Run(fmt.Sprint(base+seed), func(t *testing.T) {
			t.Parallel()
			runRandomWorld(t, base+seed)
		})
	}
}

// TestRandomWorldsWithLateAnswers runs worlds in which many answers to renewals arrive seconds late
// and several at once, as they do if the holder is overloaded or its network link is saturated.
func TestRandomWorldsWithLateAnswers(t *testing.T) {
	for seed := range seedCount() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 7000+seed, 3, 8)
			w.lateAnswerShare = []float64{0.1, 0.4, 0.8}[w.rng.Intn(3)]
			w.waitUntilServing()
			w.runWithFaults()
		})
	}
}

// TestRandomWorldsWithManyFailures runs worlds in which a large share of the runs end failed, so that most jobs have
// some tasks that are just below their number of attempts. SADDLEVANE_FAILURE_WORLDS sets how many worlds run, and
// SADDLEVANE_FAILURE_WORLDS_SEED the first seed.
func TestRandomWorldsWithManyFailures(t *testing.T) {
	worlds, first := worldRange(t, "SADDLEVANE_FAILURE_WORLDS", 60, 470_000)
	for seed := range worlds {
		t.Run(fmt.Sprint(first+seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, first+seed, 3, 8)
			w.failurePercent = []int{12, 25, 40}[w.rng.Intn(3)]
			w.lateOrderShare = []float64{0, 0.05, 0.2}[w.rng.Intn(3)]
			w.lateAnswerShare = []float64{0, 0, 0.4}[w.rng.Intn(3)]
			w.waitUntilServing()
			w.runWithFaults()
		})
	}
}

// runRandomWorld runs the random world of a seed with all mechanisms.
func runRandomWorld(t *testing.T, seed int64) { runRandomWorldWithout(t, seed) }

// runRandomWorldWithout runs a random world in which some mechanisms are disabled.
func runRandomWorldWithout(t *testing.T, seed int64, disabled ...mechanism.Mechanism) {
	w := newWorld(t, seed, 3, 8)
	w.disabled = map[mechanism.Mechanism]bool{}
	for _, m := range disabled {
		w.disabled[m] = true
	}
	for _, b := range w.boxes {
		b.kill()
		b.start()
	}
	w.waitUntilServing()
	w.lateOrderShare = []float64{0, 0, 0.05}[w.rng.Intn(3)]
	w.runWithFaults()
}

// runWithFaults submits random jobs while faults are injected, checks the guarantees and waits
// until all jobs have ended.
func (w *world) runWithFaults() {
	w.t.Helper()
	for i := range 40 {
		w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, func() {
			a := w.submit(w.randomJob(i))
			if w.rng.Intn(10) == 0 {
				w.after(time.Duration(w.rng.Intn(4000))*time.Millisecond, func() { w.cancel(a) })
			}
		})
	}
	for range 6 {
		w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, w.injectFault)
	}
	w.runChecked(100)
	w.lateOrderShare, w.lateAnswerShare = 0, 0
	w.runUntilEnded()
}

// runChecked runs the world for a number of steps of 200 ms and fails the test if a guarantee was
// broken.
func (w *world) runChecked(steps int) {
	w.t.Helper()
	for range steps {
		w.run(200 * time.Millisecond)
		w.queryStates()
		w.requireNoViolations()
	}
}

// runUntilEnded runs the world until all accepted jobs have ended. It fails the test, and logs the
// jobs that remain, if that takes longer than 150 s.
func (w *world) runUntilEnded() {
	w.t.Helper()
	for range 1500 {
		w.run(100 * time.Millisecond)
		if w.allEnded() {
			w.requireNoViolations()
			return
		}
	}
	for _, id := range w.jobIDs {
		if a := w.jobs[id]; a.accepted && !a.state.IsFinal() {
			w.t.Logf("%s is %s: %+v, done %v", id, a.state, a.sub, a.done)
		}
	}
	w.fatalf("jobs have not ended")
}

// injectFault injects one random fault that lasts 0.5 to 6.5 s.
func (w *world) injectFault() {
	duration := time.Duration(500+w.rng.Intn(6000)) * time.Millisecond
	b := w.boxes[w.rng.Intn(len(w.boxes))]
	if h := w.holder(); h != nil && w.rng.Intn(2) == 0 {
		b = h
	}
	f := w.workers[w.rng.Intn(len(w.workers))]
	switch w.rng.Intn(11) {
	case 10:
		// A stalled run never ends by itself. Only a scheduler that moves runs can complete such a
		// task.
		f.stallsRuns = !w.disabled[mechanism.MovedRuns]
		w.after(duration, func() { f.stallsRuns = false })
	case 0:
		w.killBox(b, duration)
	case 1:
		b.pausedUntil = w.now.Add(duration)
	case 2:
		b.logUnreachable = true
		w.after(duration, func() { b.logUnreachable = false })
	case 3:
		b.logUnreachable, b.peersUnreachable = true, true
		w.after(duration, func() { b.logUnreachable, b.peersUnreachable = false, false })
	case 4:
		w.logDown = true
		w.after(duration, func() { w.logDown = false })
	case 5:
		w.unansweredAppendShare = 0.4
		w.after(duration, func() { w.unansweredAppendShare = 0 })
	case 6:
		f.crash(duration)
	case 7:
		f.unreachable = true
		w.after(duration, func() { f.unreachable = false })
	case 8:
		f.unlisted = true
		w.after(duration, func() { f.unlisted = false })
	case 9:
		for _, other := range w.boxes {
			w.killBox(other, duration)
		}
	}
}

// killBox kills a box and restarts it after a downtime.
func (w *world) killBox(b *fakeBox, downtime time.Duration) {
	if !b.alive {
		return
	}
	b.kill()
	w.after(downtime, b.start)
}
