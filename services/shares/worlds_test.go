// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shares_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/models/workspace"
	"saddlevane/services/ranking"
	"saddlevane/services/shares"

	"gotest.tools/v3/assert"
)

// waitingStep is a step in the order of a plan.
type waitingStep struct {
	ranking.Rank
	workspace string
}

// randomSteps returns steps with random ranks, of workspaces with the given names.
func randomSteps(rng *rand.Rand, names []string, n int) []waitingStep {
	all := make([]waitingStep, n)
	for i := range all {
		all[i] = waitingStep{workspace: names[rng.Intn(len(names))], Rank: ranking.Rank{
			AdviceExpiring: rng.Intn(20) == 0, Tier: ranking.Tier(rng.Intn(3)), Priority: rng.Intn(3),
			Deadline: time.Unix(rng.Int63n(100), 0), Work: rng.ExpFloat64() * 0.05, Step: job.StepID{Job: job.ID(fmt.Sprint(i))},
		}}
	}
	return all
}

// order sorts steps as in a backlog, by the shares of their workspaces.
func order(t *shares.Tracker, all []waitingStep) {
	for i := range all {
		s := &all[i]
		s.OverShare = t.IsOver(s.workspace, s.Work)
	}
	slices.SortFunc(all, func(a, b waitingStep) int { return a.Compare(b.Rank, true) })
}

// randomCell returns a cell with random workspaces after a random load.
func randomCell(t *testing.T, rng *rand.Rand) (*cell, []string) {
	weights := map[string]float64{}
	var names []string
	for i := range 2 + rng.Intn(8) {
		names = append(names, fmt.Sprint("ws", i))
		weights[names[i]] = float64(rng.Intn(50))
	}
	c := newCell(t, weights)
	for range 1 + rng.Intn(5) {
		var steps []shares.Step
		free := c.size
		for range rng.Intn(30) {
			n := rng.Intn(1 + min(free, 200))
			free -= n
			steps = append(steps, step(names[rng.Intn(len(names))], n, rng.Intn(50)))
		}
		for _, name := range names {
			steps = append(steps, step(name, 0, 1))
		}
		c.run(time.Duration(rng.Intn(10_000))*time.Millisecond, steps...)
	}
	// The averages come near to present use, whatever was borrowed and forgotten before.
	c.run(2*window, c.steps...)
	return c, names
}

// TestWorkspacesWithinSharesGoFirst checks in random worlds that no workspace under its entitled share
// waits in a backlog while a step of another workspace, which has taken a fifth more than its share for
// two windows, is placed first in the same tier. The exception are small steps, whose work is limited.
func TestWorkspacesWithinSharesGoFirst(t *testing.T) {
	for seed := range int64(300) {
		rng := rand.New(rand.NewSource(5600 + seed))
		c, names := randomCell(t, rng)
		all := randomSteps(rng, names, 60)
		order(c.tracker, all)
		status := map[string]job.WorkspaceStatus{}
		for _, s := range c.status() {
			status[s.Name] = s
		}
		for i, first := range all {
			of := status[first.workspace]
			isSmall := first.Work <= 0.1*of.Entitled*window.Seconds()
			if of.Used.DominantShare(processors(c.size)) < 1.2*of.Entitled || isSmall {
				continue
			}
			for _, later := range all[i+1:] {
				under := status[later.workspace].InUse < status[later.workspace].Entitled
				comparable := later.Tier == first.Tier && later.AdviceExpiring == first.AdviceExpiring
				assert.Assert(t, !under || !comparable, "seed %d: %+v is placed before %+v", seed, first, later)
			}
		}
	}
}

// TestOrderWithoutWorkspacesIsUnchanged checks that steps without a workspace, and those of a single
// workspace, are placed in the order of their other criteria.
func TestOrderWithoutWorkspacesIsUnchanged(t *testing.T) {
	for _, name := range []string{"", "only"} {
		for seed := range int64(50) {
			rng := rand.New(rand.NewSource(seed))
			c := newCell(t, map[string]float64{"only": 3})
			c.run(window, step(name, 900, 300))
			all := randomSteps(rng, []string{name}, 60)
			want := slices.Clone(all)
			slices.SortFunc(want, func(a, b waitingStep) int { return a.Compare(b.Rank, true) })
			order(c.tracker, all)
			assert.Check(t, slices.Equal(all, want))
		}
	}
}

// BenchmarkFairOrder measures the part of a plan that depends on shares, and the sort that follows,
// with 10,000 waiting steps.
func BenchmarkFairOrder(b *testing.B) {
	const waiting = 10_000
	for _, count := range []int{20, 200, 2000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var names []string
			configured := map[string]workspace.Workspace{}
			for i := range count {
				names = append(names, fmt.Sprint("workspace", i))
				configured[names[i]] = workspace.Workspace{Name: names[i], Weight: float64(1 + i%7)}
			}
			rng := rand.New(rand.NewSource(1))
			unsorted := randomSteps(rng, names, waiting)
			steps := make([]shares.Step, waiting)
			for i, s := range unsorted {
				steps[i] = step(s.workspace, rng.Intn(2), 1)
			}
			tracker := shares.New(window)
			now := time.Unix(0, 0)
			observed := shares.Cell{
				Capacity: processors(cellSize), Complete: true, InUse: func(string) resource.Vector { return processors(cellSize / count) },
				Workspace: func(name string) workspace.Workspace { return configured[name] },
			}
			all := make([]waitingStep, waiting)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(planInterval)
				copy(all, unsorted)
				tracker.Observe(now, observed, slices.Values(steps))
				order(tracker, all)
			}
		})
	}
}
