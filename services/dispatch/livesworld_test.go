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
	// restartPeriod is how long workers start again in the worlds of this file, settleTime how long
	// after that what waits must have a reason, and maxIdleWait for how long it may have none.
	restartPeriod = 15 * time.Second
	settleTime    = 7 * time.Second
	maxIdleWait   = 3 * time.Second
)

// A third of the workers start again under their names at once, again and again, and one by
// one between that, beside gangs and wide steps, late orders and takeovers: nothing that is
// done runs again, and nothing waits for good with room free.
func TestGangsAndWideStepsWhileWorkersRestart(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 120_000+seed, 3, 24)
			w.scheduleRestarts()
			w.watch(int(restartPeriod / (200 * time.Millisecond)))
			w.lateShare, w.lateHolds = 0, false
			w.run(settleTime)
			w.runUntilEndedWithoutIdleWaits()
		})
	}
}

// scheduleRestarts hands jobs in and has workers start again.
func (w *world) scheduleRestarts() {
	w.config.Queues["sweeps"] = gangConfig().Queues["sweeps"]
	for _, b := range w.boxes {
		b.kill()
		b.start()
	}
	w.waitUntilServing()
	w.lateShare = []float64{0, 0.02, 0.05}[w.rng.Intn(3)]
	w.lateHolds = w.rng.Intn(2) == 0
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

// restartWorker has a worker start again after a moment, or after a while.
func (w *world) restartWorker(i int) {
	back := []int{1, 20, 300, 2000}[w.rng.Intn(4)]
	w.workers[i].crash(time.Duration(1+w.rng.Intn(back)) * time.Millisecond)
}

// wideJob returns a gang, a step of many tasks after another, or a small job.
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

// runUntilEndedWithoutIdleWaits waits until no accepted job is left, and notes those of which nothing
// runs for a while with most of the room free.
func (w *world) runUntilEndedWithoutIdleWaits() {
	w.t.Helper()
	since := map[job.ID]time.Time{}
	for range 600 {
		w.run(100 * time.Millisecond)
		if w.ended() {
			w.check()
			return
		}
		for _, id := range w.order {
			a := w.jobs[id]
			if !a.accepted || a.state.IsFinal() || !w.couldRun(a) {
				delete(since, id)
				continue
			}
			if since[id].IsZero() {
				since[id] = w.now
			}
			if w.now.Sub(since[id]) > maxIdleWait {
				w.fail("%s could run and does not, with most of the room free: %+v, done %v", id, a.sub.Steps, a.done)
			}
		}
	}
	w.fail("not all jobs have ended")
}

// couldRun says whether nothing of a job runs although a step's turn has come, room for it
// is there twice over and less than half of all is in use.
func (w *world) couldRun(a *asked) bool {
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

// isReady says whether a step has tasks that are not done, and all it comes after are.
func (w *world) isReady(a *asked, step int) bool {
	left := func(i int) int {
		n := 0
		for index := range a.sub.Steps[i].Tasks {
			if !a.done[job.TaskID{StepID: job.StepID{Job: a.sub.ID, Step: i}, Index: index}] {
				n++
			}
		}
		return n
	}
	for _, before := range a.sub.Steps[step].After {
		if left(before) > 0 {
			return false
		}
	}
	return left(step) > 0
}

// hasRoomForTwice says whether workers that may run a step have room for it twice over.
func (w *world) hasRoomForTwice(id job.StepID, s job.Step, queue string) bool {
	slots := 0
	for _, f := range w.workers {
		if !f.alive || w.config.Queues[queue].Advice != nil && !suits(id, f.name) {
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

// Where the platform gives each life a name of its own and tells no birth, all is as before.
func TestRandomWorldsWithUniqueNamePerIncarnation(t *testing.T) {
	for seed := range seeds() / 2 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 130_000+seed, 3, 8)
			w.renames = true
			for _, f := range w.workers {
				f.life = order.Incarnation{Name: f.name + "-1"}
			}
			w.waitUntilServing()
			w.lateShare = []float64{0, 0, 0.05}[w.rng.Intn(3)]
			w.plays()
		})
	}
}
