// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"
)

// Effect is an action that the reducer requests.
type Effect interface{ effect() }

// Purpose is the purpose of an append.
type Purpose string

// The purposes of appends.
const (
	ForClaim    Purpose = "claim"
	ForJournal  Purpose = "journal"
	ForAnnounce Purpose = "announce"
)

// Append appends to the log. Its result comes back as AppendEnded.
type Append struct {
	Purpose Purpose
	// Number distinguishes the appends of one purpose.
	Number int64
	Append stream.Append
}

// LoadJobs reads the complete stream of jobs. Its result comes back as JobsLoaded.
type LoadJobs struct{ Epoch int64 }

// FollowWorkers starts or stops watching the list of workers for changes.
type FollowWorkers struct{ On bool }

// Renew renews a worker's lease and asks for a report of its runs. Its result comes back as
// RenewEnded.
type Renew struct {
	Worker  order.Incarnation
	Address string
	Epoch   int64
	// Renewal numbers the renewals of a holder in the order of their requests. A report describes
	// the worker at some time after its renewal was requested.
	Renewal int64
	Order   order.Renew
	// The answer is overdue after Timeout, and RenewEnded is then sent without it. An answer that
	// arrives within GracePeriod after that is still used and causes a second RenewEnded.
	Timeout, GracePeriod time.Duration
}

// StartRun starts a task. Its result comes back as StartEnded.
type StartRun struct {
	Worker  order.Incarnation
	Address string
	Epoch   int64
	Order   order.Start
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
}

// StopRun stops a run. Its result comes back as StopEnded.
type StopRun struct {
	Worker  order.Incarnation
	Address string
	Epoch   int64
	Order   order.Stop
	Timeout time.Duration
}

// ThrottleRun sets the speed of a run. Its result comes back as ThrottleEnded.
type ThrottleRun struct {
	Worker  order.Incarnation
	Address string
	Epoch   int64
	Order   order.Throttle
	Timeout time.Duration
}

// Advise calls the advice service through a box. Its result comes back as Advised.
type Advise struct {
	Box string
	// Address is the address of the box, or empty if it is this one.
	Address string
	Epoch   int64
	// Number distinguishes the calls of one holder.
	Number  int64
	Step    job.StepID
	Workers []string
	// Expected is the expected duration of the call.
	Expected time.Duration
	Timeout  time.Duration
}

// AskPledges asks other boxes to promise not to claim the cell for a while, and whether they reach the
// log. Its result comes back as Pledged.
type AskPledges struct {
	Epoch     int64
	Addresses []string
}

// Invite asks another box to claim the cell at once. Its result comes back as Invited.
type Invite struct {
	Epoch   int64
	Address string
}

// Reply answers a call.
type Reply struct {
	Call   CallID
	Answer Answer
}

// Outcome is the outcome of a call.
type Outcome string

// The outcomes. HasNoEffect reports which of them mean that the call changed nothing.
const (
	OK Outcome = "ok"
	// NoJob means that there is no such job.
	NoJob Outcome = "no such job"
	// HeldElsewhere means that this box does not hold the cell.
	HeldElsewhere Outcome = "held elsewhere"
	// Unavailable means that changes cannot be logged at present.
	Unavailable Outcome = "unavailable"
	// Denied means that the call has no key, or one that belongs to no workspace.
	Denied Outcome = "denied"
	// NoQueue means that there is no such queue.
	NoQueue Outcome = "no such queue"
	// OverLimit means that the job was refused because the workspace has submitted more than its
	// share, or because the job does not fit the workspace's cap.
	OverLimit Outcome = "beyond share or cap"
	// MaybeDone means that the call may have taken effect. It is safe to repeat the same call.
	MaybeDone Outcome = "unsure"
)

// HasNoEffect reports whether a call with this outcome certainly changed nothing.
func (o Outcome) HasNoEffect() bool {
	switch o {
	case HeldElsewhere, Unavailable, Denied, NoQueue, OverLimit:
		return true
	default:
		return false
	}
}

// Answer is the answer to a call.
type Answer struct {
	Outcome Outcome   `json:"outcome"`
	State   job.State `json:"state,omitempty"`
	Waiting int       `json:"waiting,omitempty"`
	// Explanation is set if the call asked for it.
	Explanation *job.Explanation `json:"explanation,omitempty"`
	// Holder is the newest claim known to the box, if it does not hold the cell itself.
	Holder *claim.Claim `json:"holder,omitempty"`
	// LogReachable is set if the box can reach the log.
	LogReachable bool `json:"steady,omitempty"`
	// Reason says why the call was not carried out.
	Reason string `json:"reason,omitempty"`
	// RetryAfter is how long the caller should wait before it tries again, if nothing was done.
	RetryAfter job.Milliseconds `json:"retry_after_ms,omitempty"`
}

// LogEvent writes a line to the log of the process.
type LogEvent struct {
	Message string
	Fields  []LogField
	// Warning is set if the line is about a failure that callers see.
	Warning bool
}

// LogField is one named value of a LogEvent.
type LogField struct {
	Name  string
	Value any
}

// Stopped reports that a planned stop is complete.
type Stopped struct{}

// Ending is how the incarnation of a worker ended, as far as the holder could observe it.
type Ending string

// The endings.
const (
	// Crashed means that the worker was not leaving and that its incarnation is known to have ended.
	Crashed Ending = "crashed"
	// Missing means that the worker was not leaving, has not answered for the duration of its lease and
	// is not listed any more, or listed as another incarnation. It may have crashed, or be out of reach
	// and go on.
	Missing Ending = "missing"
	// Left means that the worker was leaving, or that its entry was removed while it still
	// answered.
	Left Ending = "left"
	// CutOff means that the worker is listed, but has not answered for the duration of its lease.
	CutOff Ending = "cut off"
)

// TasksLost reports to the metrics that tasks were lost with their worker.
type TasksLost struct {
	Ending Ending
	Tasks  int
	// Worked is the sum of the times that they had run.
	Worked time.Duration
}

// MissingWorkerResolved reports to the metrics that a worker which had gone missing was found to have
// crashed, or to be alive.
type MissingWorkerResolved struct{ Crashed bool }

// JobGivenUp reports to the metrics that a job was given up because workers crashed while they ran a
// task of it.
type JobGivenUp struct{ Crashes int }

// EntryRefused reports to the metrics that an entry in the list of workers does not describe a worker.
type EntryRefused struct{}

// Evacuations reports to the metrics how many failure domains are evacuated, and how many requests
// were read that could not be decoded or that name a domain without workers.
type Evacuations struct{ InForce, Refused int }

// WorkspaceUsage reports to the metrics what the tasks of each workspace take.
type WorkspaceUsage struct{ All []job.WorkspaceStatus }

// JobOverShare reports to the metrics that a new job exceeded its workspace's share, and whether it
// was refused.
type JobOverShare struct{ Refused bool }

// ForecastChecked reports to the metrics by how much the forecast wait of a job exceeded the actual
// one.
type ForecastChecked struct {
	Queue string
	Error time.Duration
}

func (ForecastChecked) effect()       {}
func (WorkspaceUsage) effect()        {}
func (JobOverShare) effect()          {}
func (TasksLost) effect()             {}
func (MissingWorkerResolved) effect() {}
func (JobGivenUp) effect()            {}
func (EntryRefused) effect()          {}
func (Evacuations) effect()           {}
func (Append) effect()                {}
func (LoadJobs) effect()              {}
func (FollowWorkers) effect()         {}
func (Renew) effect()                 {}
func (StartRun) effect()              {}
func (StopRun) effect()               {}
func (ThrottleRun) effect()           {}
func (Advise) effect()                {}
func (AskPledges) effect()            {}
func (Invite) effect()                {}
func (Reply) effect()                 {}
func (LogEvent) effect()              {}
func (Stopped) effect()               {}
