// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
)

// attempt is one start of a task, from its order until its end is known.
type attempt struct {
	step   *step
	index  int
	run    int64
	worker *worker
	state  attemptState
	// since is when the state began; for a stop, when it was confirmed.
	stateSince time.Time
	// looks is how many renewals the holder had asked for by then.
	renewalsSent  int64
	stopConfirmed bool
	// firstOrderedAt is when the order was first sent, or zero if an earlier holder sent it,
	// lastOrderedAt when it was last.
	firstOrderedAt, lastOrderedAt time.Time
	// checkpoint and ticket are what it was ordered with, tries how often the order was
	// sent: the same order again changes nothing more.
	checkpoint, ticket string
	orderCount         int
	// figure is the worker's rough figure of the run.
	figure int64
	// pace is the percentage of its speed at which it works, or paceUnknown; pacing says
	// that another was ordered.
	pace        int
	paceOrdered bool
	// progress is how much of its work was done, in percent, when a look last told of
	// more, at progressAt.
	progress   int
	progressAt time.Time
	// reportedAt is when a look last told of it.
	reportedAt time.Time
	// marked says that it is to be stopped for a gang that has its place reserved.
	markedForStop bool
	// stopAt is when its end was first ordered.
	stopRequestedAt time.Time
	// risk is the probability that it crashes its worker, if it is of a suspect, and trial
	// says that the worker gets nothing else meanwhile.
	crashRisk float64
	isolated  bool
	// adopted says that an earlier holder started it, resumed that it began from a
	// checkpoint.
	adopted, resumed bool
	// unheard says that only the log told of it: its worker was silent.
	onlyLogged bool
	// fromEarlierIncarnation says that it was ordered from an earlier life of its worker: unless the
	// worker tells of it, it never begins.
	fromEarlierIncarnation bool
	// silentAfter is for how long it had been at work when its worker fell silent under an
	// earlier holder, if workedUntilSilenceKnown.
	workedUntilSilence      time.Duration
	workedUntilSilenceKnown bool
}

// markStateChange notes that an attempt has come to its present state.
func (h *holderState) markStateChange(now time.Time, a *attempt) {
	a.stateSince = now
	a.renewalsSent = h.renewalsSent
}

// attemptState is how far an attempt has come.
type attemptState string

const (
	// attemptStarting: the order is under way.
	attemptStarting attemptState = "starting"
	// attemptRunning: the worker has confirmed it.
	attemptRunning attemptState = "running"
	// attemptUnconfirmed: the order had no answer.
	attemptUnconfirmed attemptState = "unsure"
	// attemptStopping: it is to end; its place stays taken until it has.
	attemptStopping attemptState = "stopping"
)

// task returns the task that the attempt is a start of.
func (a *attempt) task() *task { return &a.step.tasks[a.index] }

// runID returns the name under which the worker knows the attempt.
func (a *attempt) runID() order.Run {
	return order.Run{Task: job.TaskID{StepID: a.step.id, Index: a.index}, Number: a.run}
}

// assign takes an attempt's room on its worker.
func (h *holderState) assign(now time.Time, a *attempt) {
	a.worker.attempts[a.runID()] = a
	a.worker.free = a.worker.free.Minus(a.step.spec.Reserved())
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

// unassign gives the room back.
func (h *holderState) unassign(a *attempt) {
	a.untrackSuspect()
	delete(a.worker.attempts, a.runID())
	a.worker.free = a.worker.free.Plus(a.step.spec.Reserved())
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

// nextRunNumber returns a run number above all earlier ones of the step's tasks, under
// this claim and those before.
func (h *holderState) nextRunNumber(s *step) int64 {
	s.lastRun = max(s.lastRun+1, h.epoch*runsPerEpoch)
	return s.lastRun
}
