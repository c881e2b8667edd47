// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package exchange has what passes between the reducer for submitted jobs and the loop that
// runs it: events, which the reducer is told with the present time, and effects, which it
// asks for and which come back as events.
package exchange

import (
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/models/workspace"
)

// Event is something that the reducer is told.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// Decided says how long the last Decide took that has made a plan.
type Decided struct{ Took time.Duration }

// Stop asks for a planned stop.
type Stop struct{}

// ConfigRead is a configuration that the log has.
type ConfigRead struct{ Config job.Config }

// ConfigReadEnded says that a read of the configurations has ended that was asked for at a time:
// what was in force by then is known.
type ConfigReadEnded struct{ AskedAt time.Time }

// ClaimsRead is a part of the stream of claims, the first one if Start is set.
type ClaimsRead struct {
	First   bool
	Records []stream.Record
	Next    int64
	// Failed says why there is nothing, or is empty.
	Failure string
}

// MembersRead lists entry boxes that have announced themselves.
type MembersRead struct{ Members []claim.Member }

// WorkersRead is a change of the platform's list of workers.
type WorkersRead struct{ Listing order.Listing }

// AppendEnded is the end of an Append.
type AppendEnded struct {
	Purpose Purpose
	Number  int64
	Offset  int64
	Err     error
}

// JobsLoaded is the whole stream of jobs, read for the claim with Epoch.
type JobsLoaded struct {
	Epoch   int64
	Records []stream.Record
	Err     error
}

// CallID names a caller's call within this process.
type CallID uint64

// Submitted is a caller's job.
type Submitted struct {
	Call       CallID
	Submission job.Submission
	Caller     *workspace.Caller
	// RetryAfter is set if no new job is to be taken now: it is when to come back.
	RetryAfter time.Duration
}

// CancelAsked is a caller's wish to end a job.
type CancelAsked struct {
	Call   CallID
	Caller *workspace.Caller
	Job    job.ID
}

// StateAsked is a caller's question about a job.
type StateAsked struct {
	Call   CallID
	Caller *workspace.Caller
	Job    job.ID
}

// ExplanationAsked asks why a job is as it is.
type ExplanationAsked struct {
	Call CallID
	Job  job.ID
}

// CountAsked asks how many jobs of a queue wait.
type CountAsked struct {
	Call   CallID
	Caller *workspace.Caller
	Queue  string
}

// RenewEnded is the end of a Renew.
type RenewEnded struct {
	Worker order.Incarnation
	Epoch  int64
	// Look is that of the Renew.
	Renewal int64
	Answer  order.Answer
	Report  order.Report
}

// StartEnded is the end of a Start.
type StartEnded struct {
	Worker order.Incarnation
	Epoch  int64
	Run    order.Run
	Answer order.Answer
}

// StopEnded is the end of a StopRun.
type StopEnded struct {
	Worker order.Incarnation
	Epoch  int64
	Run    order.Run
	Answer order.Answer
}

// ThrottleEnded is the end of a ThrottleRun.
type ThrottleEnded struct {
	Worker order.Incarnation
	Epoch  int64
	Run    order.Run
	// Percent is the pace that was ordered.
	Percent int
	Answer  order.Answer
}

// Advised is the end of an Advise.
type Advised struct {
	Step    job.StepID
	Box     string
	Epoch   int64
	Number  int64
	Tickets []order.Ticket
	// Busy says that the service has too many calls of the box waiting.
	Busy    bool
	Failure string
}

// PledgeAsked is a holder's question whether this box will not claim for a while.
type PledgeAsked struct {
	Call  CallID
	Epoch int64
}

// Pledged is the end of an AskPledges.
type Pledged struct {
	Epoch  int64
	SentAt time.Time
	// All says that all other boxes have promised not to claim.
	All bool
	// Steady has the addresses of boxes that the log answers.
	LogReachable []string
}

// InviteAsked is a holder's wish that this box claim the cell at once.
type InviteAsked struct {
	Call  CallID
	Epoch int64
}

// Invited is the end of an Invite.
type Invited struct {
	Epoch int64
	// Refused says that the other box will surely not claim.
	Refused bool
	Reason  string
}

func (Tick) event()             {}
func (Decided) event()          {}
func (Stop) event()             {}
func (ConfigRead) event()       {}
func (ConfigReadEnded) event()  {}
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
func (PledgeAsked) event()      {}
func (Pledged) event()          {}
func (InviteAsked) event()      {}
func (Invited) event()          {}
