// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package core_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/status"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// init fixes the seed and the number of random worlds, unless SADDLEVANE_FREE_SEEDS asks
// for other seeds.
func init() {
	_ = flag.Set("rapid.checks", "60")
	if os.Getenv("SADDLEVANE_FREE_SEEDS") == "" {
		_ = flag.Set("rapid.seed", "1")
	}
}

const cellFile = `name: cell
racks:
  - {name: r1, domain: a, shard: 0, workers: [w1, w2], each: {processors: 4, memory: 8GiB}}
  - {name: r2, domain: a, shard: 1, workers: [w3, w4], each: {processors: 4, memory: 8GiB}}
teams:
  - {name: t, quota: {processors: 100, memory: 1TiB}}
`

const workFile = `name: work
services:
  - {name: serve, team: t, priority: urgent, count: 3, resources: {processors: 1, memory: 1GiB}, command: [serve]}
jobs:
  - {name: many, team: t, count: 40, resources: {processors: 1, memory: 1GiB}, command: [sleep, 700ms], repeatable: true, retries: 3}
  - {name: once, team: t, count: 20, resources: {processors: 1, memory: 1GiB}, command: [sleep, 500ms]}
gangs:
  - {name: gang, team: t, count: 2, resources: {processors: 1, memory: 1GiB}, command: [sleep, 900ms], repeatable: true, retries: 3}
`

// newSettledWorld returns a world in which the cell file is in force.
func newSettledWorld(t rapid.TB, seed uint64) *world {
	w := newWorld(seed, 3, 4)
	w.run(2 * time.Second)
	r := w.publish(w.nodes[0], "cell", "cell", 0, cellFile)
	assert.Equal(t, r.Outcome, effect.Accepted, "%v", r)
	w.run(2 * time.Second)
	return w
}

// totalWork returns the sum of the work that all nodes report, by object.
func (w *world) totalWork() map[string]status.Work {
	all := map[string]status.Work{}
	for _, n := range w.nodes {
		for _, row := range n.core.Work() {
			name, _, _ := strings.Cut(row.Object, "@")
			s := all[name]
			s.Running += row.Running
			s.Done += row.Done
			s.Failed += row.Failed
			s.Unknown += row.Unknown
			s.Waiting += row.Waiting
			all[name] = s
		}
	}
	return all
}

// allWorkEnded reports whether every job and gang of workFile has ended and all tasks of
// its service run.
func (w *world) allWorkEnded() bool {
	s := w.totalWork()
	return s["serve"].Running == 3 && s["many"].Done == 40 && s["gang"].Done == 2 &&
		s["once"].Done+s["once"].Unknown+s["once"].Failed == 20 && s["once"].Running == 0
}

// healAndFinish ends all faults and runs the world until all work has ended.
func (w *world) healAndFinish(t rapid.TB) {
	w.loss, w.logDown = 0, false
	for _, n := range w.nodes {
		n.dropsLogCalls, n.dropsPeerCalls = false, false
		n.unreachableWorkers = map[string]bool{}
		if n.paused {
			w.resume(n)
		}
	}
	w.run(5 * time.Second)
	w.removeDrains(t)
	for range 120 {
		w.run(time.Second)
		if w.allWorkEnded() {
			return
		}
	}
	t.Fatalf("not all work has ended\n%s", w.state())
}

// removeDrains ends all drains, because a shard may have no other worker left.
func (w *world) removeDrains(t rapid.TB) {
	for i := range 20 {
		f, ok := w.nodes[0].core.File("cell")
		if ok && !strings.Contains(f.Data, "drain: [w") {
			return
		}
		w.replace(w.nodes[0], fmt.Sprintf("undrain%d", i), "cell", cellFile)
		w.run(time.Second)
	}
	t.Fatalf("a drain could not be ended")
}

// state returns the state of all nodes and workers for failure messages.
func (w *world) state() string {
	var b strings.Builder
	for _, n := range w.nodes {
		d := n.core.Dump(w.now)
		fmt.Fprintf(&b, "%s %s: log %+v live %v\n", n.name, d.Process.Incarnation, d.Process.Log, d.Process.Live)
		for _, s := range d.Process.Shards {
			fmt.Fprintf(&b, "  shard %+v\n", s)
		}
		for _, r := range d.Work {
			fmt.Fprintf(&b, "  work %+v\n", r)
		}
		for _, p := range d.Places {
			fmt.Fprintf(&b, "  place %+v\n", p)
		}
	}
	for name, wk := range w.workers {
		fmt.Fprintf(&b, "worker %s runs %v\n", name, wk.Running())
	}
	return b.String()
}

// checkReservations checks that each holder has reserved exactly the resources of the tasks
// on its workers.
func (w *world) checkReservations(t rapid.TB) {
	for _, n := range w.nodes {
		for _, row := range n.core.Dump(w.now).Workers {
			want := fmt.Sprintf("%d processors", 4-row.Tasks)
			if row.Adopted && !strings.HasPrefix(row.Free, want) {
				t.Fatalf("%s computes that %s has %s free with %d tasks of one processor each", n.name, row.Name, row.Free, row.Tasks)
			}
		}
	}
}

// checkNoViolations fails the test if an invariant was violated or a task that may not be
// repeated was started twice.
func (w *world) checkNoViolations(t rapid.TB) {
	w.checkReservations(t)
	if len(w.violations) > 0 {
		t.Fatalf("%d violations, the first: %s", len(w.violations), w.violations[0])
	}
	for key, n := range w.startCounts("once") {
		if n > 1 {
			t.Fatalf("%s may not be repeated and was started %d times", key, n)
		}
	}
}

func TestAllWorkEndsWithoutFaults(t *testing.T) {
	w := newSettledWorld(t, 1)
	r := w.publish(w.nodes[1], "work", "work", 0, workFile)
	assert.Equal(t, r.Outcome, effect.Accepted, "%v", r)
	w.healAndFinish(t)
	w.checkNoViolations(t)
	assert.Equal(t, w.totalWork()["once"].Done, 20)
	for key, n := range w.startCounts("many") {
		assert.Equal(t, n, 1, "%s", key)
	}
}

// TestPlannedStopLeavesNoTaskUnknown stops and restarts each node while tasks that may not be
// repeated are running. All of them must finish: a planned change of holders must not leave a task
// whose intent is recorded, but whose start was never sent.
func TestPlannedStopLeavesNoTaskUnknown(t *testing.T) {
	for seed := range uint64(40) {
		w := newSettledWorld(t, seed)
		r := w.publish(w.nodes[1], "work", "work", 0, workFile)
		assert.Equal(t, r.Outcome, effect.Accepted, "%v", r)
		for i, n := range w.nodes {
			w.run(time.Duration(200+100*seed) * time.Millisecond)
			w.deliver(n, n.incarnation, event.Stop{})
			for ticks := 0; !w.stopped[n] && ticks < 400; ticks++ {
				w.run(step)
			}
			assert.Check(t, w.stopped[n], "seed %d: node %d did not stop", seed, i)
			w.boot(n)
		}
		w.healAndFinish(t)
		w.checkNoViolations(t)
		assert.Equal(t, w.totalWork()["once"].Done, 20, "seed %d: %+v", seed, w.totalWork()["once"])
	}
}

// TestGangThatCannotFitDoesNotBlockOthers removes one worker of each shard, so that the gang cannot
// fit any more. If the gang still prevented smaller tasks from overtaking it, the jobs would never
// finish.
func TestGangThatCannotFitDoesNotBlockOthers(t *testing.T) {
	w := newSettledWorld(t, 3)
	large := strings.Replace(workFile, "count: 2, resources: {processors: 1, memory: 1GiB}, command: [sleep, 900ms]",
		"count: 4, resources: {processors: 2, memory: 1GiB}, command: [sleep, 900ms]", 1)
	w.dead["w1"], w.dead["w3"] = true, true
	w.run(2 * time.Second)
	r := w.publish(w.nodes[1], "work", "work", 0, large)
	assert.Equal(t, r.Outcome, effect.Accepted, "%v", r)
	w.run(60 * time.Second)
	s := w.totalWork()
	assert.Equal(t, s["gang"].Waiting, 4)
	assert.Equal(t, s["many"].Done, 40)
	assert.Equal(t, s["once"].Done, 20)
}

// TestRequeuedGangMemberStartsOnce guards against placing a task twice: a task of a gang that the
// next holder finds stopped is both queued for a retry and counted as never started.
func TestRequeuedGangMemberStartsOnce(t *testing.T) {
	for seed := range uint64(60) {
		w := newSettledWorld(t, seed)
		r := w.publish(w.nodes[0], "work", "work", 0, workFile)
		assert.Equal(t, r.Outcome, effect.Accepted, "%v", r)
		w.run(time.Duration(50+20*(seed%20)) * time.Millisecond)
		w.replace(w.nodes[seed%3], "d", "cell", cellFile+"drain: [w2, w4]\n")
		w.run(50 * time.Millisecond)
		// The holder is paused, so that the next one adopts workers on which tasks of
		// the gang have been stopped, before it has started any.
		w.nodes[seed%3].paused = true
		w.run(4 * time.Second)
		w.checkNoViolations(t)
	}
}

// TestStoppedAttemptsDoNotCountAsRetries stops a job with one retry by drains before an attempt
// fails. The stopped attempts must not count, so that the job still has its retry.
func TestStoppedAttemptsDoNotCountAsRetries(t *testing.T) {
	w := newSettledWorld(t, 5)
	one := "name: one\njobs:\n  - {name: one, team: t, count: 1, resources: {processors: 1}, command: [sleep, 2s], repeatable: true, retries: 1}\n"
	r := w.publish(w.nodes[0], "one", "one", 0, one)
	assert.Equal(t, r.Outcome, effect.Accepted, "%v", r)
	for i := range 3 {
		w.run(time.Second)
		for _, wk := range w.workers {
			wk.FailAll = i == 2
		}
		w.replace(w.nodes[0], fmt.Sprint("drain", i), "cell", cellFile+"drain: ["+w.workerRunning("one")+"]\n")
	}
	w.run(500 * time.Millisecond)
	for _, wk := range w.workers {
		wk.FailAll = false
	}
	w.run(20 * time.Second)
	assert.Equal(t, w.totalWork()["one"].Done, 1, "%+v", w.totalWork()["one"])
}

func TestJobPastDeadlineStartsNothing(t *testing.T) {
	w := newSettledWorld(t, 6)
	late := "name: late\njobs:\n  - {name: late, team: t, count: 200, resources: {processors: 1}, command: [sleep, 1s], repeatable: true, deadline: '" +
		w.now.Add(3*time.Second).Format(time.RFC3339) + "'}\n"
	r := w.publish(w.nodes[0], "late", "late", 0, late)
	assert.Equal(t, r.Outcome, effect.Accepted, "%v", r)
	w.run(10 * time.Second)
	s := w.totalWork()["late"]
	assert.Check(t, s.Done > 0 && s.Waiting > 0 && s.Running == 0, "%+v", s)
	done := s.Done
	w.run(10 * time.Second)
	assert.Equal(t, w.totalWork()["late"].Done, done)
}

// workerRunning returns the worker that runs a task of the object, or "w9", which does not
// exist.
func (w *world) workerRunning(object string) string {
	for name, wk := range w.workers {
		for _, id := range wk.Running() {
			if id.Object.Name == object {
				return name
			}
		}
	}
	return "w9"
}

// TestNextHolderAdoptsWorkersRemovedFromFiles removes workers from the files while their tasks run,
// and pauses the holder before it reads that. The next holder must still adopt these workers, or it
// would start their tasks again elsewhere.
func TestNextHolderAdoptsWorkersRemovedFromFiles(t *testing.T) {
	for seed := range uint64(20) {
		w := newSettledWorld(t, seed)
		r := w.publish(w.nodes[0], "work", "work", 0, workFile)
		assert.Equal(t, r.Outcome, effect.Accepted, "%v", r)
		w.run(600 * time.Millisecond)
		// The holders are paused before they read that the workers were removed from
		// the files. Their tasks keep running there.
		without := strings.NewReplacer("[w1, w2]", "[w1]", "[w3, w4]", "[w3]").Replace(cellFile)
		w.replace(w.nodes[seed%3], "without", "cell", without)
		for _, n := range w.nodes {
			if len(n.core.Places(1)) > 0 {
				n.paused = true
			}
		}
		w.run(6 * time.Second)
		w.checkNoViolations(t)
		for _, n := range w.nodes {
			w.resume(n)
		}
		w.run(10 * time.Second)
		w.checkNoViolations(t)
	}
}

// TestResumedHolderWithoutLogStartsNoTaskOfLaterHolder resumes a paused holder without access to
// the log or its peers, after another box has taken its shard over. It reaches some of the workers
// and acquires their leases, and must not start tasks that run on the others.
func TestResumedHolderWithoutLogStartsNoTaskOfLaterHolder(t *testing.T) {
	for seed := range uint64(150) {
		w := newSettledWorld(t, seed)
		old := w.nodes[2]
		r := w.publish(w.nodes[seed%2], "work", "work", 0, workFile)
		assert.Equal(t, r.Outcome, effect.Accepted, "%v", r)
		old.paused, old.dropsLogCalls, old.dropsPeerCalls = true, true, true
		w.run(5 * time.Second)
		// The later holders are paused, and the old one is resumed and reaches only
		// some of the workers.
		old.unreachableWorkers["w2"], old.unreachableWorkers["w4"] = true, true
		for _, n := range w.nodes {
			n.paused = n != old
		}
		w.resume(old)
		w.run(2500 * time.Millisecond)
		w.checkNoViolations(t)
	}
}

// TestNoTaskRunsTwiceAndNoFileRevertsUnderRandomFaults injects random faults and checks that no
// task runs twice at the same time, that no task that may not be repeated starts twice, and that no
// file in force goes back to an older revision. After the faults have ended, all work must end too.
func TestNoTaskRunsTwiceAndNoFileRevertsUnderRandomFaults(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSettledWorld(t, rapid.Uint64().Draw(t, "seed"))
		r := w.publish(w.nodes[0], "work", "work", 0, workFile)
		assert.Equal(t, r.Outcome, effect.Accepted)
		for i := range rapid.IntRange(1, 12).Draw(t, "faults") {
			w.injectFault(t, i)
			w.run(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
			w.checkNoViolations(t)
		}
		w.healAndFinish(t)
		w.checkNoViolations(t)
		total += w.events
	})
	t.Logf("%d events", total)
}

// replace publishes a file in place of the revision that is in force at the node.
func (w *world) replace(n *node, id, file, data string) {
	if f, _ := n.core.File(file); f.Revision > 0 && !n.paused {
		w.publish(n, id, file, f.Revision, data)
	}
}

// injectFault injects one random fault or ends one.
func (w *world) injectFault(t *rapid.T, i int) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{
		"pause", "resume", "kill", "loss", "log", "log of one", "peers", "worker", "publish", "kill others", "stop", "worker dies", "new form", "drain",
	}).Draw(t, "fault") {
	case "pause":
		n.paused = true
	case "resume":
		w.resume(n)
	case "kill":
		w.boot(n)
	case "loss":
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "part")
	case "log":
		w.logDown = !w.logDown
	case "log of one":
		n.dropsLogCalls = !n.dropsLogCalls
	case "peers":
		n.dropsPeerCalls = !n.dropsPeerCalls
	case "worker":
		name := fmt.Sprintf("w%d", rapid.IntRange(1, 4).Draw(t, "worker"))
		n.unreachableWorkers[name] = !n.unreachableWorkers[name]
	case "publish":
		w.replace(n, fmt.Sprintf("p%d", i), "work", strings.Replace(workFile, "retries: 3", fmt.Sprintf("retries: %d", 4+i), 2))
	case "stop":
		w.deliver(n, n.incarnation, event.Stop{})
		w.run(time.Duration(rapid.IntRange(50, 2000).Draw(t, "until the end")) * time.Millisecond)
		w.boot(n)
	case "worker dies":
		// At most one worker of each shard dies, so that the work can still finish.
		name := rapid.SampledFrom([]string{"w1", "w3"}).Draw(t, "worker")
		w.dead[name] = true
	case "new form":
		changed := strings.Replace(workFile, "command: [serve]", fmt.Sprintf("command: [serve, '%d']", i), 1)
		w.replace(n, fmt.Sprintf("f%d", i), "work", changed)
	case "drain":
		drained := rapid.SampledFrom([]string{"[]", "[w2]", "[w4]"}).Draw(t, "drained")
		if !w.dead["w1"] && !w.dead["w3"] {
			w.replace(n, fmt.Sprintf("d%d", i), "cell", cellFile+"drain: "+drained+"\n")
		}
	case "kill others":
		for _, other := range w.nodes {
			if other != n && !other.paused {
				w.boot(other)
			}
		}
	}
}

// TestSuccessThatArrivesAfterTaskCountsAsLostIsRecorded cuts a worker off until its task, which has
// succeeded meanwhile, is queued or placed again. The success that the worker then reports must be
// recorded before it is acknowledged.
func TestSuccessThatArrivesAfterTaskCountsAsLostIsRecorded(t *testing.T) {
	for seed := range uint64(20) {
		w := newSettledWorld(t, seed)
		one := "name: one\njobs:\n  - {name: one, team: t, count: 1, resources: {processors: 1}, command: [sleep, 2s], repeatable: true, retries: 1}\n"
		r := w.publish(w.nodes[0], "one", "one", 0, one)
		assert.Equal(t, r.Outcome, effect.Accepted, "%v", r)
		for range 40 {
			if w.workerRunning("one") != "w9" {
				break
			}
			w.run(step)
		}
		first := w.workerRunning("one")
		for _, n := range w.nodes {
			n.unreachableWorkers[first] = true
		}
		for range 200 {
			if w.starts("one") == 2 {
				break
			}
			w.run(step)
		}
		assert.Equal(t, w.starts("one"), 2, "seed %d: the task was not started again", seed)
		for _, n := range w.nodes {
			n.unreachableWorkers[first] = false
		}
		w.run(time.Second)
		work := w.totalWork()["one"]
		assert.Equal(t, work.Done, 1, "seed %d: the success is not recorded: %+v", seed, work)
		w.run(6 * time.Second)
		work = w.totalWork()["one"]
		assert.Check(t, work.Done == 1 && work.Running == 0 && work.Waiting == 0, "seed %d: %+v", seed, work)
		assert.Equal(t, w.starts("one"), 2, "seed %d: the task was started again after its success was recorded", seed)
		w.checkNoViolations(t)
	}
}

// starts returns how often the tasks of an object were started, on all workers.
func (w *world) starts(object string) int {
	sum := 0
	for _, n := range w.startCounts(object) {
		sum += n
	}
	return sum
}
