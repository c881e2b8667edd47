// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
)

// attempt is one run of a task on a worker, from the start order until its end is known.
type attempt struct {
	step   *step
	index  int
	run    int64
	worker *worker
	state  attemptState
	// stateSince is when the attempt entered its state; for a stop, when the stop was last
	// ordered, or when it was confirmed.
	stateSince time.Time
	// renewalsSent is the number of the last renewal that the holder had sent to any worker when
	// the attempt entered its state. The answer to that renewal or an earlier one does not prove
	// that the worker does not have the run.
	renewalsSent int64
	// stopConfirmed is set once the worker has confirmed the stop, and for adopted runs.
	stopConfirmed bool
	// firstOrderedAt is when the start order was first sent, or zero if an earlier holder sent
	// it; lastOrderedAt is when it was last sent.
	firstOrderedAt, lastOrderedAt time.Time
	// checkpoint and ticket are those of the start order; orderCount is how often it was
	// sent. The order is idempotent.
	checkpoint, ticket string
	orderCount         int
	// measurement is the load that the worker last reported, see order.Running: for a serving
	// task its tail latency in milliseconds, else the processors in use in thousandths of one.
	measurement int64
	// pace is the percentage of full speed at which the run works, or unknownPace;
	// paceOrdered is set while the order of another pace is unanswered.
	pace        int
	paceOrdered bool
	// progress is the highest progress that the worker reported, in percent; progressAt is
	// when it was reported first.
	progress   int
	progressAt time.Time
	// reportedAt is when the worker last reported the run as running.
	reportedAt time.Time
	// markedForStop is set if the attempt is to be stopped for a gang that has reserved its
	// capacity.
	markedForStop bool
	// stopRequestedAt is when the stop was first ordered.
	stopRequestedAt time.Time
	// crashRisk is the probability that the task crashes its worker, if it is a suspect.
	// isolated is set while the worker gets no other tasks because of that.
	crashRisk float64
	isolated  bool
	// adopted is set if an earlier holder started the run, resumed if it began from a
	// checkpoint.
	adopted, resumed bool
	// inheritedTransit is set if a copy of an earlier holder's order to start the run may be in transit.
	inheritedTransit bool
	// onlyLogged is set if the run is known only from the log: its worker was unresponsive
	// under the earlier holder.
	onlyLogged bool
	// fromEarlierIncarnation is set if the start was ordered from an earlier incarnation of
	// the worker: if the current one does not report the run, the run never begins.
	fromEarlierIncarnation bool
	// workedUntilUnresponsive is how long the run had been running when its worker became
	// unresponsive under an earlier holder; it is valid if workedUntilUnresponsiveKnown is set.
	workedUntilUnresponsive      time.Duration
	workedUntilUnresponsiveKnown bool
}

// markStateChange records the time at which an attempt enters its state, and the number of
// renewals sent so far.
func (h *holderState) markStateChange(now time.Time, a *attempt) {
	a.stateSince = now
	a.renewalsSent = h.renewalsSent
}

// attemptState is the state of an attempt.
type attemptState string

const (
	// attemptStarting means that the start order is not answered yet.
	attemptStarting attemptState = "starting"
	// attemptRunning means that the worker has confirmed the run.
	attemptRunning attemptState = "running"
	// attemptUnconfirmed means that the start order got no answer, so that the run may exist.
	attemptUnconfirmed attemptState = "unsure"
	// attemptStopping means that the stop was ordered. The capacity stays in use until the run
	// has ended.
	attemptStopping attemptState = "stopping"
)

// task returns the task that the attempt runs.
func (a *attempt) task() *task { return &a.step.tasks[a.index] }

// runID returns the identifier of the attempt's run in orders and reports.
func (a *attempt) runID() order.Run {
	return order.Run{Task: job.TaskID{StepID: a.step.id, Index: a.index}, Number: a.run}
}

// assign allocates an attempt's capacity on its worker and makes it the current attempt of its
// task.
func (h *holderState) assign(now time.Time, a *attempt) {
	a.worker.attempts[a.runID()] = a
	a.worker.free = a.worker.free.Minus(a.step.spec.Reserved())
	if a.state == attemptStopping {
		a.worker.addStopping(a)
	}
	h.usage.Add(a.step.job.workspace, a.step.spec.Need)
	t := a.task()
	t.attempt = a
	t.lastRun = a.run
	a.step.placedTasks++
	if !t.done {
		a.step.unplacedTasks--
	}
	h.trackSuspect(now, a)
}

// unassign frees an attempt's capacity on its worker. If it is still the current attempt of its
// task, the task has to be placed again unless it is done.
func (h *holderState) unassign(a *attempt) {
	a.untrackSuspect()
	delete(a.worker.attempts, a.runID())
	a.worker.free = a.worker.free.Plus(a.step.spec.Reserved())
	if a.state == attemptStopping {
		a.worker.stopping = a.worker.stopping.Minus(a.step.spec.Reserved())
		a.worker.stoppingCount--
	}
	h.usage.Subtract(a.step.job.workspace, a.step.spec.Need)
	t := a.task()
	if t.attempt == a {
		t.attempt = nil
		if !t.done {
			a.step.unplacedTasks++
		}
	}
	a.step.placedTasks--
	h.planDue = true
}

// areRunsUsed reports whether so few run numbers are left under this claim that a new one is needed.
func (h *holderState) areRunsUsed() bool { return h.nextRun >= (h.epoch+1)*runsPerEpoch-runReserve }

// nextRunNumber returns a run number that is higher than all earlier ones of this claim, and than those of
// the step's tasks under earlier claims.
func (h *holderState) nextRunNumber(s *step) int64 {
	s.lastRun = max(s.lastRun+1, h.nextRun)
	h.nextRun = s.lastRun + 1
	return s.lastRun
}
