// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"
)

const (
	// Workers restart during restartPeriod. From settleTime after that on, no job may wait for
	// longer than maxIdleWait without a reason.
	restartPeriod = 15 * time.Second
	settleTime    = 7 * time.Second
	maxIdleWait   = 3 * time.Second
)

// A third of the workers restart under their names at once, three times, and single ones in
// between, together with gangs, wide steps, late orders and takeovers. No task that is done may run
// again, and no job may wait forever while there is room.
func TestGangsAndWideStepsWhileWorkersRestart(t *testing.T) {
	for seed := range seedCount() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 120_000+seed, 3, 24)
			w.scheduleRestarts()
			w.runChecked(int(restartPeriod / (200 * time.Millisecond)))
			w.lateOrderShare, w.lateOrdersIncludeRenewals = 0, false
			w.run(settleTime)
			w.runUntilEndedWithoutIdleWaits()
		})
	}
}

// scheduleRestarts schedules submissions, restarts of workers and losses of the holder.
func (w *world) scheduleRestarts() {
	w.config.Queues["sweeps"] = gangConfig().Queues["sweeps"]
	for _, b := range w.boxes {
		b.kill()
		b.start()
	}
	w.waitUntilServing()
	w.lateOrderShare = []float64{0, 0.02, 0.05}[w.rng.Intn(3)]
	w.lateOrdersIncludeRenewals = w.rng.Intn(2) == 0
	for i := range 60 {
		w.after(time.Duration(w.rng.Int63n(int64(restartPeriod))), func() { w.submit(w.wideJob(i)) })
	}
	for range 20 {
		w.after(time.Duration(w.rng.Int63n(int64(restartPeriod))), func() { w.restartWorker(w.rng.Intn(len(w.workers))) })
	}
	for range 3 {
		w.after(time.Duration(w.rng.Int63n(int64(restartPeriod))), func() {
			for i := range w.workers {
				if w.rng.Intn(3) == 0 {
					w.after(time.Duration(w.rng.Intn(500))*time.Millisecond, func() { w.restartWorker(i) })
				}
			}
		})
	}
	for range w.rng.Intn(3) {
		w.after(time.Duration(w.rng.Int63n(int64(restartPeriod))), func() {
			if h := w.holder(); h != nil {
				w.killBox(h, time.Second)
			}
		})
	}
}

// restartWorker crashes a worker, which restarts after at most 2 s, often much sooner.
func (w *world) restartWorker(i int) {
	maxDowntime := []int{1, 20, 300, 2000}[w.rng.Intn(4)]
	w.workers[i].crash(time.Duration(1+w.rng.Intn(maxDowntime)) * time.Millisecond)
}

// wideJob returns a gang, a sweep with a wide second step, or a small job.
func (w *world) wideJob(i int) job.Submission {
	wide := 10 + w.rng.Intn(15)
	switch i % 3 {
	case 0:
		s := oneStep(fmt.Sprint("gang", i), "wide", wide, true)
		s.Steps[0].Need = resource.Vector{Processors: 18 * resource.Processor, Memory: resource.GiB}
		s.Steps[0].Estimate = 1200
		return s
	case 1:
		s := sweepJob(fmt.Sprint("sweep", i), 3)
		second := s.Steps[0]
		second.Tasks, second.After = wide, []int{0}
		second.Need.Processors = 6700
		s.Steps = append(s.Steps, second)
		return s
	default:
		return oneStep(fmt.Sprint("small", i), "quick", 3, false)
	}
}

// runUntilEndedWithoutIdleWaits runs the world until no accepted job is left. It fails if a job
// that could run does not for maxIdleWait.
func (w *world) runUntilEndedWithoutIdleWaits() {
	w.t.Helper()
	since := map[job.ID]time.Time{}
	for range 600 {
		w.run(100 * time.Millisecond)
		if w.allEnded() {
			w.requireNoViolations()
			return
		}
		for _, id := range w.jobIDs {
			a := w.jobs[id]
			if !a.accepted || a.state.IsFinal() || !w.couldRun(a) {
				delete(since, id)
				continue
			}
			if since[id].IsZero() {
				since[id] = w.now
			}
			if w.now.Sub(since[id]) > maxIdleWait {
				w.fatalf("%s could run but does not, with most of the room free: %+v, done %v", id, a.sub.Steps, a.done)
			}
		}
	}
	w.fatalf("not all jobs have ended")
}

// couldRun reports whether no task of a job runs although one of its steps is ready, the workers
// have room for it twice over and at most half of all processors are in use.
func (w *world) couldRun(a *submittedJob) bool {
	var used, all resource.Vector
	for _, f := range w.workers {
		all = all.Plus(f.startLimit())
		for run, r := range f.runs {
			if run.Task.Job == a.sub.ID {
				return false
			}
			used = used.Plus(r.step.Need)
		}
	}
	if 2*used.Processors > all.Processors {
		return false
	}
	for i, s := range a.sub.Steps {
		if w.isReady(a, i) && w.hasRoomForTwice(job.StepID{Job: a.sub.ID, Step: i}, s, a.sub.Queue) {
			return true
		}
	}
	return false
}

// isReady reports whether a step has tasks that are not done, and all steps it depends on are done.
func (w *world) isReady(a *submittedJob, step int) bool {
	unfinished := func(i int) int {
		n := 0
		for index := range a.sub.Steps[i].Tasks {
			if !a.done[job.TaskID{StepID: job.StepID{Job: a.sub.ID, Step: i}, Index: index}] {
				n++
			}
		}
		return n
	}
	for _, before := range a.sub.Steps[step].After {
		if unfinished(before) > 0 {
			return false
		}
	}
	return unfinished(step) > 0
}

// hasRoomForTwice reports whether the workers suitable for a step have twice the room it needs.
func (w *world) hasRoomForTwice(id job.StepID, s job.Step, queue string) bool {
	slots := 0
	for _, f := range w.workers {
		if !f.alive || w.config.Queues[queue].Advice != nil && !adviserAllows(id, f.name) {
			continue
		}
		free := f.startLimit()
		for run := range f.runs {
			free = free.Minus(f.runs[run].step.Need)
		}
		slots += free.FitCount(s.Need, job.MaxTasks)
	}
	wanted := 1
	if s.Gang {
		wanted = s.Tasks
	}
	return slots >= 2*wanted
}

// The platform may give each incarnation a name of its own and no birth time.
func TestRandomWorldsWithUniqueNamePerIncarnation(t *testing.T) {
	for seed := range seedCount() / 2 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 130_000+seed, 3, 8)
			w.uniqueIncarnationNames = true
			for _, f := range w.workers {
				f.incarnation = order.Incarnation{Name: f.name + "-1"}
			}
			w.waitUntilServing()
			w.lateOrderShare = []float64{0, 0, 0.05}[w.rng.Intn(3)]
			w.runWithFaults()
		})
	}
}
