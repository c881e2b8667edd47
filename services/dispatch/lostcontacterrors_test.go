// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"math/rand"
	"os"
	"testing"
	"time"
)

// downtimes are the times for which crashed workers are down: from shortest to longest. The zero value
// stands for the usual downtime.
type downtimes struct{ shortest, longest time.Duration }

// laterThanLease are downtimes after which the lease of the lost incarnation has expired.
var laterThanLease = downtimes{shortest: lease + time.Second, longest: 2 * lease}

// neverBack is the downtime of workers that do not come back.
var neverBack = downtimes{shortest: forever, longest: forever}

// lostContactClasses are the classes for which TestBothErrorsOfBlameBesideLostContact counts errors. CI
// plays the first ciClasses of them.
var lostContactClasses = []worldClass{
	{name: "one job loses contact with five workers in a row", inARow: 5, durationFactor: 2},
	{name: "one job loses contact with five workers in a row beside six kills of the holder", inARow: 5, holderKills: 6, durationFactor: 2},
	{name: "three guilty tasks whose workers are back late under other names", guiltyTasks: 3, guiltyDowntime: laterThanLease, uniqueNames: true, durationFactor: 1},
	{name: "three guilty tasks whose workers are back late beside six kills of the holder", guiltyTasks: 3, guiltyDowntime: laterThanLease, holderKills: 6, durationFactor: 1},
	{name: "three guilty tasks whose workers never come back", guiltyTasks: 3, guiltyDowntime: neverBack, durationFactor: 1},
	{name: "lost contact", contactLosses: 12, durationFactor: 6},
	{name: "lost contact beside crashes every 29 s", contactLosses: 12, crashInterval: 1200 * time.Millisecond, durationFactor: 6},
	{name: "lost contact beside six kills of the holder", contactLosses: 12, holderKills: 6, durationFactor: 6},
	{name: "one job loses contact with five workers in a row after long calm", inARow: 5, quietBefore: true, durationFactor: 2},
	{name: "three guilty tasks whose workers are back late", guiltyTasks: 3, guiltyDowntime: laterThanLease, durationFactor: 1},
	{name: "three guilty tasks whose workers are back late under other names beside six kills of the holder", guiltyTasks: 3, guiltyDowntime: laterThanLease, uniqueNames: true, holderKills: 6, durationFactor: 1},
	{name: "three guilty tasks whose workers never come back beside six kills of the holder", guiltyTasks: 3, guiltyDowntime: neverBack, holderKills: 6, durationFactor: 1},
	{name: "three guilty tasks beside lost contact", guiltyTasks: 3, contactLosses: 6, durationFactor: 1},
}

// Workers that are only out of sight must not make the scheduler give up a job, and guilty tasks must be
// given up although their workers come back later than the lease, or not at all. The errors are those of
// TestBothErrorsOfBlame; SADDLEVANE_RATES and SADDLEVANE_RATES_SEED apply to both tests. Without
// SADDLEVANE_RATES, only one world of some classes is run, because these worlds take long.
func TestBothErrorsOfBlameBesideLostContact(t *testing.T) {
	worlds, first := worldRange(t, "SADDLEVANE_RATES", 1, 1)
	classes := lostContactClasses
	if os.Getenv("SADDLEVANE_RATES") == "" {
		classes = classes[:ciClasses]
	}
	countErrorsOfBlame(t, classes, worlds, first)
}

// ciClasses is the number of classes that CI plays.
const ciClasses = 4

// maxEndTime returns how long the jobs of a class may take to end after 32 s. Workers that do not come back
// count as crashed only after five minutes.
func (c worldClass) maxEndTime() time.Duration {
	if c.guiltyDowntime == neverBack {
		return 12 * time.Minute
	}
	return 150 * time.Second
}

// prepare sets up what a new world of the class needs before its boxes serve.
func (c worldClass) prepare(w *world) {
	if c.guiltyDowntime == neverBack {
		// The states of all jobs are asked for until the last one has ended.
		w.endedRetention = 2 * c.maxEndTime()
		for _, b := range w.boxes {
			b.kill()
			b.start()
		}
	}
	if c.uniqueNames {
		w.nameIncarnationsUniquely()
	}
	// No run fails by itself, so that every sound job that fails does so without cause.
	w.noRandomFailures = c.contactLosses+c.inARow > 0
	if c.guiltyDowntime == (downtimes{}) {
		return
	}
	rng := rand.New(rand.NewSource(w.seed))
	w.crashUnderGuiltyTask = func(f *fakeWorker) {
		downtime := c.guiltyDowntime.shortest + time.Duration(rng.Int63n(int64(c.guiltyDowntime.longest-c.guiltyDowntime.shortest)+1))
		if rng.Intn(2) == 0 {
			// The machine is off, so that nothing refuses calls until the worker is back.
			f.unreachable = true
			w.after(downtime, func() { f.unreachable = false })
		}
		f.crash(downtime)
	}
}

// maxLossTime is the time until which workers are lost from sight.
const maxLossTime = 45 * time.Second

// scheduleContactLosses schedules the losses of contact of a class.
func (c worldClass) scheduleContactLosses(w *world) {
	for range c.contactLosses {
		l := w.drawContactLoss()
		w.after(time.Duration(w.rng.Int63n(int64(maxLossTime))), func() { w.loseContact(l) })
	}
	if c.inARow == 0 {
		return
	}
	rng := rand.New(rand.NewSource(w.rng.Int63()))
	w.after(time.Duration(w.rng.Intn(5000))*time.Millisecond, func() {
		w.submit(pursuedJob(rng))
		w.pursue("pursued", rng, c.inARow)
	})
}

// describeWaits returns how long after their losses tasks started again.
func (a *tally) describeWaits() string {
	if len(a.waits) == 0 {
		return "no task lost"
	}
	sum, longest := time.Duration(0), time.Duration(0)
	for _, d := range a.waits {
		sum += d
		longest = max(longest, d)
	}
	return fmt.Sprintf("%d starts after a loss, %.2f s after it in the mean, at most %.2f s", len(a.waits), (sum / time.Duration(len(a.waits))).Seconds(), longest.Seconds())
}

// A guilty task waited for minutes, since the worker that had replaced a missing one had answered before.
func TestMissingWorkerWhoseSuccessorHasAnsweredCountsAsCrashed(t *testing.T) {
	c := worldClass{
		name:        "three guilty tasks whose workers are back late under other names beside six kills of the holder",
		guiltyTasks: 3, guiltyDowntime: laterThanLease, uniqueNames: true, holderKills: 6, durationFactor: 1,
	}
	c.runWorld(t, 9900036).requireNoViolations()
}
