// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/stream"
	"saddlevane/services/jobrecords"

	"gotest.tools/v3/assert"
)

// worldClass describes a kind of random world: how often workers crash for reasons of their own,
// how often boxes are lost, and how many tasks are guilty, that is, crash their workers.
type worldClass struct {
	name string
	// crashInterval is the mean interval between crashes of any of the 24 workers; 0 means no
	// crashes.
	crashInterval time.Duration
	// guiltyTasks is the number of guilty tasks, faults the number of calls of injectCrashes, and
	// holderKills the number of times the holder is killed.
	guiltyTasks, faults, holderKills int
	// quietBefore makes the log record a long time without crashes before the world starts.
	quietBefore bool
	// durationFactor is the factor by which the estimates of all tasks are multiplied.
	durationFactor job.Milliseconds
	// guiltyDowntime, if set, bounds the time for which a worker that a guilty task has crashed is down.
	guiltyDowntime downtimes
	// uniqueNames gives each incarnation of a worker a name of its own.
	uniqueNames bool
	// contactLosses is the number of times that workers are lost from sight, and inARow how often a job
	// loses its worker so, one after the other.
	contactLosses, inARow int
}

// worldClasses are the classes for which TestBothErrorsOfBlame counts errors.
var worldClasses = []worldClass{
	{name: "each worker crashes every 7 s", crashInterval: 300 * time.Millisecond, durationFactor: 2},
	{name: "each worker crashes every 14 s", crashInterval: 600 * time.Millisecond, durationFactor: 2},
	{name: "each worker crashes every 20 s", crashInterval: 833 * time.Millisecond, durationFactor: 2},
	{name: "each worker crashes every 29 s", crashInterval: 1200 * time.Millisecond, durationFactor: 2},
	{name: "each worker crashes every 41 s", crashInterval: 1700 * time.Millisecond, durationFactor: 2},
	{name: "each worker crashes every 60 s", crashInterval: 2500 * time.Millisecond, durationFactor: 2},
	{name: "each worker crashes every 14 s after long calm", crashInterval: 600 * time.Millisecond, quietBefore: true, durationFactor: 2},
	{name: "each worker crashes every 29 s after long calm", crashInterval: 1200 * time.Millisecond, quietBefore: true, durationFactor: 2},
	{name: "three guilty tasks beside four troubles after long calm", guiltyTasks: 3, faults: 4, quietBefore: true, durationFactor: 1},
	{name: "three guilty tasks beside four troubles", guiltyTasks: 3, faults: 4, durationFactor: 1},
	{name: "three guilty tasks beside six kills of the holder", guiltyTasks: 3, holderKills: 6, durationFactor: 1},
	{name: "each worker crashes every 29 s beside six kills of the holder", crashInterval: 1200 * time.Millisecond, holderKills: 6, durationFactor: 2},
	{name: "each worker crashes every 60 s beside six kills of the holder", crashInterval: 2500 * time.Millisecond, holderKills: 6, durationFactor: 2},
	{name: "three guilty tasks beside crashes every 60 s", guiltyTasks: 3, crashInterval: 2500 * time.Millisecond, durationFactor: 1},
	{name: "three guilty tasks beside crashes every 29 s", guiltyTasks: 3, crashInterval: 1200 * time.Millisecond, durationFactor: 1},
}

// tally counts the results of the worlds of a class.
type tally struct {
	mu sync.Mutex
	// worlds counts the worlds that were run, soundGivenUp those that gave up a job without guilty
	// tasks, sixthStarts those that started a guilty task a sixth time, and notEnded those in which
	// some jobs did not end.
	worlds, soundGivenUp, sixthStarts, notEnded int
	// guilty counts the guilty tasks, and crashes the crashes they caused. guiltyStarts counts their
	// starts, and mostStarts those of the task that was started most often.
	guilty, crashes, guiltyStarts, mostStarts int
	// waits has the times from the loss of a task to its next start.
	waits []time.Duration
	// seeds holds the seed and first violation of each world with an error.
	seeds []string
}

// worldsPerClass returns how many worlds of each class are run, and the first seed.
// SADDLEVANE_RATES and SADDLEVANE_RATES_SEED override them, for example with 1000 worlds of other
// seeds.
func worldsPerClass(t *testing.T) (worlds, first int64) {
	return worldRange(t, "SADDLEVANE_RATES", 4, 1)
}

// The test counts two errors for each class of worlds: giving up a job without guilty tasks, and
// starting a guilty task a sixth time. Neither error may be reduced at the cost of the other. A
// single seed proves little, because each change of the scheduler makes it a different world; a
// rate over many fresh seeds does. For that, run 1,000 worlds a class with SADDLEVANE_RATES.
//
// Some errors cannot be avoided: a guilty task that crashes its workers after 0.6 s, at first among
// other tasks, while each worker also crashes every 29 s for reasons of its own. One or two of its
// five crashes are not caused by it, or are not detected in time, and the likelihoods of the others
// amount to lower odds than tasks that are not guilty reach there.
func TestBothErrorsOfBlame(t *testing.T) {
	worlds, first := worldsPerClass(t)
	countErrorsOfBlame(t, worldClasses, worlds, first)
}

// countErrorsOfBlame runs worlds of each class, from the first seed on, and fails for each class with an
// error.
func countErrorsOfBlame(t *testing.T, classes []worldClass, worlds, first int64) {
	for _, c := range classes {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var all tally
			t.Run("worlds", func(t *testing.T) {
				for seed := first; seed < first+worlds; seed++ {
					t.Run(fmt.Sprint(seed), func(t *testing.T) {
						t.Parallel()
						all.add(c.runWorld(t, seed))
					})
				}
			})
			t.Logf("%s: %d worlds, sound jobs given up in %d, sixth starts in %d, not ended %d; %d guilty tasks, %.2f crashes and %.2f starts each, at most %d; %s; %s",
				c.name, all.worlds, all.soundGivenUp, all.sixthStarts, all.notEnded, all.guilty, float64(all.crashes)/float64(max(1, all.guilty)),
				float64(all.guiltyStarts)/float64(max(1, all.guilty)), all.mostStarts, all.describeWaits(), strings.Join(all.seeds, ", "))
			assert.Check(t, all.soundGivenUp+all.sixthStarts+all.notEnded == 0)
		})
	}
}

// runWorld runs a world of the class. It draws all submissions and faults in advance, with a
// generator of their own, so that they stay the same for a seed whatever the scheduler does.
func (c worldClass) runWorld(t *testing.T, seed int64) *world {
	w := newWorld(t, seed, 3, 24)
	w.crashesVisible = true
	c.prepare(w)
	if c.quietBefore {
		// As after ten minutes without a crash.
		w.streams[stream.Jobs].records = append(w.streams[stream.Jobs].records, jobrecords.CrashRateRecord(map[string]any{"all": map[string]float64{"crashes": 0, "seconds": 9000}}))
	}
	w.waitUntilServing()
	schedulerRand := w.rng
	w.rng = rand.New(rand.NewSource(seed))
	for i := range 60 {
		s := w.randomJob(i)
		for k := range s.Steps {
			s.Steps[k].Estimate *= c.durationFactor
		}
		w.after(time.Duration(w.rng.Intn(25000))*time.Millisecond, func() { w.submit(s) })
	}
	service := w.submitService(6)
	for i := range c.guiltyTasks {
		rng := rand.New(rand.NewSource(w.rng.Int63()))
		w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, func() { w.withRand(rng, func() { w.submitGuiltyJob(i) }) })
	}
	for range c.faults {
		rng := rand.New(rand.NewSource(w.rng.Int63()))
		w.after(time.Duration(w.rng.Intn(25000))*time.Millisecond, func() { w.withRand(rng, w.injectCrashes) })
	}
	for range c.holderKills {
		downtime := time.Duration(500+w.rng.Intn(4000)) * time.Millisecond
		w.after(time.Duration(w.rng.Intn(25000))*time.Millisecond, func() {
			if h := w.holder(); h != nil {
				w.killBox(h, downtime)
			}
		})
	}
	for at := time.Second; c.crashInterval > 0 && at < 30*time.Second; at += time.Duration(w.rng.Int63n(int64(2 * c.crashInterval))) {
		f := w.workers[w.rng.Intn(len(w.workers))]
		w.after(at, func() { f.crash(crashDowntime) })
	}
	c.scheduleContactLosses(w)
	w.rng = schedulerRand
	for range 160 {
		w.run(200 * time.Millisecond)
		w.queryStates()
	}
	w.cancel(service)
	for range c.maxEndTime() / (100 * time.Millisecond) {
		w.run(100 * time.Millisecond)
		if w.allEnded() {
			return w.saveTrace(c.name)
		}
	}
	w.violationf("jobs have not ended")
	return w.saveTrace(c.name)
}

// withRand calls a function with another random generator for the world.
func (w *world) withRand(rng *rand.Rand, do func()) {
	previous := w.rng
	w.rng = rng
	do()
	w.rng = previous
}

// saveTrace writes the trace of a world with violations to a file in the directory
// SADDLEVANE_CRASH_TRACE, if that is set.
func (w *world) saveTrace(name string) *world {
	if dir := os.Getenv("SADDLEVANE_CRASH_TRACE"); dir != "" && len(w.violations) > 0 {
		text := strings.Join(append(w.trace, w.violations...), "\n")
		assert.NilError(w.t, os.WriteFile(fmt.Sprintf("%s/%s %d", dir, name, w.seed), []byte(text), 0o600))
	}
	return w
}

// add adds the result of a world.
func (a *tally) add(w *world) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.worlds++
	countIf := func(text string) int {
		if slices.ContainsFunc(w.violations, func(b string) bool { return strings.Contains(b, text) }) {
			return 1
		}
		return 0
	}
	a.soundGivenUp += countIf("is shown as failed")
	a.sixthStarts += countIf("times more after")
	a.notEnded += countIf("have not ended")
	a.guilty += len(w.guiltyTasks)
	for _, r := range w.crashRecords {
		a.crashes += r.crashes
	}
	for task := range w.guiltyTasks {
		a.guiltyStarts += w.starts[task]
		a.mostStarts = max(a.mostStarts, w.starts[task])
	}
	a.waits = append(a.waits, w.lossWaits...)
	if len(w.violations) > 0 {
		a.seeds = append(a.seeds, fmt.Sprintf("seed %d %s", w.seed, w.violations[0]))
	}
}
