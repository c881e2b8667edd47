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

// simWorker is a worker that does as it is told.
type simWorker struct {
	order.Worker
	cell *simCell
	runs map[order.Run]*simRun
	// ended are ends that the holder has not seen, lastEndNumber the number of the last.
	unacknowledgedEnds []order.End
	lastEndNumber      int64
	// waiting is the renewal that waits for an end, or nil.
	pendingRenewal *exchange.Renew
	startedAt      time.Time
	// slowBy is how many times as long tasks take on it.
	slowFactor float64
}

// simRun is one task at work.
type simRun struct {
	order.Run
	startedAt time.Time
	// lasts is how long its work takes on its worker.
	duration time.Duration
	step     *job.Step
	ended    bool
}

// maxProgress is the progress, in percent, of a run that is about to end.
const maxProgress = 99

// progress returns how much of a run's work is done, in percent.
func (r *simRun) progress(now time.Time) int {
	return min(maxProgress, int(100*now.Sub(r.startedAt)/max(1, r.duration)))
}

func workerName(i int) string { return fmt.Sprintf("w-%03d", i) }

func newSimWorker(c *simCell, i int) *simWorker {
	slowBy := 1.0
	if c.rng.Float64() < c.mix.slowShare {
		slowBy = c.mix.slowFactor
	}
	return &simWorker{
		cell: c, runs: map[order.Run]*simRun{}, startedAt: c.now, slowFactor: slowBy,
		Worker: order.Worker{
			Incarnation: order.Incarnation{Name: workerName(i)}, Address: workerName(i), Pool: "pool", Domain: fmt.Sprintf("d%d", i%c.mix.domains),
			Rack:     fmt.Sprintf("r%d", i/rackSize),
			Capacity: resource.Vector{Processors: c.mix.cores * resource.Processor, Memory: c.mix.gigabytes * resource.GiB},
		},
	}
}

// isEligible says whether a worker may run a step; that never changes.
func (w *simWorker) isEligible(s job.StepID, share float64) bool {
	return float64(xxhash.Sum64String(s.String()+w.Name)%1000) < 1000*share
}

// renew answers at once if there is an end to tell, else waits for one.
func (w *simWorker) renew(e exchange.Renew) {
	w.unacknowledgedEnds = slices.DeleteFunc(w.unacknowledgedEnds, func(end order.End) bool { return end.Number <= e.Order.Acknowledged })
	if len(w.unacknowledgedEnds) > 0 || e.Order.MaxWait == 0 {
		w.report(e)
		return
	}
	w.pendingRenewal = &e
	w.cell.schedule(e.Order.MaxWait.Duration(), func() {
		if w.pendingRenewal == &e {
			w.pendingRenewal = nil
			w.report(e)
		}
	})
}

// report answers a renewal.
func (w *simWorker) report(e exchange.Renew) {
	r := order.Report{Incarnation: w.Incarnation, Clock: order.WorkerClock(w.cell.now.Sub(w.startedAt).Milliseconds()), Ended: slices.Clone(w.unacknowledgedEnds)}
	for _, run := range w.runs {
		r.Running = append(r.Running, order.Running{Run: run.Run, Progress: run.progress(w.cell.now)})
	}
	w.cell.deliverAfter(orderLatency, exchange.RenewEnded{
		Worker: w.Incarnation, Epoch: e.Epoch, Renewal: e.Renewal, Answer: order.Answer{Outcome: order.CarriedOut}, Report: r,
	})
}

// startRun begins a task, which ends well after its work. All members of a gang come
// within a few milliseconds, so they begin on their own here.
func (w *simWorker) startRun(e exchange.StartRun) {
	j := w.cell.jobs[e.Order.Task.Job]
	run := &simRun{
		Run: e.Order.Run, startedAt: w.cell.now, step: &j.sub.Steps[e.Order.Task.Step],
		duration: time.Duration(w.slowFactor * j.taskFactor(e.Order.Task) * float64(j.work[e.Order.Task.Step])),
	}
	w.runs[run.Run] = run
	w.cell.deliverAfter(orderLatency, exchange.StartEnded{
		Worker: w.Incarnation, Epoch: e.Epoch, Run: run.Run, Answer: order.Answer{Outcome: order.CarriedOut},
	})
	w.cell.schedule(run.duration, func() { w.endRun(run, order.Done) })
}

// stopRun ends a task within the time that a stop may take.
func (w *simWorker) stopRun(e exchange.StopRun) {
	w.cell.deliverAfter(orderLatency, exchange.StopEnded{
		Worker: w.Incarnation, Epoch: e.Epoch, Run: e.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut},
	})
	run := w.runs[e.Order.Run]
	if run == nil {
		return
	}
	takes := time.Duration(w.cell.rng.Int63n(int64(w.cell.mix.maxStopTime)))
	w.cell.schedule(takes, func() { w.endRun(run, order.Stopped) })
}

// endRun ends a task and tells it to a renewal that waits.
func (w *simWorker) endRun(run *simRun, how order.EndStatus) {
	if run.ended {
		return
	}
	run.ended = true
	delete(w.runs, run.Run)
	worked := w.cell.now.Sub(run.startedAt).Seconds() * float64(run.step.Need.Processors) / float64(resource.Processor)
	if how == order.Done {
		w.cell.usefulCoreSeconds += worked
	} else {
		w.cell.wastedCoreSeconds += worked
	}
	w.lastEndNumber++
	w.unacknowledgedEnds = append(w.unacknowledgedEnds, order.End{Number: w.lastEndNumber, Run: run.Run, Status: how})
	if e := w.pendingRenewal; e != nil {
		w.pendingRenewal = nil
		w.report(*e)
	}
}

// taskFactor returns how many times as much as its step's a task has to do: the same each time
// that it runs.
func (j *simJob) taskFactor(id job.TaskID) float64 {
	if j.kind.taskVariation == 0 {
		return 1
	}
	rng := rand.New(rand.NewSource(int64(xxhash.Sum64String(id.String()))))
	return math.Exp(j.kind.taskVariation * rng.NormFloat64())
}
