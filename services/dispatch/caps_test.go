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

// On a deployment whose configuration names workspaces with caps, nobody counted what a
// workspace had running: on each day 6 to 12 starts brought one above its cap, such as
//
//	tenant semi341 has [1073900, 1657168, 0] running; it may have [1227076, 1502109, 0]
//
// in which it is the memory that is over, not the processors. The same worlds as for all
// other promises are played, with jobs of workspaces whose caps change; workers check at
// each start what runs of the workspace on all of them.
func TestWorkspacesStayWithinCaps(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 81000+seed, 3, 8)
			w.useWorkspaces()
			w.lateShare = []float64{0, 0, 0.05}[w.rng.Intn(3)]
			w.waitUntilServing()
			for range 4 {
				w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, w.changeCaps)
			}
			// Without bounds at the end, every job fits.
			w.after(18*time.Second, func() { w.publishCaps(0) })
			w.plays()
		})
	}
}

// testCaps returns the caps of a drawn configuration: of processors, of memory, or none.
func testCaps(least int64) []workspace.Workspace {
	cores := func(n int64) resource.Millis { return resource.Millis(n) * resource.Processor }
	return []workspace.Workspace{
		{Name: "small", Weight: 100, Cap: resource.Vector{Processors: cores(least)}},
		{Name: "narrow", Weight: 100, Cap: resource.Vector{Memory: resource.Bytes(least/12) * resource.GiB}},
		{Name: "free", Weight: 100},
	}
}

// minCap is enough for the largest gang of random jobs, in processors.
const minCap = 6 * 21

// useWorkspaces gives the jobs of a world workspaces, and their caps.
func (w *world) useWorkspaces() {
	w.workspaces = []string{"small", "narrow", "free", ""}
	w.publishCaps(minCap)
}

// changeCaps moves the caps up or down.
func (w *world) changeCaps() { w.publishCaps(int64(minCap + w.rng.Intn(2*minCap))) }

// publishCaps has all boxes read a configuration with other caps; 0 is no bound.
func (w *world) publishCaps(least int64) {
	next := w.config
	next.Version++
	all := testCaps(least)
	if least == 0 {
		for i := range all {
			all[i].Cap = resource.Vector{}
		}
	}
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

// formerCaps are caps that were in force until some time.
type formerCaps struct {
	until time.Time
	caps  map[string]workspace.Workspace
}

// maxOrderDelay is how long after its sending an order may be carried out in these worlds.
const maxOrderDelay = 13 * time.Second

// maxCap returns the highest cap under which a start may have been ordered that is carried
// out now: part by part, where 0 is none.
func (w *world) maxCap(name string) resource.Vector {
	most := w.config.Workspaces[name].Cap
	within := time.Second
	if w.lateShare > 0 {
		within = maxOrderDelay
	}
	for _, f := range w.formerCaps {
		if w.now.Sub(f.until) > within {
			continue
		}
		former := f.caps[name].Cap
		if most.Processors == 0 || former.Processors == 0 {
			former.Processors, most.Processors = 0, 0
		}
		if most.Memory == 0 || former.Memory == 0 {
			former.Memory, most.Memory = 0, 0
		}
		most = most.Max(former)
	}
	return most
}

// checkCap notes a start that brings a workspace above its cap.
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
	most := w.maxCap(name)
	if most.Processors > 0 && running.Processors > most.Processors || most.Memory > 0 && running.Memory > most.Memory {
		w.breaks("%v starts: workspace %s has %v running, and may have %v", s.Task, name, running, most)
	}
}

// A gang that its workspace's cap can never hold waited until its caller gave up; it is
// known when it is handed in.
func TestGangLargerThanWorkspaceCapIsRefused(t *testing.T) {
	w := newWorld(t, 1, 1, 8)
	w.useWorkspaces()
	w.waitUntilServing()
	s := oneStep("wide", "quick", 40, true)
	s.Workspace = "small"
	got := w.callHolder(exchange.Submitted{Submission: s})
	assert.Equal(t, got.Outcome, exchange.OverLimit)
	assert.Equal(t, got.RetryAfter, job.Milliseconds(0))
	assert.Check(t, strings.Contains(got.Reason, "the workspace may have {126 0B 0}"), got.Reason)
	// Its tasks one by one are not too much.
	s.Steps[0].Gang = false
	assert.Equal(t, w.callHolder(exchange.Submitted{Submission: s}).Outcome, exchange.OK)
}

// A workspace that waits for its cap is told so.
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
	assert.Check(t, strings.Contains(got.Explanation.Steps[0].Reason, `tasks of workspace "small" take or may take`), got.Explanation.Steps[0].Reason)
}

// callHolder makes a call at the holder and waits for its answer.
func (w *world) callHolder(e exchange.Event) (got exchange.Answer) {
	w.t.Helper()
	answered := false
	w.holder().ask(func(id exchange.CallID) exchange.Event {
		switch e := e.(type) {
		case exchange.Submitted:
			e.Call = id
			w.jobs[e.Submission.ID] = &asked{
				sub: e.Submission, mayRun: true, done: map[job.TaskID]bool{}, noted: map[job.TaskID]bool{}, failures: map[job.TaskID]int{},
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
			w.t.Fatalf("no call: %T", e)
			return nil
		}
	}, func(a exchange.Answer) { got, answered = a, true })
	w.until(time.Second, "the call is answered", func() bool { return answered })
	return got
}

// Each key was served, whatever the configuration said of it: on each day 20 to 75 jobs ran
// under keys that were never in force, and up to 593 calls under keys that had been taken
// away. What another workspace's key gets for a job must not tell that there is one.
func TestKeyAccessesOnlyJobsOfItsWorkspace(t *testing.T) {
	w := newWorld(t, 1, 1, 8)
	w.useWorkspaces()
	w.waitUntilServing()
	as := func(name string) *workspace.Caller {
		return &workspace.Caller{Queue: "quick", Version: w.config.Version, Current: true, Workspace: name}
	}
	s := oneStep("j", "quick", 1, false)
	s.Steps[0].Estimate = 5000
	assert.Equal(t, w.callHolder(exchange.Submitted{Caller: as("small"), Submission: s}).Outcome, exchange.OK)
	assert.Equal(t, w.callHolder(exchange.StateAsked{Caller: as("small"), Job: "j"}).Outcome, exchange.OK)
	assert.DeepEqual(t, w.callHolder(exchange.StateAsked{Caller: as("free"), Job: "j"}), w.callHolder(exchange.StateAsked{Caller: as("free"), Job: "none"}))
	assert.DeepEqual(t, w.callHolder(exchange.CancelAsked{Caller: as("free"), Job: "j"}), w.callHolder(exchange.CancelAsked{Caller: as("free"), Job: "none"}))
	assert.Check(t, w.callHolder(exchange.Submitted{Caller: as("free"), Submission: s}).Outcome.HasNoEffect())
	// The next holder knows whose job it is, also once it has ended.
	for range 2 {
		w.killBox(w.holder(), 500*time.Millisecond)
		w.until(10*time.Second, "a holder serves", func() bool { return w.holder() != nil })
		assert.Equal(t, w.callHolder(exchange.StateAsked{Caller: as("free"), Job: "j"}).Outcome, exchange.NoJob)
		assert.Equal(t, w.callHolder(exchange.StateAsked{Caller: as("small"), Job: "j"}).Outcome, exchange.OK)
		w.run(10 * time.Second)
	}
	assert.Equal(t, w.callHolder(exchange.StateAsked{Caller: as("small"), Job: "j"}).State, job.Succeeded)
}

// A box that had been turned away by the log let keys in that were taken away meanwhile, for
// as long as it was. The holder, which has read the newer configuration, is right; where
// neither knew its own to be the newest, nobody can say.
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
		{"taken away, and the holder knows", false, true, 1, false, exchange.Denied},
		{"taken away, and the holder has read that some time ago", false, false, 1, false, exchange.Unavailable},
		{"taken away, and only the box knew its older version to be the newest", false, false, 1, true, exchange.Denied},
		{"in force, and the holder knows", true, true, 1, false, exchange.NoJob},
		{"just given, and the box knows a newer version", false, true, 1000, true, exchange.NoJob},
		{"just given, and the box is not sure either", false, true, 1000, false, exchange.Unavailable},
	} {
		next := w.config
		next.Version++
		next.Keys = without
		if c.known {
			next.Keys = withKey
		}
		w.config = next
		w.holder().post(exchange.ConfigRead{Config: next})
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

// After a takeover the next holder does not know what runs on a worker that it cannot reach:
// a task whose job has ended is named nowhere in the log, and one whose job goes on may be
// there or wait. Both may run there until its lease is over, and count as if they did.
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
			w.until(2*time.Second, "the first job runs", func() bool { return running() == 2 })
			for _, f := range w.workers {
				f.cut = len(f.runs) > 0
			}
			if ends {
				w.cancel(a)
				w.until(time.Second, "it is cancelled", func() bool { return !a.cancelled.IsZero() })
			}
			w.killBox(w.holder(), 500*time.Millisecond)
			w.until(10*time.Second, "another box holds the cell", func() bool { return w.holder() != nil })
			assert.Equal(t, running(), 2)
			next := oneStep("next", "quick", 4, false)
			next.Workspace = "small"
			next.Steps[0].Need.Processors = minCap * resource.Processor / 4
			w.submit(next)
			w.until(10*time.Second, "all of it has begun", func() bool {
				w.check()
				return w.jobs["next"].accepted && w.runningCount("next")+len(w.jobs["next"].done) == 4
			})
		})
	}
}

// runningCount counts the runs of a job on workers that live.
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
