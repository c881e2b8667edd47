// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"saddlevane/models/box"
	"saddlevane/models/status"
	"saddlevane/models/task"
	"saddlevane/tests/cell"

	"gotest.tools/v3/assert"
)

// workFile returns a file with a service, a repeatable job, a non-repeatable job and a gang,
// whose tasks run for the given milliseconds.
func workFile(ms int) string {
	return fmt.Sprintf(`name: work
services:
  - {name: serve, team: archive, priority: urgent, count: 4, resources: {processors: 1, memory: 1GiB}, command: [serve]}
jobs:
  - {name: many, team: archive, count: 80, resources: {processors: 1, memory: 1GiB}, command: [sleep, %dms], repeatable: true, retries: 3}
  - {name: once, team: archive, count: 40, resources: {processors: 1, memory: 1GiB}, command: [sleep, %dms]}
gangs:
  - {name: gang, team: archive, count: 6, resources: {processors: 2, memory: 1GiB}, command: [sleep, %dms], repeatable: true, retries: 3}
`, ms, ms, ms)
}

// waitStarted waits until the service runs and some tasks of both jobs are done.
func (f *fixture) waitStarted() {
	f.t.Helper()
	f.waitFor("work is in progress", func() bool {
		w := f.Work(f.ctx)
		return w["serve"].Running == 4 && w["many"].Done > 5 && w["once"].Done > 2
	})
}

// waitCompleted waits until all jobs of workFile have ended, checks the worker invariants and
// that no non-repeatable task was started twice, and returns the final counts.
func (f *fixture) waitCompleted() map[string]status.Work {
	f.t.Helper()
	var w map[string]status.Work
	f.waitFor("all work has ended", func() bool {
		w = f.Work(f.ctx)
		ended := w["once"].Done + w["once"].Failed + w["once"].Unknown
		return w["serve"].Running == 4 && w["many"].Done == 80 && w["gang"].Done == 6 && ended == 40 && w["once"].Running == 0
	})
	h := f.checkWorkerInvariants()
	for key, n := range h.Starts() {
		if key.Object.Name == "once" {
			assert.Check(f.t, n <= 1, "%s is not repeatable but was started %d times", key, n)
		}
	}
	return w
}

func TestCrashedHolderIsReplacedWithoutDuplicateRuns(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	f.publish("work", "0", workFile(300))
	f.waitStarted()
	f.activeHolder("a.0", f.Entries()...).Process().Kill()
	w := f.waitCompleted()
	assert.Equal(t, w["once"].Done+w["once"].Unknown, 40)
}

func TestHolderPausedPastItsLeasesIsFenced(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	f.publish("work", "0", workFile(400))
	f.waitStarted()
	holder := f.activeHolder("a.0", f.Entries()...)
	assert.NilError(t, holder.Process().Pause())
	var others []*cell.Entry
	for _, e := range f.Entries() {
		if e != holder {
			others = append(others, e)
		}
	}
	f.activeHolder("a.0", others...)
	assert.NilError(t, holder.Process().Continue())
	f.waitCompleted()
}

func TestLostWorkerResponsesCauseNoDuplicateRuns(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	for i, m := range f.Workers() {
		if i%2 == 0 {
			assert.NilError(t, cell.SetFaults(f.ctx, m.DirectAddress, cell.Faults{LoseAnswers: true}))
		}
	}
	f.publish("work", "0", workFile(100))
	f.waitFor("the workers without faults run tasks", func() bool { return f.Work(f.ctx)["many"].Running > 0 || f.Work(f.ctx)["many"].Done > 0 })
	for _, m := range f.Workers() {
		assert.NilError(t, cell.SetFaults(f.ctx, m.DirectAddress, cell.Faults{}))
	}
	w := f.waitCompleted()
	assert.Equal(t, w["once"].Done, 40)
}

func TestOneWayPartitionOfWorkerCausesNoDuplicateRuns(t *testing.T) {
	for _, d := range []cell.Direction{cell.Requests, cell.Answers} {
		t.Run(string(d), func(t *testing.T) {
			f := newFixture(t, nil, domain("a"))
			f.publish("work", "0", workFile(300))
			f.waitStarted()
			worker := f.Workers()[0].Name
			assert.NilError(t, f.proxies.Cut(worker, d))
			f.waitFor("the tasks of the worker are started elsewhere", func() bool {
				w := f.Work(f.ctx)
				return w["serve"].Running == 4 && w["many"].Done == 80
			})
			f.checkWorkerInvariants()
			assert.NilError(t, f.proxies.Heal(worker))
			f.waitCompleted()
		})
	}
}

func TestTasksOfDeadWorkerAreStartedElsewhere(t *testing.T) {
	d := domain("a")
	d.SeparateProcesses = true
	f := newFixture(t, nil, d)
	f.publish("work", "0", workFile(300))
	f.waitStarted()
	victim := f.Workers()[0]
	assert.NilError(t, f.SetState(f.ctx, victim.Name, box.Dead))
	victim.Process().Kill()
	f.waitFor("the remaining work is done", func() bool {
		w := f.Work(f.ctx)
		return w["serve"].Running == 4 && w["many"].Done == 80 && w["gang"].Done == 6
	})
}

func TestServicesAndStartedJobsRunWhileLogIsDown(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	f.publish("work", "0", workFile(300))
	f.waitStarted()
	assert.NilError(t, cell.SetFaults(f.ctx, f.LogAddress, cell.Faults{Down: true}))
	f.waitFor("queued repeatable tasks are still started", func() bool {
		h, err := f.History(f.ctx)
		assert.NilError(t, err)
		started := 0
		for key := range h.Starts() {
			if key.Object.Name == "many" {
				started++
			}
		}
		return started == 80
	})
	assert.Equal(t, f.Work(f.ctx)["serve"].Running, 4)
	f.checkWorkerInvariants()
	assert.NilError(t, cell.SetFaults(f.ctx, f.LogAddress, cell.Faults{}))
	w := f.waitCompleted()
	assert.Equal(t, w["once"].Done, 40)
}

func TestUnknownTaskIsListedAndSettledOnlyByFile(t *testing.T) {
	d := domain("a")
	d.Racks, d.WorkersPerRack, d.Entries, d.SeparateProcesses = 1, 2, 1, true
	f := newFixture(t, nil, d)
	file := strings.Join([]string{
		"name: only", "jobs:",
		"  - {name: once, team: archive, count: 2, resources: {processors: 8, memory: 1GiB}, command: [sleep, 60s]}", "",
	}, "\n")
	f.publish("only", "0", file)
	f.waitFor("both tasks run", func() bool { return f.Work(f.ctx)["once"].Running == 2 })
	victim := f.Workers()[0]
	assert.NilError(t, f.SetState(f.ctx, victim.Name, box.Dead))
	victim.Process().Kill()
	f.waitFor("one task is unknown", func() bool { return f.Work(f.ctx)["once"].Unknown == 1 })
	unknown := f.Work(f.ctx)["once"].UnknownTasks[0]
	out, code := f.RunTool(f.ctx, "explain", unknown)
	assert.Equal(t, code, 0, out)
	assert.Check(t, strings.Contains(out, "unknown") && strings.Contains(out, "settle"), out)
	f.republish("only", file+fmt.Sprintf("settled:\n  - {task: '%s', as: done}\n", unknown))
	f.waitFor("the task is settled", func() bool {
		w := f.Work(f.ctx)["once"]
		return w.Unknown == 0 && w.Done == 1
	})
	for key, n := range f.checkWorkerInvariants().Starts() {
		assert.Equal(t, n, 1, "%s", key)
	}
}

func TestCancelledJobStopsAndDrainedWorkerEmpties(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	file := "name: long\njobs:\n  - {name: long, team: archive, priority: batch, count: 500, resources: {processors: 1, memory: 1GiB}, command: [sleep, 60s], repeatable: true%s}\n"
	f.publish("long", "0", fmt.Sprintf(file, ""))
	f.waitFor("the cell is full", func() bool { return f.Work(f.ctx)["long"].Running == 32 })

	drained := f.Workers()[0].Name
	f.republish("cell", f.CellFile("cell")+"drain: ["+drained+"]\n")
	f.waitFor("the drained worker is empty", func() bool {
		h, err := f.History(f.ctx)
		assert.NilError(t, err)
		for _, s := range h.Spans {
			if s.Worker == drained && s.End == 0 {
				return false
			}
		}
		return f.Work(f.ctx)["long"].Running == 24
	})
	f.republish("long", fmt.Sprintf(file, ", cancelled: true"))
	f.waitFor("nothing of the job runs", func() bool {
		h, err := f.History(f.ctx)
		assert.NilError(t, err)
		for _, s := range h.Spans {
			if s.Task.Object.Name == "long" && s.End == 0 {
				return false
			}
		}
		return true
	})
	f.checkWorkerInvariants()
}

func TestUrgentWorkPreemptsRepeatableWork(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	f.publish("bulk", "0", "name: bulk\njobs:\n  - {name: bulk, team: archive, priority: batch, count: 64, resources: {processors: 1, memory: 1GiB}, command: [sleep, 60s], repeatable: true}\n")
	f.waitFor("the cell is full", func() bool { return f.Work(f.ctx)["bulk"].Running == 32 })
	f.publish("rush", "0", "name: rush\njobs:\n  - {name: rush, team: archive, priority: urgent, count: 2, resources: {processors: 4, memory: 1GiB}, command: [sleep, 100ms], repeatable: true}\n")
	f.waitFor("the urgent work is done", func() bool { return f.Work(f.ctx)["rush"].Done == 2 })
	f.waitFor("the preempted work runs again", func() bool { return f.Work(f.ctx)["bulk"].Running == 32 })
	f.checkWorkerInvariants()
}

func TestServiceIsReplacedTaskByTask(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	file := "name: s\nservices:\n  - {name: s, team: archive, count: 4, resources: {processors: %d, memory: 1GiB}, command: [serve]}\n"
	f.publish("s", "0", fmt.Sprintf(file, 1))
	f.waitFor("the service runs", func() bool { return f.Work(f.ctx)["s"].Running == 4 })
	f.republish("s", fmt.Sprintf(file, 2))
	f.waitFor("every task has been replaced", func() bool {
		h, err := f.History(f.ctx)
		assert.NilError(t, err)
		running := 0
		for _, s := range h.Spans {
			if s.End == 0 && s.Task.Attempt > 0 {
				running++
			}
		}
		return running == 4
	})
	h := f.checkWorkerInvariants()
	assert.Check(t, minRunning(h) >= 3, "only %d of 4 tasks ran at some time during the replacement", minRunning(h))
}

// minRunning returns the lowest number of tasks that ran at the start of any task, after the
// first time that 4 ran.
func minRunning(h cell.History) int {
	lowest, allRan := 1<<30, false
	slices.SortFunc(h.Spans, func(a, b cell.Span) int { return int(a.Start - b.Start) })
	for _, at := range h.Spans {
		n := 0
		for _, s := range h.Spans {
			if s.Start <= at.Start && (s.End == 0 || s.End > at.Start) {
				n++
			}
		}
		allRan = allRan || n >= 4
		if allRan {
			lowest = min(lowest, n)
		}
	}
	return lowest
}

func TestFailingWorkerIsAvoidedAndWorkCompletes(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	assert.NilError(t, cell.SetFaults(f.ctx, f.Workers()[0].DirectAddress, cell.Faults{FailAll: true}))
	var b strings.Builder
	b.WriteString("name: jobs\njobs:\n")
	for i := range 6 {
		fmt.Fprintf(&b, "  - {name: job%d, team: archive, count: 20, resources: {processors: 1, memory: 1GiB}, command: [sleep, 100ms], repeatable: true, retries: 20}\n", i)
	}
	f.publish("jobs", "0", b.String())
	f.waitFor("all jobs are done", func() bool {
		w := f.Work(f.ctx)
		for i := range 6 {
			if w[fmt.Sprint("job", i)].Done != 20 {
				return false
			}
		}
		return true
	})
	h := f.checkWorkerInvariants()
	failed := 0
	for _, s := range h.Spans {
		if s.State == task.Failed {
			failed++
		}
	}
	assert.Check(t, failed < 60, "%d attempts failed on the one faulty worker", failed)
}

func TestPlannedStopOfHolderHandsOverShard(t *testing.T) {
	f := newFixture(t, nil, domain("a"))
	f.publish("work", "0", workFile(200))
	f.waitStarted()
	holder := f.activeHolder("a.0", f.Entries()...)
	assert.NilError(t, holder.Process().Stop(stopTimeout))
	assert.Equal(t, holder.Process().ExitCode(), 0)
	w := f.waitCompleted()
	assert.Equal(t, w["once"].Done, 40, "a planned stop left tasks unknown")
}
