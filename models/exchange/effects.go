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

// Effect is something that the reducer asks for.
type Effect interface{ effect() }

// Purpose says what an append is for.
type Purpose string

// The purposes of appends.
const (
	ForClaim    Purpose = "claim"
	ForJournal  Purpose = "journal"
	ForAnnounce Purpose = "announce"
)

// Append appends to the log. Its end comes back as AppendEnded.
type Append struct {
	Purpose Purpose
	// Number tells appends of one purpose apart.
	Number int64
	Append stream.Append
}

// LoadJobs reads the stream of jobs whole. Its end comes back as JobsLoaded.
type LoadJobs struct{ Epoch int64 }

// FollowWorkers starts or ends the following of the list of workers.
type FollowWorkers struct{ On bool }

// Renew renews a worker's lease and asks what it runs. Its end comes back as
// RenewEnded.
type Renew struct {
	Worker  order.Incarnation
	Address string
	Epoch   int64
	// Look numbers the renewals of a holder in the order in which it asked for
	// them. What a worker tells holds for a time after that.
	Renewal int64
	Order   order.Renew
	// Timeout is after which time the answer is overdue, Late how much longer it counts.
	// RenewEnded comes then, and once more if the answer still comes.
	Timeout, GracePeriod time.Duration
}

// StartRun starts a task. Its end comes back as StartEnded.
type StartRun struct {
	Worker  order.Incarnation
	Address string
	Epoch   int64
	Order   order.Start
	// Timeout is how long the answer is waited for.
	Timeout time.Duration
}

// StopRun ends a run. Its end comes back as StopEnded.
type StopRun struct {
	Worker  order.Incarnation
	Address string
	Epoch   int64
	Order   order.Stop
	Timeout time.Duration
}

// ThrottleRun sets the pace of a run. Its end comes back as ThrottleEnded.
type ThrottleRun struct {
	Worker  order.Incarnation
	Address string
	Epoch   int64
	Order   order.Throttle
	Timeout time.Duration
}

// Advise asks the advice service from a box. Its end comes back as Advised.
type Advise struct {
	Box string
	// Address is that of the box, or empty for this one.
	Address string
	Epoch   int64
	// Number tells the calls of one holder apart.
	Number  int64
	Step    job.StepID
	Workers []string
	// Expected is how long the answer should take.
	Expected time.Duration
	Timeout  time.Duration
}

// AskPledges asks all other boxes not to claim. Its end comes back as Pledged.
type AskPledges struct {
	Epoch     int64
	Addresses []string
}

// Invite asks another box to claim the cell at once. Its end comes back as
// Invited.
type Invite struct {
	Epoch   int64
	Address string
}

// Reply answers a call.
type Reply struct {
	Call   CallID
	Answer Answer
}

// Outcome of a call.
type Outcome string

// The outcomes. Unsure says that it may have been done; see HasNoEffect.
const (
	OK Outcome = "ok"
	// NoJob means that there is no such job.
	NoJob Outcome = "no such job"
	// HeldElsewhere means that this box does not hold the cell.
	HeldElsewhere Outcome = "held elsewhere"
	// Unavailable means that nothing can be kept at present.
	Unavailable Outcome = "unavailable"
	// Denied means that the caller's key is of no workspace, or that there is none.
	Denied Outcome = "denied"
	// NoQueue means that there is no such queue.
	NoQueue Outcome = "no such queue"
	// OverLimit means that the workspace has sent more than its share, or more than its cap can
	// hold: nothing was done.
	OverLimit Outcome = "beyond share or cap"
	// MaybeDone means that it may have been done; the same call may be made again.
	MaybeDone Outcome = "unsure"
)

// HasNoEffect says whether the outcome tells that nothing was done.
func (o Outcome) HasNoEffect() bool {
	switch o {
	case HeldElsewhere, Unavailable, Denied, NoQueue, OverLimit:
		return true
	default:
		return false
	}
}

// Answer is what a caller is told.
type Answer struct {
	Outcome Outcome   `json:"outcome"`
	State   job.State `json:"state,omitempty"`
	Waiting int       `json:"waiting,omitempty"`
	// Explanation is set if it was asked for.
	Explanation *job.Explanation `json:"explanation,omitempty"`
	// Holder is the claim in force as far as the box knows, if it does not hold the
	// cell itself.
	Holder *claim.Claim `json:"holder,omitempty"`
	// Steady says that the log answers the box.
	LogReachable bool `json:"steady,omitempty"`
	// Reason says why it was not done.
	Reason string `json:"reason,omitempty"`
	// RetryAfter is when to come back, if nothing was done.
	RetryAfter job.Milliseconds `json:"retry_after_ms,omitempty"`
}

// LogEvent is a line for the log of the process.
type LogEvent struct {
	Message string
	Fields  []LogField
}

// LogField is one named value of a Note.
type LogField struct {
	Name  string
	Value any
}

// Stopped says that a planned stop is complete.
type Stopped struct{}

// Ending is how the life of a worker ended, as far as the holder saw it.
type Ending string

// The endings.
const (
	// Crashed: it was listed, was not leaving, and is gone.
	Crashed Ending = "crashed"
	// Left: it was leaving, or its entry went while it answered.
	Left Ending = "left"
	// CutOff: it is listed, but has not answered for as long as its lease lasts.
	CutOff Ending = "cut off"
)

// TasksLost says that tasks were lost with their worker. It is told for the metrics.
type TasksLost struct {
	Ending Ending
	Tasks  int
	// Worked is how long they had been at work together.
	Worked time.Duration
}

// JobGivenUp says that a job was given up because workers crashed under a task of it. It is
// told for the metrics.
type JobGivenUp struct{ Crashes int }

// EntryRefused says that an entry of the list of workers names none. It is told for the
// metrics.
type EntryRefused struct{}

// WorkspaceUsage says what the tasks of each workspace take. It is told for the metrics.
type WorkspaceUsage struct{ All []job.WorkspaceStatus }

// JobOverShare says that a new job was refused, or taken, that was more than its
// workspace's share. It is told for the metrics.
type JobOverShare struct{ Refused bool }

func (WorkspaceUsage) effect() {}
func (JobOverShare) effect()   {}
func (TasksLost) effect()      {}
func (JobGivenUp) effect()     {}
func (EntryRefused) effect()   {}
func (Append) effect()         {}
func (LoadJobs) effect()       {}
func (FollowWorkers) effect()  {}
func (Renew) effect()          {}
func (StartRun) effect()       {}
func (StopRun) effect()        {}
func (ThrottleRun) effect()    {}
func (Advise) effect()         {}
func (AskPledges) effect()     {}
func (Invite) effect()         {}
func (Reply) effect()          {}
func (LogEvent) effect()       {}
func (Stopped) effect()        {}
