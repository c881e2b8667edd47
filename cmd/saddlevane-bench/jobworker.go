// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"

	"github.com/cespare/xxhash/v2"
)

// cellWorker is a worker that does as it is told.
type cellWorker struct {
	order.Worker
	cell *jobCell
	runs map[order.Run]*cellRun
	// ended are ends that the holder has not seen, lastEnd the number of the last.
	ended   []order.End
	lastEnd int64
	// waiting is the renewal that waits for an end, or nil.
	waiting *exchange.Renew
	begin   time.Time
	// slowBy is how many times as long tasks take on it.
	slowBy float64
}

// cellRun is one task at work.
type cellRun struct {
	order.Run
	since time.Time
	// lasts is how long its work takes on its worker.
	lasts time.Duration
	step  *job.Step
	ends  bool
}

// mostProgress is the progress, in percent, of a run that is about to end.
const mostProgress = 99

// progress returns how much of a run's work is done, in percent.
func (r *cellRun) progress(now time.Time) int {
	return min(mostProgress, int(100*now.Sub(r.since)/max(1, r.lasts)))
}

func workerName(i int) string { return fmt.Sprintf("w-%03d", i) }

func newCellWorker(c *jobCell, i int) *cellWorker {
	slowBy := 1.0
	if c.rng.Float64() < c.mix.slowShare {
		slowBy = c.mix.slowBy
	}
	return &cellWorker{
		cell: c, runs: map[order.Run]*cellRun{}, begin: c.now, slowBy: slowBy,
		Worker: order.Worker{
			Incarnation: order.Incarnation{Name: workerName(i)}, Address: workerName(i), Pool: "pool", Domain: fmt.Sprintf("d%d", i%c.mix.domains),
			Rack:     fmt.Sprintf("r%d", i/rackSize),
			Capacity: resource.Vector{Processors: c.mix.cores * resource.Processor, Memory: c.mix.gigabytes * resource.GiB},
		},
	}
}

// suits says whether a worker may run a step; that never changes.
func (w *cellWorker) suits(s job.StepID, share float64) bool {
	return float64(xxhash.Sum64String(s.String()+w.Name)%1000) < 1000*share
}

// renew answers at once if there is an end to tell, else waits for one.
func (w *cellWorker) renew(e exchange.Renew) {
	w.ended = slices.DeleteFunc(w.ended, func(end order.End) bool { return end.Number <= e.Order.Acknowledged })
	if len(w.ended) > 0 || e.Order.MaxWait == 0 {
		w.report(e)
		return
	}
	w.waiting = &e
	w.cell.after(e.Order.MaxWait.Duration(), func() {
		if w.waiting == &e {
			w.waiting = nil
			w.report(e)
		}
	})
}

// report answers a renewal.
func (w *cellWorker) report(e exchange.Renew) {
	r := order.Report{Incarnation: w.Incarnation, Clock: order.WorkerClock(w.cell.now.Sub(w.begin).Milliseconds()), Ended: slices.Clone(w.ended)}
	for _, run := range w.runs {
		r.Running = append(r.Running, order.Running{Run: run.Run, Progress: run.progress(w.cell.now)})
	}
	w.cell.back(orderTime, exchange.RenewEnded{
		Worker: w.Incarnation, Epoch: e.Epoch, Renewal: e.Renewal, Answer: order.Answer{Outcome: order.CarriedOut}, Report: r,
	})
}

// start begins a task, which ends well after its work. All members of a gang come
// within a few milliseconds, so they begin on their own here.
func (w *cellWorker) start(e exchange.StartRun) {
	j := w.cell.jobs[e.Order.Task.Job]
	run := &cellRun{
		Run: e.Order.Run, since: w.cell.now, step: &j.sub.Steps[e.Order.Task.Step],
		lasts: time.Duration(w.slowBy * j.uneven(e.Order.Task) * float64(j.work[e.Order.Task.Step])),
	}
	w.runs[run.Run] = run
	w.cell.back(orderTime, exchange.StartEnded{
		Worker: w.Incarnation, Epoch: e.Epoch, Run: run.Run, Answer: order.Answer{Outcome: order.CarriedOut},
	})
	w.cell.after(run.lasts, func() { w.end(run, order.Done) })
}

// stop ends a task within the time that a stop may take.
func (w *cellWorker) stop(e exchange.StopRun) {
	w.cell.back(orderTime, exchange.StopEnded{
		Worker: w.Incarnation, Epoch: e.Epoch, Run: e.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut},
	})
	run := w.runs[e.Order.Run]
	if run == nil {
		return
	}
	takes := time.Duration(w.cell.rng.Int63n(int64(w.cell.mix.stopMost)))
	w.cell.after(takes, func() { w.end(run, order.Stopped) })
}

// end ends a task and tells it to a renewal that waits.
func (w *cellWorker) end(run *cellRun, how order.EndStatus) {
	if run.ends {
		return
	}
	run.ends = true
	delete(w.runs, run.Run)
	worked := w.cell.now.Sub(run.since).Seconds() * float64(run.step.Need.Processors) / float64(resource.Processor)
	if how == order.Done {
		w.cell.worked += worked
	} else {
		w.cell.wasted += worked
	}
	w.lastEnd++
	w.ended = append(w.ended, order.End{Number: w.lastEnd, Run: run.Run, Status: how})
	if e := w.waiting; e != nil {
		w.waiting = nil
		w.report(*e)
	}
}

// uneven returns how many times as much as its step's a task has to do: the same each time
// that it runs.
func (j *cellJob) uneven(id job.TaskID) float64 {
	if j.kind.uneven == 0 {
		return 1
	}
	rng := rand.New(rand.NewSource(int64(xxhash.Sum64String(id.String()))))
	return math.Exp(j.kind.uneven * rng.NormFloat64())
}
