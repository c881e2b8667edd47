// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shares_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/models/workspace"
	"saddlevane/services/shares"

	"gotest.tools/v3/assert"
)

const (
	// window is the share window of the tests.
	window = 5 * time.Second
	// planInterval is the time between two observations.
	planInterval = 20 * time.Millisecond
	// cellSize is the number of processors of all workers.
	cellSize = 1000
	// largeWork is the work of a step that is not small, as a part of the workers times seconds.
	largeWork = 10
)

// cell is a cell in which a test sets what the workspaces take and wait for.
type cell struct {
	t       *testing.T
	now     time.Time
	tracker *shares.Tracker
	size    int
	weights map[string]float64
	steps   []shares.Step
	// incomplete is set while not all workers have reported.
	incomplete bool
}

// newCell returns a cell in which nothing runs, with workspaces of the given weights.
func newCell(t *testing.T, weights map[string]float64) *cell {
	t.Helper()
	c := &cell{t: t, now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), tracker: shares.New(window), size: cellSize, weights: weights}
	c.observe()
	return c
}

func processors(n int) resource.Vector {
	return resource.Vector{Processors: resource.Millis(n) * resource.Processor}
}

// step returns a step of tasks with one processor each.
func step(ws string, taking, waiting int) shares.Step {
	return shares.Step{Workspace: ws, Need: processors(1), Taking: taking, Waiting: waiting}
}

// workspaces returns the workspaces with their weights.
func (c *cell) workspaces() map[string]workspace.Workspace {
	all := map[string]workspace.Workspace{}
	for name, w := range c.weights {
		all[name] = workspace.Workspace{Name: name, Weight: w}
	}
	return all
}

// inUse returns what the steps of a workspace take.
func (c *cell) inUse(name string) resource.Vector {
	var sum resource.Vector
	for _, s := range c.steps {
		if s.Workspace == name {
			sum = sum.Plus(s.Need.Times(s.Taking))
		}
	}
	return sum
}

// observe lets the tracker see the present state.
func (c *cell) observe() {
	configured := c.workspaces()
	c.tracker.Observe(c.now, shares.Cell{
		Capacity: processors(c.size), InUse: c.inUse, Complete: !c.incomplete,
		Workspace: func(name string) workspace.Workspace { return configured[name] },
	}, slices.Values(c.steps))
}

// run keeps some steps in the cell for a time.
func (c *cell) run(d time.Duration, steps ...shares.Step) {
	c.steps = steps
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(planInterval)
		c.observe()
	}
}

// over returns the workspaces whose large steps are placed after others.
func (c *cell) over() []string {
	var all []string
	for _, s := range c.status() {
		if c.tracker.IsOver(s.Name, largeWork) {
			all = append(all, s.Name)
		}
	}
	return all
}

// status returns the state of the workspaces.
func (c *cell) status() []job.WorkspaceStatus { return c.tracker.Status(c.workspaces(), c.inUse) }

// statusOf returns the state of one workspace.
func (c *cell) statusOf(name string) job.WorkspaceStatus {
	c.t.Helper()
	all := c.status()
	i := slices.IndexFunc(all, func(s job.WorkspaceStatus) bool { return s.Name == name })
	assert.Assert(c.t, i >= 0)
	return all[i]
}

// near fails the test unless two parts of the workers are equal within a thousandth.
func near(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 0.001, "got %v, want %v", got, want)
}

func equalWeights(names ...string) map[string]float64 {
	all := map[string]float64{}
	for _, n := range names {
		all[n] = 10
	}
	return all
}

func TestEntitledShareFollowsWeightsOfActiveWorkspaces(t *testing.T) {
	for _, c := range []struct {
		name    string
		weights map[string]float64
		active  []string
		want    map[string]float64
	}{
		{"all are active", map[string]float64{"a": 6, "b": 2}, []string{"a", "b"}, map[string]float64{"a": 0.75, "b": 0.25}},
		{"one is idle", map[string]float64{"a": 6, "b": 2}, []string{"b"}, map[string]float64{"a": 0, "b": 1}},
		{"one has no weight", map[string]float64{"a": 6, "b": 0}, []string{"a", "b"}, map[string]float64{"a": 1, "b": 0}},
		{"no active one has a weight", map[string]float64{"a": 6, "b": 0, "c": 0}, []string{"b", "c"}, map[string]float64{"a": 0, "b": 0.5, "c": 0.5}},
		{"the sum of the weights overflows", map[string]float64{"a": math.MaxFloat64, "b": math.MaxFloat64}, []string{"a", "b"}, map[string]float64{"a": 0.5, "b": 0.5}},
		{"weights differ by all that is possible", map[string]float64{"a": math.MaxFloat64, "b": math.SmallestNonzeroFloat64}, []string{"a", "b"}, map[string]float64{"a": 1, "b": 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cell := newCell(t, c.weights)
			var steps []shares.Step
			for _, name := range c.active {
				steps = append(steps, step(name, 0, 1))
			}
			cell.run(planInterval, steps...)
			for name, want := range c.want {
				near(t, cell.statusOf(name).Entitled, want)
			}
		})
	}
}

// A workspace without weight gets only what others leave: its steps go after those of the others even
// if it takes nothing. Alone, it may take all workers.
func TestWorkspaceWithoutWeightGoesLast(t *testing.T) {
	c := newCell(t, map[string]float64{"none": 0, "a": 5})
	c.run(planInterval, step("none", 0, 10), step("a", 400, 10))
	assert.DeepEqual(t, c.over(), []string{"none"})
	assert.Check(t, c.tracker.IsOver("none", 0) && !c.tracker.IsUnder("none", 0))
	c.run(10*window, step("none", cellSize, 10))
	assert.Check(t, c.over() == nil)
	// Nobody else is active, so new jobs may come.
	c.run(10*window, step("none", cellSize/2, 10))
	assert.Check(t, c.tracker.IsUnder("none", 0))
}

func TestShareInUseIsDominantShareAveragedOverWindow(t *testing.T) {
	c := newCell(t, equalWeights("a", "b"))
	c.run(window, step("a", 800, 0), step("b", 0, 1))
	near(t, c.statusOf("a").InUse, 0.8*(1-math.Exp(-1)))
	near(t, c.statusOf("a").Entitled, 0.5)
	near(t, c.statusOf("a").Borrowed, 0.8*(1-math.Exp(-1))-0.5)
	c.run(10*window, step("a", 800, 0), step("b", 0, 1))
	near(t, c.statusOf("a").Borrowed, 0.3)
	c.run(window, step("b", 0, 1))
	near(t, c.statusOf("a").InUse, 0.8*math.Exp(-1))
	// A clock that is set back changes nothing.
	c.now = c.now.Add(-time.Hour)
	c.observe()
	near(t, c.statusOf("a").InUse, 0.8*math.Exp(-1))
}

// One of four equal workspaces sends 8 times its usual for 7 s and takes all that the others leave,
// and what waits is mostly its own. The others use less than their shares.
func TestWorkspaceAtEightTimesItsUsualRate(t *testing.T) {
	c := newCell(t, equalWeights("a", "b", "c", "hot"))
	usual := []shares.Step{step("a", 150, 0), step("b", 150, 0), step("c", 150, 0), step("hot", 100, 0)}
	c.run(time.Minute, usual...)
	assert.Check(t, c.over() == nil)
	hot := []shares.Step{step("a", 150, 10), step("b", 150, 10), step("c", 150, 10)}
	for range 55 {
		// Its load comes in many small jobs.
		hot = append(hot, step("hot", 10, 15))
	}
	c.run(time.Second, hot...)
	assert.Check(t, !c.tracker.IsUnder("hot", 10), "what waits counts as use to come, so its share admits no more")
	c.run(2*time.Second, hot...)
	assert.DeepEqual(t, c.over(), []string{"hot"})
	assert.Equal(t, c.tracker.CountOver(), 1)
	assert.Check(t, c.tracker.IsOver("hot", 0.001), "its small steps make up its use")
	c.run(4*time.Second, hot...)
	assert.DeepEqual(t, c.over(), []string{"hot"})
	// It is within its share within one window after the load is over.
	c.run(window, usual...)
	assert.Check(t, c.over() == nil)
}

// Three of four workspaces want more than there is. They get equal parts, and the fourth, which wants
// less than its part, goes first.
func TestThreeWorkspacesAtOnce(t *testing.T) {
	c := newCell(t, map[string]float64{"a": 10, "b": 10, "c": 10, "small": 10})
	taken := map[string]int{}
	for range 1500 {
		placeByShare(c, taken, map[string]int{"a": 2000, "b": 2000, "c": 2000, "small": 100})
	}
	assert.Equal(t, taken["small"], 100)
	for _, name := range []string{"a", "b", "c"} {
		near(t, math.Round(10*c.statusOf(name).InUse)/10, 0.3)
	}
}

// placeByShare ends a hundredth of the tasks that run, and gives the room to workspaces that want it:
// first those within their shares in turn, then the others in turn.
func placeByShare(c *cell, taken, wanted map[string]int) {
	names := []string{"a", "b", "c", "small"}
	free := c.size
	var steps []shares.Step
	for _, name := range names {
		taken[name] -= taken[name] / 100
		free -= taken[name]
		steps = append(steps, step(name, taken[name], wanted[name]-taken[name]))
	}
	c.run(planInterval, steps...)
	for _, over := range []bool{false, true} {
		for placed := true; placed && free > 0; {
			placed = false
			for _, name := range names {
				if free > 0 && taken[name] < wanted[name] && c.tracker.IsOver(name, largeWork) == over {
					taken[name]++
					free--
					placed = true
				}
			}
		}
	}
}

// A workspace that was idle for a minute is within its share at once when it returns with its full
// weight, and over it no later than one that was idle for a moment.
func TestWorkspaceIdleForAMinuteSavesNothing(t *testing.T) {
	overAfter := func(idle time.Duration) (n int) {
		c := newCell(t, equalWeights("a", "b"))
		c.run(10*window, step("a", 0, 0), step("b", 500, 10))
		c.run(idle, step("b", 1000, 10))
		for ; c.over() == nil || slices.Contains(c.over(), "b"); n++ {
			assert.Assert(t, n < 10_000)
			c.run(planInterval, step("a", 900, 10), step("b", 100, 10))
		}
		return n
	}
	assert.Equal(t, overAfter(time.Minute), overAfter(time.Second))
	assert.Check(t, time.Duration(overAfter(time.Minute))*planInterval < window)
}

// A small workspace runs one gang of 10 times its share for 5 s. Its small jobs are placed as before
// while the gang runs and after it, but its next large one waits.
func TestSmallJobsBesideOneLargeGangOfTheirWorkspace(t *testing.T) {
	c := newCell(t, map[string]float64{"small": 2, "large": 98})
	const small = 0.001
	for elapsed := time.Duration(0); elapsed < 5*time.Second; elapsed += planInterval {
		c.run(planInterval, step("small", 200, 0), step("small", 5, 2), step("large", 700, 100))
		assert.Assert(t, !c.tracker.IsOver("small", small), "after %v", elapsed)
	}
	assert.Check(t, c.tracker.IsOver("small", largeWork))
	c.run(planInterval, step("small", 5, 2), step("large", 700, 100))
	assert.Check(t, !c.tracker.IsOver("small", small))
	// The gang has used up the share of the next large job, but not for more than a window.
	assert.Check(t, c.tracker.IsOver("small", largeWork))
	c.run(window, step("small", 5, 2), step("large", 700, 100))
	assert.Check(t, !c.tracker.IsOver("small", largeWork))
}

// Small jobs do not go first without bound: once they take the share themselves, they go last too.
func TestManySmallJobsBesideOneLargeGang(t *testing.T) {
	c := newCell(t, map[string]float64{"small": 2, "large": 98})
	c.run(2*window, step("small", 200, 0), step("small", 15, 100), step("large", 700, 100))
	assert.Check(t, c.tracker.IsOver("small", 0.001))
	// A second large step counts in full.
	c = newCell(t, map[string]float64{"small": 2, "large": 98})
	c.run(2*window, step("small", 200, 0), step("small", 100, 0), step("small", 0, 1), step("large", 700, 100))
	assert.Check(t, c.tracker.IsOver("small", 0.001))
}

// Small jobs of one workspace wait beside very large jobs of another, which take most of the workers.
func TestSmallJobsBesideVeryLargeOnesOfAnotherWorkspace(t *testing.T) {
	c := newCell(t, equalWeights("large", "small"))
	c.run(2*time.Second, step("large", 300, 0), step("large", 300, 300), step("large", 300, 300), step("small", 5, 3))
	// The average of the large jobs reaches their share only then.
	assert.Check(t, c.over() == nil)
	c.run(3*time.Second, step("large", 300, 0), step("large", 300, 300), step("large", 300, 300), step("small", 5, 3))
	assert.DeepEqual(t, c.over(), []string{"large"})
	assert.Check(t, c.tracker.IsUnder("small", 10) && !c.tracker.IsUnder("large", 10))
}

// A cell loses a third of its workers. The tasks that are left take larger parts of it, the entitled
// shares stay, and who was within its share stays within it.
func TestCellLosesAThirdOfItsWorkers(t *testing.T) {
	c := newCell(t, map[string]float64{"a": 1, "b": 2})
	c.run(time.Minute, step("a", 300, 100), step("b", 650, 100))
	assert.Check(t, c.over() == nil)
	c.size = cellSize * 2 / 3
	c.run(time.Minute, step("a", 200, 200), step("b", 433, 317))
	assert.Check(t, c.over() == nil)
	near(t, c.statusOf("a").Entitled, 1.0/3)
	near(t, c.statusOf("a").InUse, 200.0/666)
	// If the tasks of one were spared, it is over its share.
	c.run(time.Minute, step("a", 300, 200), step("b", 333, 317))
	assert.DeepEqual(t, c.over(), []string{"a"})
	// Alone, a workspace is within its share, whatever it has on the workers that are left.
	c.run(time.Minute, step("a", 900, 200))
	assert.Check(t, c.over() == nil)
	assert.Equal(t, c.tracker.CountOver(), 0)
	// Without any workers nothing is over.
	c.size = 0
	c.run(time.Minute, step("a", 0, 200), step("b", 0, 317))
	assert.Check(t, c.over() == nil)
}

// A new holder counts present use as the average until the workers have reported.
func TestBorrowedShareIsKnownAfterTakeover(t *testing.T) {
	c := &cell{t: t, now: time.Unix(0, 0), tracker: shares.New(window), size: cellSize, weights: equalWeights("a", "b"), incomplete: true}
	c.run(planInterval, step("a", 0, 900), step("b", 0, 10))
	assert.Check(t, c.over() == nil)
	c.run(planInterval, step("a", 400, 500), step("b", 10, 0))
	c.incomplete = false
	c.run(planInterval, step("a", 900, 100), step("b", 10, 10))
	near(t, c.statusOf("a").Borrowed, 0.4)
	assert.DeepEqual(t, c.over(), []string{"a"})
	c.run(window, step("b", 10, 10))
	near(t, c.statusOf("a").InUse, 0.9*math.Exp(-1))
}

// What nobody else wants is borrowed without consequences for more than a window.
func TestBorrowingIsForgottenWithinAWindow(t *testing.T) {
	c := newCell(t, map[string]float64{"a": 1, "b": 9})
	c.run(time.Minute, step("a", cellSize, 100))
	assert.Check(t, c.over() == nil)
	c.run(planInterval, step("a", cellSize, 100), step("b", 0, 100))
	assert.DeepEqual(t, c.over(), []string{"a"})
	c.run(window, step("a", 0, 100), step("b", cellSize, 100))
	assert.Check(t, !slices.Contains(c.over(), "a"))
}

func TestWeightChangesUnderLoad(t *testing.T) {
	c := newCell(t, equalWeights("a", "b"))
	load := []shares.Step{step("a", 450, 10), step("b", 450, 10)}
	c.run(time.Minute, load...)
	assert.Check(t, c.over() == nil)
	c.weights["a"] = 1
	c.run(planInterval, load...)
	assert.DeepEqual(t, c.over(), []string{"a"})
	near(t, c.statusOf("a").Entitled, 1.0/11)
}

// A workspace that is removed from the configuration while it has jobs has no weight.
func TestRemovedWorkspaceHasNoWeight(t *testing.T) {
	c := newCell(t, equalWeights("a", "b"))
	load := []shares.Step{step("a", 10, 10), step("b", 450, 10)}
	c.run(time.Minute, load...)
	delete(c.weights, "a")
	c.run(planInterval, load...)
	assert.Check(t, c.tracker.IsOver("a", 0) && !c.tracker.IsOver("b", largeWork))
}

func TestStatusCountsStepsAndRefusals(t *testing.T) {
	c := newCell(t, equalWeights("a", "b"))
	capped := step("a", 0, 7)
	capped.Capped = true
	c.tracker.RecordRefusal("a")
	c.tracker.RecordRefusal("")
	c.run(planInterval, step("a", 3, 1), step("a", 3, 0), capped, step("", 100, 100))
	got := c.statusOf("a")
	assert.Equal(t, got.Waiting, 2)
	assert.Equal(t, got.Capped, 1)
	assert.Equal(t, got.Refused, 1)
	assert.Equal(t, got.Used, processors(6))
	near(t, got.Entitled, 1)
	assert.Check(t, !c.tracker.IsOver("", largeWork), "steps without a workspace have no share")
	c.run(planInterval)
	assert.Equal(t, c.statusOf("a").Waiting, 0)
}

// TestSharesDependOnObservationsOnly checks that the same observations give exactly the same shares, so
// that the order of a plan can be repeated.
func TestSharesDependOnObservationsOnly(t *testing.T) {
	weights := map[string]float64{}
	var steps []shares.Step
	for i := range 50 {
		name := fmt.Sprint("ws", i)
		weights[name] = 1 / float64(i+3)
		steps = append(steps, step(name, i%7, i%3))
	}
	var want []job.WorkspaceStatus
	for range 20 {
		c := newCell(t, weights)
		c.run(time.Second, steps...)
		if want == nil {
			want = c.status()
		}
		assert.DeepEqual(t, c.status(), want)
	}
}

// TestNewHolderLetsNobodyInBelowShare covers a takeover under load: before the workers have reported what
// they run, every workspace seems to take nothing.
func TestNewHolderLetsNobodyInBelowShare(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	tracker := shares.New(5 * time.Second)
	assert.Check(t, !tracker.IsUnder("a", 1))
	cell := shares.Cell{
		Capacity: resource.Vector{Processors: 10 * resource.Processor}, Workspace: func(name string) workspace.Workspace { return workspace.Workspace{Name: name, Weight: 1} },
		InUse: func(string) resource.Vector { return resource.Vector{} },
	}
	none := func(func(shares.Step) bool) {}
	tracker.Observe(now, cell, none)
	assert.Check(t, !tracker.IsUnder("a", 1))
	cell.Complete = true
	tracker.Observe(now.Add(time.Second), cell, none)
	assert.Check(t, tracker.IsUnder("a", 1))
}
