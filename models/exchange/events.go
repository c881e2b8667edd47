// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package exchange defines the interface between the reducer for submitted jobs and the loop that
// runs it. The loop passes events to the reducer, with the current time. The reducer returns effects,
// which the loop carries out and whose results come back as events.
package exchange

import (
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/evacuation"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/models/workspace"
)

// Event is an input of the reducer.
type Event interface{ event() }

// Tick lets the reducer act on the passage of time.
type Tick struct{}

// Decided reports the duration of the last Decide that made a plan.
type Decided struct{ Took time.Duration }

// Stop requests a planned stop.
type Stop struct{}

// ConfigRead is a configuration read from the log.
type ConfigRead struct{ Config job.Config }

// ConfigReadEnded reports that a read of the configurations, started at AskedAt, has ended. The
// configuration and the evacuations that were in force at that time are now known.
type ConfigReadEnded struct{ AskedAt time.Time }

// EvacuationsRead is what a read of the configurations contains about evacuations.
type EvacuationsRead struct{ Update evacuation.Update }

// ClaimsRead is a part of the stream of claims, the first part if First is set. Next is the offset
// to read from next.
type ClaimsRead struct {
	First   bool
	Records []stream.Record
	Next    int64
	// Relayed is set if another box has read them and passed them on.
	Relayed bool
	// Failure says why the read failed, or is empty.
	Failure string
}

// MembersRead lists the entry boxes that have announced themselves.
type MembersRead struct{ Members []claim.Member }

// WorkersRead is a change of the platform's list of workers.
type WorkersRead struct{ Listing order.Listing }

// AppendEnded is the result of an Append.
type AppendEnded struct {
	Purpose Purpose
	Number  int64
	Offset  int64
	Err     error
}

// JobsLoaded is the complete stream of jobs, read for the claim with the given epoch.
type JobsLoaded struct {
	Epoch   int64
	Records []stream.Record
	Err     error
}

// CallID identifies a caller's call within this process.
type CallID uint64

// Submitted is a call that submits a job.
type Submitted struct {
	Call       CallID
	Submission job.Submission
	Caller     *workspace.Caller
	// RetryAfter is set if the job must be refused unless it is already known, because the holder
	// is overloaded. It is the time after which the caller should try again.
	RetryAfter time.Duration
}

// CancelAsked is a call that cancels a job.
type CancelAsked struct {
	Call   CallID
	Caller *workspace.Caller
	Job    job.ID
}

// StateAsked is a call that asks for the state of a job.
type StateAsked struct {
	Call   CallID
	Caller *workspace.Caller
	Job    job.ID
}

// ExplanationAsked is a call that asks for the explanation of a job's state.
type ExplanationAsked struct {
	Call CallID
	Job  job.ID
}

// CountAsked is a call that asks how many jobs of a queue wait.
type CountAsked struct {
	Call   CallID
	Caller *workspace.Caller
	Queue  string
}

// RenewEnded is the result of a Renew.
type RenewEnded struct {
	Worker order.Incarnation
	Epoch  int64
	// Renewal is the number of the Renew.
	Renewal int64
	Answer  order.Answer
	Report  order.Report
}

// StartEnded is the result of a StartRun.
type StartEnded struct {
	Worker order.Incarnation
	Epoch  int64
	Run    order.Run
	// Fence is the fence number of the order. A repeated one may have a higher number.
	Fence  int64
	Answer order.Answer
}

// StopEnded is the result of a StopRun.
type StopEnded struct {
	Worker order.Incarnation
	Epoch  int64
	Run    order.Run
	// Fence is the fence number of the order. A repeated one may have a higher number.
	Fence  int64
	Answer order.Answer
}

// ThrottleEnded is the result of a ThrottleRun.
type ThrottleEnded struct {
	Worker order.Incarnation
	Epoch  int64
	Run    order.Run
	// Percent is the speed that was ordered, in percent of the full speed.
	Percent int
	// Fence is the fence number of the order.
	Fence  int64
	Answer order.Answer
}

// Advised is the result of an Advise. Tickets holds a ticket for each worker that may run the step.
type Advised struct {
	Step    job.StepID
	Box     string
	Epoch   int64
	Number  int64
	Tickets []order.Ticket
	// Busy is set if the service refused the call because too many calls of the box are waiting.
	Busy    bool
	Failure string
}

// HolderAsked is a call of another box that asks which box holds the cell.
type HolderAsked struct{ Call CallID }

// PledgeAsked is a holder's request that this box promise not to claim the cell for a while.
type PledgeAsked struct {
	Call  CallID
	Epoch int64
}

// Pledged is the result of an AskPledges.
type Pledged struct {
	Epoch  int64
	SentAt time.Time
	// All is set if all boxes that were asked have promised not to claim.
	All bool
	// LogReachable lists the addresses of the boxes that can reach the log.
	LogReachable []string
}

// InviteAsked is a holder's request that this box claim the cell at once.
type InviteAsked struct {
	Call  CallID
	Epoch int64
}

// Invited is the result of an Invite.
type Invited struct {
	Epoch int64
	// Refused is set if the other box will certainly not claim.
	Refused bool
	Reason  string
}

func (Tick) event()             {}
func (Decided) event()          {}
func (Stop) event()             {}
func (ConfigRead) event()       {}
func (ConfigReadEnded) event()  {}
func (EvacuationsRead) event()  {}
func (ClaimsRead) event()       {}
func (MembersRead) event()      {}
func (WorkersRead) event()      {}
func (AppendEnded) event()      {}
func (JobsLoaded) event()       {}
func (Submitted) event()        {}
func (CancelAsked) event()      {}
func (StateAsked) event()       {}
func (CountAsked) event()       {}
func (ExplanationAsked) event() {}
func (RenewEnded) event()       {}
func (StartEnded) event()       {}
func (StopEnded) event()        {}
func (ThrottleEnded) event()    {}
func (Advised) event()          {}
func (HolderAsked) event()      {}
func (PledgeAsked) event()      {}
func (Pledged) event()          {}
func (InviteAsked) event()      {}
func (Invited) event()          {}
