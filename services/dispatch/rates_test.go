// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/stream"
	"saddlevane/services/kept"

	"gotest.tools/v3/assert"
)

// worldClass is a kind of world of which many are played: how often workers crash by
// themselves, and how the boxes are lost, beside tasks that crash their workers.
type worldClass struct {
	name string
	// every is the mean time from one crash of any of the 24 workers to the next, or 0.
	crashInterval time.Duration
	// guilty is how many tasks crash their workers, troubles how many troubles come as in
	// crashesAmongOthers, kills how often the holder is killed.
	guiltyTasks, faults, holderKills int
	// calm says that the cell was calm for long before.
	quietBefore bool
	// longer is by what factor tasks take longer than usual.
	durationFactor job.Milliseconds
}

// worldClasses are the worlds in which both errors are counted: a job that crashes nothing is
// given up, a task that crashes its workers is started a sixth time.
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

// tally is what became of the worlds of a class.
type tally struct {
	mu sync.Mutex
	// worlds counts those played, sound those in which a job was given up that crashes
	// nothing, sixth those in which a guilty task was started a sixth time, unended those
	// in which jobs did not end.
	worlds, soundGivenUp, sixthStarts, notEnded int
	// guilty counts the tasks that crash their workers, crashes their crashes.
	guilty, crashes int
	// seeds has the seeds of worlds with an error.
	seeds []string
}

// worldsPerClass returns how many worlds of each class are played and their first seed. By hand:
// SADDLEVANE_RATES=1000 and SADDLEVANE_RATES_SEED for seeds of one's own.
func worldsPerClass(t *testing.T) (worlds, first int64) {
	worlds, first = 4, 1
	for name, to := range map[string]*int64{"SADDLEVANE_RATES": &worlds, "SADDLEVANE_RATES_SEED": &first} {
		text := os.Getenv(name)
		if text == "" {
			continue
		}
		n, err := strconv.ParseInt(text, 10, 64)
		assert.NilError(t, err, name)
		*to = n
	}
	return worlds, first
}

// Two errors are counted over worlds of each class: a job that crashes nothing is given up,
// and a task that crashes its workers is started a sixth time. Neither may be bought with the
// other. A seed proves little, since each change of the product plays another world under it;
// a rate over many fresh ones does: 1,000 worlds a class, by hand.
//
// What is left is a limit of what can be known: a guilty task that crashes its workers at
// 0.6 s, among others at first, beside workers that each crash every 29 s by themselves. One
// or two of its five crashes are not its own, or not seen in time, and the likelihoods of the
// others are worth less than the odds to which sound tasks come there.
func TestBothErrorsOfBlame(t *testing.T) {
	worlds, first := worldsPerClass(t)
	for _, c := range worldClasses {
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
			t.Logf("%s: %d worlds, sound jobs given up in %d, sixth starts in %d, not ended %d; %d guilty tasks, %.2f crashes each; %s",
				c.name, all.worlds, all.soundGivenUp, all.sixthStarts, all.notEnded, all.guilty, float64(all.crashes)/float64(max(1, all.guilty)), strings.Join(all.seeds, ", "))
			assert.Check(t, all.soundGivenUp+all.sixthStarts+all.notEnded == 0)
		})
	}
}

// runWorld plays a world of the class. What happens when is drawn before it begins, by a
// generator of its own, so that a seed stays the same world whatever the product draws.
func (c worldClass) runWorld(t *testing.T, seed int64) *world {
	w := newWorld(t, seed, 3, 24)
	w.crashesVisible = true
	if c.quietBefore {
		// Ten minutes without a crash.
		w.streams[stream.Jobs].records = append(w.streams[stream.Jobs].records, kept.CrashRateRecord(map[string]any{"all": map[string]float64{"crashes": 0, "seconds": 9000}}))
	}
	w.waitUntilServing()
	product := w.rng
	w.rng = rand.New(rand.NewSource(seed))
	for i := range 60 {
		s := w.randomJob(i)
		for k := range s.Steps {
			s.Steps[k].Estimate *= c.durationFactor
		}
		w.after(time.Duration(w.rng.Intn(25000))*time.Millisecond, func() { w.submit(s) })
	}
	lasts := w.submitService(6)
	for i := range c.guiltyTasks {
		draws := rand.New(rand.NewSource(w.rng.Int63()))
		w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, func() { w.withRand(draws, func() { w.submitGuiltyJob(i) }) })
	}
	for range c.faults {
		draws := rand.New(rand.NewSource(w.rng.Int63()))
		w.after(time.Duration(w.rng.Intn(25000))*time.Millisecond, func() { w.withRand(draws, w.injectCrashes) })
	}
	for range c.holderKills {
		back := time.Duration(500+w.rng.Intn(4000)) * time.Millisecond
		w.after(time.Duration(w.rng.Intn(25000))*time.Millisecond, func() {
			if h := w.holder(); h != nil {
				w.killBox(h, back)
			}
		})
	}
	for at := time.Second; c.crashInterval > 0 && at < 30*time.Second; at += time.Duration(w.rng.Int63n(int64(2 * c.crashInterval))) {
		f := w.workers[w.rng.Intn(len(w.workers))]
		w.after(at, func() { f.crash(crashDowntime) })
	}
	w.rng = product
	for range 160 {
		w.run(200 * time.Millisecond)
		w.queryStates()
	}
	w.cancel(lasts)
	for range 1500 {
		w.run(100 * time.Millisecond)
		if w.allEnded() {
			return w.saveTrace(c.name)
		}
	}
	w.violationf("jobs have not ended")
	return w.saveTrace(c.name)
}

// withRand lets a generator of its own draw while something is done.
func (w *world) withRand(draws *rand.Rand, do func()) {
	product := w.rng
	w.rng = draws
	do()
	w.rng = product
}

// saveTrace writes the lines of a world in which something broke to a file, if
// SADDLEVANE_CRASH_TRACE names a folder.
func (w *world) saveTrace(name string) *world {
	if dir := os.Getenv("SADDLEVANE_CRASH_TRACE"); dir != "" && len(w.violations) > 0 {
		text := strings.Join(append(w.trace, w.violations...), "\n")
		assert.NilError(w.t, os.WriteFile(fmt.Sprintf("%s/%s %d", dir, name, w.seed), []byte(text), 0o600))
	}
	return w
}

// add counts a world.
func (a *tally) add(w *world) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.worlds++
	has := func(text string) int {
		if slices.ContainsFunc(w.violations, func(b string) bool { return strings.Contains(b, text) }) {
			return 1
		}
		return 0
	}
	a.soundGivenUp += has("is shown as failed")
	a.sixthStarts += has("times more after")
	a.notEnded += has("have not ended")
	a.guilty += len(w.guiltyTasks)
	for _, r := range w.crashRecords {
		a.crashes += r.crashes
	}
	if len(w.violations) > 0 {
		a.seeds = append(a.seeds, fmt.Sprintf("seed %d %s", w.seed, w.violations[0]))
	}
}
