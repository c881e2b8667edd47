// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package order defines the orders that a holder sends to workers, and the workers' answers. Unlike
// the parts of a Sync, each order is carried out or refused separately.
package order

import (
	"cmp"

	"saddlevane/models/job"
)

// WorkerClock is a time on a worker's own monotonic clock, in milliseconds.
type WorkerClock int64

// Run identifies one start of a task. The run numbers of a task increase, across all holders.
type Run struct {
	Task   job.TaskID
	Number int64
}

// Compare orders runs by job, instance, step, task index and number.
func (r Run) Compare(o Run) int {
	return cmp.Or(
		cmp.Compare(r.Task.Job, o.Task.Job), cmp.Compare(r.Task.Instance, o.Task.Instance), cmp.Compare(r.Task.Step, o.Task.Step),
		cmp.Compare(r.Task.Index, o.Task.Index), cmp.Compare(r.Number, o.Number),
	)
}

// Start asks a worker to run a task.
type Start struct {
	Run
	Spec string
	// LeaseEnd is when the worker's lease ends. The worker refuses the start after that time.
	LeaseEnd   WorkerClock
	Fence      int64
	Checkpoint string
	// Ticket is the advice service's permission, if the queue uses the service.
	Ticket string
}

// Stop asks a worker to end a run. A worker that has not started the run must never start it.
type Stop struct {
	Run
	Fence int64
}

// Throttle limits a run to a percentage of its full speed.
type Throttle struct {
	Run
	Percent int
	Fence   int64
}

// Renew renews a worker's lease and asks for a report of its runs.
type Renew struct {
	// LeaseEnd is the new end of the lease, or 0 to leave the lease unchanged.
	LeaseEnd WorkerClock
	Fence    int64
	// Acknowledged is the number of the last end that the worker may forget.
	Acknowledged int64
	// MaxWait is how long the worker may wait for a run to end before it answers.
	MaxWait job.Milliseconds
}

// Report lists the runs that are at work on a worker and those that have ended there.
type Report struct {
	// Incarnation is the incarnation that answers. It may be another one than the order was meant
	// for, because an order reaches whichever incarnation runs at the address.
	Incarnation Incarnation
	Clock       WorkerClock
	Running     []Running
	Ended       []End
}

// Running is one run at work.
type Running struct {
	Run
	Checkpoint string
	// Progress is how much of the work is done, in percent. For a service it is the progress of its
	// start.
	Progress int
	// Measurement is a rough measurement over the last half second, or 0 if there is none: the
	// tail latency in milliseconds for a serving task, else the processors in use, in thousandths
	// of one.
	Measurement int64
}

// End is the end of one run. Number increases with each end on an incarnation of a worker.
type End struct {
	Number int64
	Run
	Status     EndStatus
	Checkpoint string
}

// EndStatus is the way in which a run ended.
type EndStatus string

// The ways in which a run ends.
const (
	Done    EndStatus = "done"
	Failed  EndStatus = "failed"
	Stopped EndStatus = "stopped"
	// LeaseExpired means that the worker's lease expired while the run was at work.
	LeaseExpired EndStatus = "lapsed"
	// GangBroken means that another member of the gang ended first.
	GangBroken EndStatus = "broken"
	// GangIncomplete means that the other members of the gang did not start in time.
	GangIncomplete EndStatus = "alone"
)

// Outcome states whether an order was carried out, as far as that is known when its call has ended.
type Outcome string

// The outcomes. WrongIncarnation means that another incarnation than the intended one runs at the
// address, so that all runs of the earlier incarnation are lost.
const (
	CarriedOut       Outcome = "carried out"
	Refused          Outcome = "refused"
	NotDone          Outcome = "not done"
	Unknown          Outcome = "unknown"
	WrongIncarnation Outcome = "no such life"
)

// Reason is why a worker refused an order, or why its call had no answer.
type Reason string

// The reasons.
const (
	// Fenced means that the worker has received an order with a higher fence number.
	Fenced Reason = "fenced"
	// StaleRun means that this run, or a later one of the task, has already ended there.
	StaleRun   Reason = "old run"
	TooLate    Reason = "too late"
	NoCapacity Reason = "no room"
	BadTicket  Reason = "bad ticket"
	Malformed  Reason = "malformed"
	// ConnectionClosed means that the worker's side closed the connection during the call, so the
	// worker, or its process, was running until then.
	ConnectionClosed Reason = "connection closed"
)

// Answer is the result of a call that carried an order.
type Answer struct {
	Outcome Outcome
	Reason  Reason
	// Clock is the worker's clock when it answered, or 0 if it did not answer.
	Clock WorkerClock
	// Problem describes the failure of the call, for logs.
	Problem string
}

// IsFenced reports whether the worker refused the order because of its fence number.
func (a Answer) IsFenced() bool { return a.Outcome == Refused && a.Reason == Fenced }
