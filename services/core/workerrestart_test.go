// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package core_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/resource"
	"saddlevane/models/worker"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The cells of the tests of workers that restart: one shard with one worker or two.
const (
	oneWorkerCell = `name: cell
racks:
  - {name: r1, domain: a, shard: 0, workers: [w1], each: {processors: 4, memory: 8GiB}}
teams:
  - {name: t, quota: {processors: 100, memory: 1TiB}}
`
	twoWorkerCell = `name: cell
racks:
  - {name: r1, domain: a, shard: 0, workers: [w1, w2], each: {processors: 4, memory: 8GiB}}
teams:
  - {name: t, quota: {processors: 100, memory: 1TiB}}
`
)

// newRestartWorld returns a world in which the cell is in force. The first grant that is
// requested of each worker is taken out of transit and returned, by worker.
func newRestartWorld(t *testing.T, seed uint64, cell string, workers int) (*world, map[string]worker.Sync) {
	t.Helper()
	w := newWorld(seed, 1, workers)
	w.run(2 * time.Second)
	grants := map[string]worker.Sync{}
	w.intercept = func(e effect.SyncWorker) bool {
		if _, ok := grants[e.Worker]; ok || e.Sync.TTL == 0 {
			return false
		}
		grants[e.Worker] = e.Sync
		return true
	}
	w.mustPublish(t, "cell", cell)
	w.run(4 * time.Second)
	assert.Equal(t, len(grants), workers)
	w.intercept = nil
	return w, grants
}

// mustPublish publishes a file that must be accepted.
func (w *world) mustPublish(t *testing.T, file, data string) {
	t.Helper()
	r := w.publish(w.nodes[0], file, file, 0, data)
	assert.Equal(t, r.Outcome, effect.Accepted, "%v", r)
}

// runUntil advances the world until the condition holds.
func (w *world) runUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 400 {
		if condition() {
			return
		}
		w.run(step)
	}
	t.Fatalf("%s: not within %v", what, 400*step)
}

// TestTaskThatMayNotBeRepeatedIsNotStartedAgainAfterRestart guards against a start that was
// carried out, but not answered, being taken for one that was not, since a later incarnation
// does not report it.
func TestTaskThatMayNotBeRepeatedIsNotStartedAgainAfterRestart(t *testing.T) {
	for seed := range uint64(20) {
		w, _ := newRestartWorld(t, seed, oneWorkerCell, 1)
		restarted := false
		w.intercept = func(e effect.SyncWorker) bool {
			if restarted || len(e.Sync.Starts) == 0 {
				return false
			}
			restarted = true
			w.workers[e.Worker].Apply(w.now, e.Sync)
			w.workers[e.Worker].Restart(w.now, "2")
			return true
		}
		w.mustPublish(t, "one", "name: one\njobs:\n  - {name: one, team: t, count: 1, resources: {processors: 1}, command: [sleep, 2s]}\n")
		w.runUntil(t, "restart", func() bool { return restarted })
		w.run(10 * time.Second)
		assert.Equal(t, w.starts("one"), 1, "seed %d: %+v", seed, w.totalWork()["one"])
		assert.Equal(t, w.totalWork()["one"].Unknown, 1, "seed %d: %+v", seed, w.totalWork()["one"])
		w.checkNoViolations(t)
	}
}

// TestStartThatReachesOnlyLaterIncarnationIsSentAgain guards against a start that no earlier
// incarnation can have carried out leaving its task unknown.
func TestStartThatReachesOnlyLaterIncarnationIsSentAgain(t *testing.T) {
	for seed := range uint64(20) {
		w, _ := newRestartWorld(t, seed, oneWorkerCell, 1)
		restarted := false
		w.intercept = func(e effect.SyncWorker) bool {
			if !restarted && len(e.Sync.Starts) > 0 {
				restarted = true
				w.workers[e.Worker].Restart(w.now, "2")
			}
			return false
		}
		w.mustPublish(t, "one", "name: one\njobs:\n  - {name: one, team: t, count: 1, resources: {processors: 1}, command: [sleep, 2s]}\n")
		w.runUntil(t, "restart", func() bool { return restarted })
		w.run(10 * time.Second)
		assert.Equal(t, w.starts("one"), 1, "seed %d: %+v", seed, w.totalWork()["one"])
		assert.Equal(t, w.totalWork()["one"].Done, 1, "seed %d: %+v", seed, w.totalWork()["one"])
		w.checkNoViolations(t)
	}
}

// TestLateStartIsNotCarriedOutByLaterIncarnation guards against a start for an earlier
// incarnation being carried out by a later one, to which a late request of a grant has given
// the same epoch, while the task runs elsewhere.
func TestLateStartIsNotCarriedOutByLaterIncarnation(t *testing.T) {
	for seed := range uint64(20) {
		w, grants := newRestartWorld(t, seed, twoWorkerCell, 2)
		var late *effect.SyncWorker
		w.intercept = func(e effect.SyncWorker) bool {
			if late == nil && len(e.Sync.Starts) > 0 {
				late = &e
			}
			return late != nil && e.Worker == late.Worker
		}
		w.mustPublish(t, "one", "name: one\njobs:\n  - {name: one, team: t, count: 1, resources: {processors: 1}, command: [sleep, 5s], repeatable: true, retries: 1}\n")
		w.runUntil(t, "start elsewhere", func() bool { return w.starts("one") == 1 })
		first := w.workers[late.Worker]
		first.Restart(w.now, "2")
		first.Apply(w.now, grants[late.Worker])
		report := first.Apply(w.now, late.Sync)
		assert.Check(t, !report.Granted, "seed %d: a later incarnation carried out %+v", seed, late.Sync)
		w.run(step)
		w.checkNoViolations(t)
	}
}

// TestLateAcknowledgementIsNotCarriedOutByLaterIncarnation guards against an acknowledgement
// for an earlier incarnation dropping an outcome of a later one, to which a late request of a
// grant has given the same epoch.
func TestLateAcknowledgementIsNotCarriedOutByLaterIncarnation(t *testing.T) {
	for seed := range uint64(20) {
		w, grants := newRestartWorld(t, seed, oneWorkerCell, 1)
		var late *worker.Sync
		var started []worker.Start
		w.intercept = func(e effect.SyncWorker) bool {
			started = append(started, e.Sync.Starts...)
			if late == nil && len(e.Sync.Acks) > 0 {
				late = &e.Sync
				return true
			}
			return false
		}
		w.mustPublish(t, "one", "name: one\njobs:\n  - {name: one, team: t, count: 1, resources: {processors: 1}, command: [sleep, 100ms], repeatable: true, retries: 1}\n")
		w.runUntil(t, "acknowledgement", func() bool { return late != nil })
		later := w.workers["w1"]
		later.Restart(w.now, "2")
		granted := later.Apply(w.now, grants["w1"])
		// No holder sends this Sync: the later incarnation needs an outcome under the same ID.
		run := worker.Sync{Holder: granted.Holder, Epoch: granted.Epoch, Seq: late.Seq - 1, TTL: late.TTL, Starts: started}
		assert.Check(t, later.Apply(w.now, run).Granted)
		report := later.Apply(w.now.Add(time.Second), *late)
		assert.Check(t, !report.Granted, "seed %d: a later incarnation carried out %+v", seed, late)
		assert.Equal(t, len(report.Tasks), 1, "seed %d: the outcome is lost: %+v", seed, report)
	}
}

// TestLossOfTasksInRestartIsNoticed guards against a later incarnation, to which a late
// request of a grant has given the same epoch, being taken for the earlier one, whose
// inventory had the same version.
func TestLossOfTasksInRestartIsNoticed(t *testing.T) {
	for seed := range uint64(20) {
		w, grants := newRestartWorld(t, seed, oneWorkerCell, 1)
		w.mustPublish(t, "first", "name: first\nservices:\n  - {name: first, team: t, priority: urgent, count: 1, resources: {processors: 1}, command: [serve]}\n")
		w.runUntil(t, "first service", func() bool { return w.totalWork()["first"].Running == 1 })
		restarted := false
		w.intercept = func(e effect.SyncWorker) bool {
			if !restarted && len(e.Sync.Starts) > 0 {
				restarted = true
				w.workers["w1"].Restart(w.now, "2")
				w.workers["w1"].Apply(w.now, grants["w1"])
			}
			return false
		}
		w.mustPublish(t, "second", "name: second\nservices:\n  - {name: second, team: t, priority: urgent, count: 1, resources: {processors: 1}, command: [serve]}\n")
		w.runUntil(t, "restart", func() bool { return restarted })
		w.run(10 * time.Second)
		assert.Equal(t, len(w.workers["w1"].Running()), 2, "seed %d: %v", seed, w.workers["w1"].Running())
		w.checkNoViolations(t)
	}
}

// TestResumedHolderNoticesLaterHolderOfRestartedWorkers guards against a resumed holder taking
// the lease of a later incarnation for the next one after its own, because a later holder got
// the same epoch from it, and starting tasks that run on workers it cannot reach.
func TestResumedHolderNoticesLaterHolderOfRestartedWorkers(t *testing.T) {
	for seed := range uint64(150) {
		w := newSettledWorld(t, seed)
		old := w.nodes[2]
		r := w.publish(w.nodes[seed%2], "work", "work", 0, workFile)
		assert.Equal(t, r.Outcome, effect.Accepted, "%v", r)
		old.paused, old.dropsLogCalls, old.dropsPeerCalls = true, true, true
		w.workers["w1"].Restart(w.now, "2")
		w.workers["w3"].Restart(w.now, "2")
		w.run(5 * time.Second)
		old.unreachableWorkers["w2"], old.unreachableWorkers["w4"] = true, true
		for _, n := range w.nodes {
			n.paused = n != old
		}
		w.resume(old)
		w.run(2500 * time.Millisecond)
		w.checkNoViolations(t)
	}
}

// TestStopOfRunThatEndedInRestartIsNotRepeated guards against the stop of a duplicate run, which
// a restart has ended, being sent with each Sync from then on.
func TestStopOfRunThatEndedInRestartIsNotRepeated(t *testing.T) {
	w, _ := newRestartWorld(t, 1, twoWorkerCell, 2)
	w.mustPublish(t, "one", "name: one\nservices:\n  - {name: one, team: t, priority: urgent, count: 1, resources: {processors: 1}, command: [serve]}\n")
	w.runUntil(t, "service", func() bool { return w.workerRunning("one") != "w9" })
	other := "w1"
	if w.workerRunning("one") == other {
		other = "w2"
	}
	id := w.workers[w.workerRunning("one")].Running()[0]
	started, restarted, stops := false, false, 0
	w.intercept = func(e effect.SyncWorker) bool {
		switch {
		case e.Worker != other:
		case !started:
			// No holder sends this start beside the run of the other worker.
			started = true
			e.Sync.Starts = []worker.Start{{Task: id, Resources: resource.Vector{Processors: 1000}, Command: []string{"serve"}}}
			w.workers[other].Apply(w.now, e.Sync)
			return true
		case len(e.Sync.Stops) > 0 && !restarted:
			restarted = true
			w.workers[other].Restart(w.now, "2")
		case len(e.Sync.Stops) > 0:
			stops++
		}
		return false
	}
	w.runUntil(t, "restart", func() bool { return restarted })
	w.run(5 * time.Second)
	assert.Check(t, stops <= 1, "the stop was sent %d times after the restart", stops)
}

// TestNoTaskRunsTwiceWhileWorkersRestart guards against a task that runs twice, or a task that
// may not be repeated that starts twice, in random worlds in which workers restart beside the
// other faults, with Syncs that arrive late.
func TestNoTaskRunsTwiceWhileWorkersRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSettledWorld(t, rapid.Uint64().Draw(t, "seed"))
		r := w.publish(w.nodes[0], "work", "work", 0, workFile)
		assert.Equal(t, r.Outcome, effect.Accepted)
		for i := range rapid.IntRange(1, 12).Draw(t, "faults") {
			w.injectFault(t, i)
			w.run(time.Duration(rapid.IntRange(50, 1500).Draw(t, "ms before restart")) * time.Millisecond)
			name := fmt.Sprintf("w%d", rapid.IntRange(1, 4).Draw(t, "restarts"))
			w.workers[name].Restart(w.now, fmt.Sprint(i+2))
			w.run(time.Duration(rapid.IntRange(50, 1500).Draw(t, "ms")) * time.Millisecond)
			w.checkNoViolations(t)
		}
		w.healAndFinish(t)
		w.checkNoViolations(t)
	})
}
