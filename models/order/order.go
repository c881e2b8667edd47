// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package order holds the single orders that a holder gives to workers, and
// what workers answer. Unlike a Sync, each order has a fate of its own.
package order

import (
	"cmp"

	"saddlevane/models/job"
)

// WorkerClock is a time on a worker's own steady clock, in milliseconds.
type WorkerClock int64

// Run names one start of a task. Runs of a task rise over all holders.
type Run struct {
	Task   job.TaskID
	Number int64
}

// Compare orders runs by their names.
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
	// Until is when the worker's lease ends; a start that is carried out later
	// is refused.
	LeaseEnd   WorkerClock
	Fence      int64
	Checkpoint string
	// Ticket is the advice service's leave, if the queue needs it.
	Ticket string
}

// Stop asks a worker to end a run, and never to begin it.
type Stop struct {
	Run
	Fence int64
}

// Throttle sets at which percentage of its speed a run may work.
type Throttle struct {
	Run
	Percent int
	Fence   int64
}

// Renew renews a worker's lease and asks what it runs.
type Renew struct {
	// Until is the new end of the lease, or 0 to leave it.
	LeaseEnd WorkerClock
	Fence    int64
	// Seen is the last end that may be forgotten.
	Acknowledged int64
	// Wait is how long the worker may wait for an end before it answers.
	MaxWait job.Milliseconds
}

// Report is what a worker runs and what has ended on it.
type Report struct {
	// Life is the one that answers: an order reaches the life that is there.
	Incarnation Incarnation
	Clock       WorkerClock
	Running     []Running
	Ended       []End
}

// Running is one run at work.
type Running struct {
	Run
	Checkpoint string
	// Progress is how much of its work is done, in percent; of a service, how far its
	// start has come.
	Progress int
	// Figure is a rough figure of the last half second, or 0: for a serving task the
	// tail of its answers' times, in milliseconds, else the processors in use, in
	// thousandths of one.
	Measurement int64
}

// End is one run that has ended. Numbers rise in each life of a worker.
type End struct {
	Number int64
	Run
	Status     EndStatus
	Checkpoint string
}

// EndStatus a run ended.
type EndStatus string

// The ways in which a run ends.
const (
	Done         EndStatus = "done"
	Failed       EndStatus = "failed"
	Stopped      EndStatus = "stopped"
	LeaseExpired EndStatus = "lapsed"
	// GangBroken means that another member of the gang ended first.
	GangBroken EndStatus = "broken"
	// GangIncomplete means that the other members of the gang did not come in time.
	GangIncomplete EndStatus = "alone"
)

// Outcome is what is known of an order once its call has ended.
type Outcome string

// The fates. WrongIncarnation means that the worker at the address is another life than
// the one meant, so that all that ran on the earlier life is gone.
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
	// Fenced means that the worker has seen a higher fence number.
	Fenced Reason = "fenced"
	// StaleRun means that this run, or a later one, has ended there.
	StaleRun   Reason = "old run"
	TooLate    Reason = "too late"
	NoCapacity Reason = "no room"
	BadTicket  Reason = "bad ticket"
	Malformed  Reason = "malformed"
	// ConnectionClosed means that the worker's side closed the connection while the call was under
	// way: the worker, or its process, was there until then.
	ConnectionClosed Reason = "connection closed"
)

// Answer is the end of a call that carried an order.
type Answer struct {
	Outcome Outcome
	Reason  Reason
	// Clock is the worker's clock when it answered, or 0.
	Clock WorkerClock
	// Problem says what went wrong with the call, for logs.
	Problem string
}
