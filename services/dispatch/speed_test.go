// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/services/jobrecords"

	"gotest.tools/v3/assert"
)

func TestSlowWorkerGetsFewTasksAndIsRetried(t *testing.T) {
	w := newServingWorld(t, 21, 1, 4)
	countStarts := func(name string, jobs int) (slow, all int) {
		before := w.workers[0].startCount
		for i := range jobs {
			w.submit(oneStep(fmt.Sprintf("%s%d", name, i), "quick", 2, false))
			w.run(100 * time.Millisecond)
		}
		return w.workers[0].startCount - before, 2 * jobs
	}
	w.workers[0].slowdown = 6
	countStarts("warm", 60)
	slow, all := countStarts("slow", 60)
	assert.Check(t, slow < all/10, "%d of %d tasks were started on the slow worker", slow, all)

	w.workers[0].slowdown = 1
	w.waitUntil(20*time.Second, "the last run of the slow worker has ended", w.allEnded)
	w.run(11 * time.Second)
	slow, all = countStarts("usual", 100)
	assert.Check(t, slow > all/10, "%d of %d tasks were started on the worker that is no longer slow", slow, all)
	w.requireNoViolations()
}

// requireFewStartsOnSlowWorker submits jobs with 40 tasks in all, and fails the test if more than four of
// them are started on the first worker.
func (w *world) requireFewStartsOnSlowWorker() {
	w.t.Helper()
	before := w.workers[0].startCount
	for i := range 20 {
		w.submit(oneStep(fmt.Sprintf("next%d", i), "quick", 2, false))
		w.run(50 * time.Millisecond)
	}
	started := w.workers[0].startCount - before
	assert.Check(w.t, started <= 4, "%d of 40 tasks were started on the slow worker", started)
	w.requireNoViolations()
}

func TestLearnedSpeedsSurviveTakeover(t *testing.T) {
	w := newServingWorld(t, 22, 3, 4)
	w.workers[0].slowdown = 6
	for i := range 60 {
		w.submit(oneStep(fmt.Sprintf("warm%d", i), "quick", 2, false))
		w.run(100 * time.Millisecond)
	}
	w.run(5 * time.Second)
	w.holder().kill()
	w.waitUntil(10*time.Second, "another box holds the cell", func() bool { return w.holder() != nil })
	w.run(time.Second)
	w.requireFewStartsOnSlowWorker()
}

func TestSpeedsOfInterruptedStepsSurviveTakeover(t *testing.T) {
	w := newServingWorld(t, 23, 3, 4)
	w.workers[0].slowdown = 6
	takeOver := func() {
		w.holder().kill()
		w.waitUntil(10*time.Second, "another box holds the cell", func() bool { return w.holder() != nil })
		w.run(time.Second)
	}
	for i := range 8 {
		s := oneStep(fmt.Sprintf("wide%d", i), "quick", 30, false)
		s.Steps[0].PerWorker = 1
		w.submit(s)
	}
	// The next holder adopts runs of each step, so that it learns no run times, but speeds.
	w.run(500 * time.Millisecond)
	takeOver()
	w.waitUntil(120*time.Second, "all jobs have ended", w.allEnded)
	w.run(5 * time.Second)
	takeOver()
	w.requireFewStartsOnSlowWorker()
}

func TestGangRunsOnWorkersOfLikeSpeed(t *testing.T) {
	const fast, slow = 2000, -1000
	for _, test := range []struct {
		name   string
		speeds map[string][2]int
		want   []string
	}{
		{"two fast workers", map[string][2]int{"a": {slow, 0}, "b": {fast, 0}, "c": {fast, 0}, "d": {slow, 0}, "e": {slow, 0}}, []string{"b", "c"}},
		{"one fast worker", map[string][2]int{"a": {slow, 0}, "b": {fast, 0}, "c": {slow, 0}, "d": {slow, 0}, "e": {slow, 0}}, []string{"a", "c"}},
		{"one slow worker", map[string][2]int{"a": {slow, 0}, "b": {fast, 0}, "c": {fast, 0}, "d": {fast, 0}, "e": {fast, 0}}, []string{"b", "c"}},
		{"alike workers", map[string][2]int{"a": {20, 0}, "b": {-20, 0}, "c": {}, "d": {}, "e": {}}, []string{"a", "b"}},
		{"unknown speeds", nil, []string{"a", "b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newHarness(t)
			d.records = []stream.Record{jobrecords.SpeedsRecord(test.speeds)}
			var workers []order.Worker
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				workers = append(workers, order.Worker{Incarnation: order.Incarnation{Name: name}, Address: name, Pool: pool, Capacity: workerCapacity})
			}
			d, _ = newHolderOn(d, workers...)
			s := oneStep("j", "quick", 2, true)
			s.Steps[0].Need = workerCapacity
			var started []string
			for _, start := range effectsOf[exchange.StartRun](d.submitAndLog(s)) {
				started = append(started, start.Worker.Name)
			}
			slices.Sort(started)
			assert.DeepEqual(t, started, test.want)
		})
	}
}
