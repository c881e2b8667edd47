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

// simWorker is a simulated worker that carries out all orders.
type simWorker struct {
	order.Worker
	cell *simCell
	runs map[order.Run]*simRun
	// unacknowledgedEnds holds the ends that the holder has not acknowledged yet. lastEndNumber
	// is the number of the latest end.
	unacknowledgedEnds []order.End
	lastEndNumber      int64
	// pendingRenewal is the renewal that waits for an end, or nil.
	pendingRenewal *exchange.Renew
	startedAt      time.Time
	// slowFactor is a factor on the run times of tasks on this worker.
	slowFactor float64
}

// simRun is a run of a task on a worker.
type simRun struct {
	order.Run
	startedAt time.Time
	// duration is the run time on its worker.
	duration time.Duration
	step     *job.Step
	ended    bool
}

// maxProgress is the largest progress, in percent, that an unfinished run reports.
const maxProgress = 99

// progress returns the progress of a run in percent.
func (r *simRun) progress(now time.Time) int {
	return min(maxProgress, int(100*now.Sub(r.startedAt)/max(1, r.duration)))
}

func workerName(i int) string { return fmt.Sprintf("w-%03d", i) }

// newSimWorker returns worker number i of the cell.
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

// isEligible reports whether the worker may run step s, where the given share of all workers
// may. The result depends only on the names of the step and the worker.
func (w *simWorker) isEligible(s job.StepID, share float64) bool {
	return float64(xxhash.Sum64String(s.String()+w.Name)%1000) < 1000*share
}

// renew answers a renewal at once if there are unacknowledged ends or the renewal may not wait.
// Else it answers after the next end, or once the order's MaxWait has passed.
func (w *simWorker) renew(e exchange.Renew) {
	w.unacknowledgedEnds = slices.DeleteFunc(w.unacknowledgedEnds, func(end order.End) bool { return end.Number <= e.Order.Acknowledged })
	if len(w.unacknowledgedEnds) > 0 || e.Order.MaxWait == 0 {
		w.report(e)
		return
	}
	w.pendingRenewal = &e
	w.awaitEnd(&e, e.Order.MaxWait.Duration())
}

// awaitEnd answers a pending renewal once the wait is over. A long wait ends after a second if the
// worker runs anything.
func (w *simWorker) awaitEnd(e *exchange.Renew, wait time.Duration) {
	step := min(wait, renewWait)
	w.cell.schedule(step, func() {
		switch {
		case w.pendingRenewal != e:
		case wait > step && len(w.runs) == 0:
			w.awaitEnd(e, wait-step)
		default:
			w.pendingRenewal = nil
			w.report(*e)
		}
	})
}

// report answers a renewal with the unacknowledged ends and the runs in progress.
func (w *simWorker) report(e exchange.Renew) {
	r := order.Report{Incarnation: w.Incarnation, Clock: order.WorkerClock(w.cell.now.Sub(w.startedAt).Milliseconds()), Ended: slices.Clone(w.unacknowledgedEnds)}
	for _, run := range w.runs {
		r.Running = append(r.Running, order.Running{Run: run.Run, Progress: run.progress(w.cell.now)})
	}
	w.cell.deliverAfter(orderLatency, exchange.RenewEnded{
		Worker: w.Incarnation, Epoch: e.Epoch, Renewal: e.Renewal, Answer: order.Answer{Outcome: order.CarriedOut}, Report: r,
	})
}

// startRun starts a run, which completes after its run time. The members of a gang are not
// synchronized, because their orders arrive within a few milliseconds of each other.
func (w *simWorker) startRun(e exchange.StartRun) {
	j := w.cell.jobs[e.Order.Task.Job]
	run := &simRun{
		Run: e.Order.Run, startedAt: w.cell.now, step: &j.sub.Steps[e.Order.Task.Step],
		duration: time.Duration(w.slowFactor * j.taskFactor(e.Order.Task) * float64(j.work[e.Order.Task.Step])),
	}
	if j.firstStartAt.IsZero() {
		j.firstStartAt = w.cell.now
	}
	w.runs[run.Run] = run
	w.cell.deliverAfter(orderLatency, exchange.StartEnded{
		Worker: w.Incarnation, Epoch: e.Epoch, Run: run.Run, Fence: e.Order.Fence, Answer: order.Answer{Outcome: order.CarriedOut},
	})
	w.cell.schedule(run.duration, func() { w.endRun(run, order.Done) })
}

// stopRun stops a run after a random time below maxStopTime.
func (w *simWorker) stopRun(e exchange.StopRun) {
	w.cell.deliverAfter(orderLatency, exchange.StopEnded{
		Worker: w.Incarnation, Epoch: e.Epoch, Run: e.Order.Run, Fence: e.Order.Fence, Answer: order.Answer{Outcome: order.CarriedOut},
	})
	run := w.runs[e.Order.Run]
	if run == nil {
		return
	}
	takes := time.Duration(w.cell.rng.Int63n(int64(w.cell.mix.maxStopTime)))
	w.cell.schedule(takes, func() { w.endRun(run, order.Stopped) })
}

// endRun records the end of a run and answers the pending renewal, if any.
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

// taskFactor returns the factor on the step's run time for one task. It is the same for every run
// of the task.
func (j *simJob) taskFactor(id job.TaskID) float64 {
	if j.kind.taskVariation == 0 {
		return 1
	}
	rng := rand.New(rand.NewSource(int64(xxhash.Sum64String(id.String()))))
	return math.Exp(j.kind.taskVariation * rng.NormFloat64())
}
