// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"
	"saddlevane/models/workspace"

	"gotest.tools/v3/assert"
)

// In a deployment with workspace caps, the resources that a workspace was using were not counted: 6
// to 12 starts a day brought a workspace above its cap, such as
//
//	tenant semi341 has [1073900, 1657168, 0] running; it may have [1227076, 1502109, 0]
//
// where the memory is above the cap, not the processors. The test runs random worlds whose jobs
// belong to workspaces with changing caps. At each start, the worker checks what is running of the
// workspace on all workers.
func TestWorkspacesStayWithinCaps(t *testing.T) {
	for seed := range seedCount() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 81000+seed, 3, 8)
			w.useWorkspaces()
			w.lateOrderShare = []float64{0, 0, 0.05}[w.rng.Intn(3)]
			w.waitUntilServing()
			for range 4 {
				w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, w.changeCaps)
			}
			// Remove all caps at the end, so that every job fits.
			w.after(18*time.Second, func() { w.publishCaps(0) })
			w.runWithFaults()
		})
	}
}

// testCaps returns workspaces with a cap on processors, with a cap on memory, and without a cap.
// The argument is the processor cap.
func testCaps(processors int64) []workspace.Workspace {
	cores := func(n int64) resource.Millis { return resource.Millis(n) * resource.Processor }
	all := []workspace.Workspace{
		{Name: "small", Weight: 100, Cap: resource.Vector{Processors: cores(processors)}},
		{Name: "narrow", Weight: 100, Cap: resource.Vector{Memory: resource.Bytes(processors/12) * resource.GiB}},
		{Name: "free", Weight: 100},
	}
	for i := range all {
		all[i].Keys = []workspace.Digest{workspace.DigestOf(all[i].Name)}
	}
	return all
}

// minCap is the number of processors that the largest gang of the random jobs needs.
const minCap = 6 * 21

// useWorkspaces assigns the world's jobs to workspaces and publishes their caps.
func (w *world) useWorkspaces() {
	w.workspaces = []string{"small", "narrow", "free", ""}
	w.publishCaps(minCap)
}

// changeCaps publishes random caps between one and three times minCap.
func (w *world) changeCaps() { w.publishCaps(int64(minCap + w.rng.Intn(2*minCap))) }

// publishCaps sends a configuration with the given processor cap to all boxes; 0 removes all caps.
func (w *world) publishCaps(processors int64) {
	all := testCaps(processors)
	if processors == 0 {
		for i := range all {
			all[i].Cap = resource.Vector{}
		}
	}
	w.publishWorkspaces(all)
}

// publishWorkspaces sends a configuration with the given workspaces to all boxes.
func (w *world) publishWorkspaces(all []workspace.Workspace) {
	next := w.config
	next.Version++
	if err := next.SetWorkspaces(all); err != nil {
		w.t.Fatal(err)
	}
	w.formerCaps = append(w.formerCaps, formerCaps{until: w.now, caps: w.config.Workspaces})
	w.config = next
	for _, b := range w.boxes {
		if b.alive {
			b.post(exchange.ConfigRead{Config: next})
		}
	}
}

// formerCaps are caps that were in force until the given time.
type formerCaps struct {
	until time.Time
	caps  map[string]workspace.Workspace
}

// maxOrderDelay is how long after it was sent a delayed order may still be carried out in these
// worlds.
const maxOrderDelay = 13 * time.Second

// maxCap returns the highest cap under which a start that is carried out now may have been ordered,
// for each resource separately. 0 means that there is no cap.
func (w *world) maxCap(name string) resource.Vector {
	limit := w.config.Workspaces[name].Cap
	window := time.Second
	if w.lateOrderShare > 0 {
		window = maxOrderDelay
	}
	for _, f := range w.formerCaps {
		if w.now.Sub(f.until) > window {
			continue
		}
		former := f.caps[name].Cap
		if limit.Processors == 0 || former.Processors == 0 {
			former.Processors, limit.Processors = 0, 0
		}
		if limit.Memory == 0 || former.Memory == 0 {
			former.Memory, limit.Memory = 0, 0
		}
		limit = limit.Max(former)
	}
	return limit
}

// checkCap reports a violation if a start brings a workspace above its cap.
func (w *world) checkCap(s order.Start) {
	name := w.jobs[s.Task.Job].sub.Workspace
	if name == "" {
		return
	}
	running := w.jobs[s.Task.Job].sub.Steps[s.Task.Step].Need
	for _, f := range w.workers {
		for run, r := range f.runs {
			if f.alive && w.jobs[run.Task.Job].sub.Workspace == name {
				running = running.Plus(r.step.Need)
			}
		}
	}
	limit := w.maxCap(name)
	if limit.Processors > 0 && running.Processors > limit.Processors || limit.Memory > 0 && running.Memory > limit.Memory {
		w.violationf("start of %v exceeds a cap: workspace %s has %v running, its cap is %v", s.Task, name, running, limit)
	}
}

// A gang larger than its workspace's cap can never start. It is refused at submission, instead of
// waiting until its caller gives up.
func TestGangLargerThanWorkspaceCapIsRefused(t *testing.T) {
	w := newWorld(t, 1, 1, 8)
	w.useWorkspaces()
	w.waitUntilServing()
	s := oneStep("wide", "quick", 40, true)
	s.Workspace = "small"
	got := w.callHolder(exchange.Submitted{Submission: s})
	assert.Equal(t, got.Outcome, exchange.OverLimit)
	assert.Equal(t, got.RetryAfter, job.Milliseconds(0))
	assert.Check(t, strings.Contains(got.Reason, "exceeds the workspace cap of {126 0B 0}"), got.Reason)
	// The same tasks without a gang can run one after another.
	s.Steps[0].Gang = false
	assert.Equal(t, w.callHolder(exchange.Submitted{Submission: s}).Outcome, exchange.OK)
}

// The explanation of a step that waits for its workspace's cap must say so.
func TestExplanationNamesWorkspaceCap(t *testing.T) {
	w := newWorld(t, 1, 1, 8)
	w.useWorkspaces()
	w.waitUntilServing()
	s := oneStep("j", "quick", 40, false)
	s.Workspace, s.Steps[0].Estimate = "small", 5000
	assert.Equal(t, w.callHolder(exchange.Submitted{Submission: s}).Outcome, exchange.OK)
	w.run(300 * time.Millisecond)
	got := w.callHolder(exchange.ExplanationAsked{Job: "j"})
	assert.Equal(t, got.Explanation.Workspace, "small")
	assert.Check(t, strings.Contains(got.Explanation.Steps[0].Reason, `tasks of workspace "small" use or may use`), got.Explanation.Steps[0].Reason)
}

// callHolder makes a call at the holder and waits for the answer.
func (w *world) callHolder(e exchange.Event) (got exchange.Answer) {
	w.t.Helper()
	answered := false
	w.holder().call(func(id exchange.CallID) exchange.Event {
		switch e := e.(type) {
		case exchange.Submitted:
			e.Call = id
			w.jobs[e.Submission.ID] = &submittedJob{
				sub: e.Submission, mayRun: true, done: map[job.TaskID]bool{}, acknowledged: map[job.TaskID]bool{}, acknowledgedFailures: map[job.TaskID]int{},
			}
			return e
		case exchange.StateAsked:
			e.Call = id
			return e
		case exchange.CancelAsked:
			e.Call = id
			return e
		case exchange.ExplanationAsked:
			e.Call = id
			return e
		default:
			w.t.Fatalf("event %T is not a call", e)
			return nil
		}
	}, func(a exchange.Answer) { got, answered = a, true })
	w.waitUntil(time.Second, "the call is answered", func() bool { return answered })
	return got
}

// API keys were not checked against the configuration: on each day 20 to 75 jobs ran under keys
// that were never in force, and up to 593 calls were served under revoked keys. The answer to a key
// of another workspace must not reveal whether a job exists.
func TestKeyAccessesOnlyJobsOfItsWorkspace(t *testing.T) {
	w := newWorld(t, 1, 1, 8)
	w.useWorkspaces()
	w.waitUntilServing()
	as := func(name string) *workspace.Caller {
		key := workspace.DigestOf(name)
		return &workspace.Caller{Queue: "quick", Version: w.config.Version, Current: true, Workspace: name, Digest: &key}
	}
	s := oneStep("j", "quick", 1, false)
	s.Steps[0].Estimate = 5000
	assert.Equal(t, w.callHolder(exchange.Submitted{Caller: as("small"), Submission: s}).Outcome, exchange.OK)
	assert.Equal(t, w.callHolder(exchange.StateAsked{Caller: as("small"), Job: "j"}).Outcome, exchange.OK)
	assert.DeepEqual(t, w.callHolder(exchange.StateAsked{Caller: as("free"), Job: "j"}), w.callHolder(exchange.StateAsked{Caller: as("free"), Job: "none"}))
	assert.DeepEqual(t, w.callHolder(exchange.CancelAsked{Caller: as("free"), Job: "j"}), w.callHolder(exchange.CancelAsked{Caller: as("free"), Job: "none"}))
	assert.Check(t, w.callHolder(exchange.Submitted{Caller: as("free"), Submission: s}).Outcome.HasNoEffect())
	// The next holder knows the job's workspace, also after the job has ended.
	for range 2 {
		w.killBox(w.holder(), 500*time.Millisecond)
		w.waitUntil(10*time.Second, "a holder serves", func() bool { return w.holder() != nil })
		assert.Equal(t, w.callHolder(exchange.StateAsked{Caller: as("free"), Job: "j"}).Outcome, exchange.NoJob)
		assert.Equal(t, w.callHolder(exchange.StateAsked{Caller: as("small"), Job: "j"}).Outcome, exchange.OK)
		w.run(10 * time.Second)
	}
	assert.Equal(t, w.callHolder(exchange.StateAsked{Caller: as("small"), Job: "j"}).State, job.Succeeded)
}

// A box that could not reach the log accepted keys that had been revoked in the meantime. The
// holder decides if it has the newer configuration. If neither knows that its configuration is
// current, the call is answered as unavailable.
func TestNewerConfigurationDecidesKeyValidity(t *testing.T) {
	w := newWorld(t, 1, 1, 8)
	w.useWorkspaces()
	w.waitUntilServing()
	key := workspace.DigestOf("k")
	withKey, without := maps.Clone(w.config.Keys), maps.Clone(w.config.Keys)
	withKey[key] = job.Key{Digest: key, Workspace: "small"}
	for _, c := range []struct {
		name            string
		known           bool
		holderIsCurrent bool
		box             int64
		boxIsCurrent    bool
		want            exchange.Outcome
	}{
		{"revoked, and the holder is current", false, true, 1, false, exchange.Denied},
		{"revoked, and the holder read the change some time ago", false, false, 1, false, exchange.Unavailable},
		{"revoked, and only the box knew its older version to be current", false, false, 1, true, exchange.Denied},
		{"in force, and the holder is current", true, true, 1, false, exchange.NoJob},
		{"newly issued, and the box is current with a newer version", false, true, 1000, true, exchange.NoJob},
		{"newly issued, and the box is not current either", false, true, 1000, false, exchange.Unavailable},
	} {
		next := w.config
		next.Version++
		next.Keys = without
		if c.known {
			next.Keys = withKey
		}
		w.config = next
		w.holder().post(exchange.ConfigRead{Config: next})
		w.configReadsStopped = true
		w.run(5 * time.Second)
		if c.holderIsCurrent {
			w.holder().post(exchange.ConfigReadEnded{AskedAt: w.now})
		}
		got := w.callHolder(exchange.StateAsked{Job: "none", Caller: &workspace.Caller{
			Queue: "quick", Digest: &key, Workspace: "small", Version: c.box, Current: c.boxIsCurrent,
		}})
		assert.Equal(t, got.Outcome, c.want, c.name)
	}
}

// After a takeover the new holder does not know what runs on a worker that it cannot reach. The log
// does not name a task whose job has ended, and a task whose job continues may be running there or
// waiting. Both kinds may run there until the worker's lease expires, so both count towards the
// cap.
func TestTasksOnUnreachableWorkersCountTowardsCapAfterTakeover(t *testing.T) {
	for name, ends := range map[string]bool{"whose job goes on": false, "whose job has ended": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 2, 8)
			w.useWorkspaces()
			w.waitUntilServing()
			first := oneStep("first", "quick", 2, false)
			first.Workspace, first.Steps[0].Service = "small", true
			first.Steps[0].Need.Processors = minCap * resource.Processor / 4
			a := w.submit(first)
			running := func() int { return w.runningCount("first") }
			w.waitUntil(2*time.Second, "the first job runs", func() bool { return running() == 2 })
			for _, f := range w.workers {
				f.unreachable = len(f.runs) > 0
			}
			if ends {
				w.cancel(a)
				w.waitUntil(time.Second, "it is cancelled", func() bool { return !a.cancelled.IsZero() })
			}
			w.killBox(w.holder(), 500*time.Millisecond)
			w.waitUntil(10*time.Second, "another box holds the cell", func() bool { return w.holder() != nil })
			assert.Equal(t, running(), 2)
			next := oneStep("next", "quick", 4, false)
			next.Workspace = "small"
			next.Steps[0].Need.Processors = minCap * resource.Processor / 4
			w.submit(next)
			w.waitUntil(10*time.Second, "all its tasks have started", func() bool {
				w.requireNoViolations()
				return w.jobs["next"].accepted && w.runningCount("next")+len(w.jobs["next"].done) == 4
			})
		})
	}
}

// runningCount returns the number of runs of a job on live workers.
func (w *world) runningCount(id job.ID) int {
	n := 0
	for _, f := range w.workers {
		for run := range f.runs {
			if f.alive && run.Task.Job == id {
				n++
			}
		}
	}
	return n
}
