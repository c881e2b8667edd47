// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ranking orders the steps that wait for workers, by one of two rules. While nearly all
// jobs can be done in time, the step with the earliest deadline goes first. In a backlog that order
// serves the steps that are about to miss their deadlines, and each finishes slightly late. There
// the step with the least remaining work goes first, so that most jobs are in time (shortest
// remaining processing time, Schrage 1968).
package ranking

import (
	"cmp"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/modules/ordered"
)

// Tier classifies steps by what their results are still worth. It takes precedence over all other
// criteria except Rank.AdviceExpiring.
type Tier int

// The tiers, in order: steps on time go before late ones, and both before hopeless ones.
const (
	// OnTime means that the job can still be done within its objective.
	OnTime Tier = iota
	// Late means that it cannot, but its result is still of use to the caller.
	Late
	// Hopeless means that its result will no longer be of use.
	Hopeless
)

const (
	// MaxLateFactor is how many times its objective a job may take and still be of use to its
	// caller, as the users have defined.
	MaxLateFactor = 3
	// overdueAfter is how long the steps of a job rank as Hopeless, counted from MaxLateFactor times
	// its objective after it fell due. After that they rank as Late, so that every accepted job is
	// done eventually.
	overdueAfter = 12 * time.Second
)

// Times holds the times of a step: when its job fell due, the objective within which the job is to
// be done after that, and when the job would finish if the step started now.
type Times struct {
	DueAt     time.Time
	Objective time.Duration
	Finish    time.Time
}

// Deadline returns the time by which the job is to be done.
func (t Times) Deadline() time.Time { return t.DueAt.Add(t.Objective) }

// IsOverdue reports whether the result of the job has been of no use for overdueAfter. Its steps
// then go before other late ones, which bounds how long a step can be delayed by others.
func (t Times) IsOverdue(now time.Time) bool {
	return now.Sub(t.DueAt) > MaxLateFactor*t.Objective+overdueAfter
}

// Tier returns the tier of a step.
func (t Times) Tier(now time.Time) Tier {
	switch {
	case !t.Finish.After(t.Deadline()):
		return OnTime
	case !t.Finish.After(t.DueAt.Add(MaxLateFactor * t.Objective)):
		return Late
	case t.IsOverdue(now):
		// Every accepted job has to be done eventually.
		return Late
	default:
		return Hopeless
	}
}

// Rank holds the criteria by which a step is ordered.
type Rank struct {
	// AdviceExpiring is set if advice obtained for the step is valid only for the current plan.
	AdviceExpiring bool
	Tier           Tier
	// OverShare is set in a backlog if the workspace of the job takes more of the workers than its
	// share.
	OverShare bool
	// Priority is that of the queue: 0 goes first, then higher values.
	Priority int
	Deadline time.Time
	// Work is the dominant share of all workers that the waiting tasks take, times how long they
	// take it, in seconds. It is 0 for an overdue step.
	Work float64
	Step job.StepID
}

// Compare orders steps for a plan; the result is negative if r goes before other. Hopeless steps
// are ordered by deadline in a backlog as well, since finishing one of them sooner gains nothing:
// with the least work first, a job waited 10.3 s for free capacity in a full cell of 6 workers. The
// names come last, so that the order is always the same.
func (r Rank) Compare(other Rank, backlog bool) int {
	byWork := 0
	if backlog && r.Tier != Hopeless {
		byWork = cmp.Compare(r.Work, other.Work)
	}
	return cmp.Or(
		ordered.TrueFirst(r.AdviceExpiring, other.AdviceExpiring),
		cmp.Compare(r.Tier, other.Tier),
		ordered.TrueFirst(other.OverShare, r.OverShare),
		cmp.Compare(r.Priority, other.Priority),
		byWork,
		r.Deadline.Compare(other.Deadline),
		cmp.Compare(r.Step.Job, other.Step.Job),
		cmp.Compare(r.Step.Instance, other.Step.Instance),
		cmp.Compare(r.Step.Step, other.Step.Step),
	)
}

// backlogShare is the dominant share of the workers' capacity above which the waiting tasks are a
// backlog. Under overload the rule lets more jobs be on time; at the usual load few tasks wait, and it
// should not apply.
const backlogShare = 0.3

// IsBacklog reports whether more tasks wait than can start soon, given the resources that the
// waiting tasks need and those of all workers.
func IsBacklog(waiting, all resource.Vector) bool {
	return waiting.DominantShare(all) > backlogShare
}

// CriticalPathAfter returns, for each step, the longest chain of work that follows it. duration
// returns how long a step takes, and dependencies the indices of the earlier steps that it depends
// on.
func CriticalPathAfter[S any](steps []S, duration func(S) time.Duration, dependencies func(S) []int) []time.Duration {
	after := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		work := after[i] + duration(steps[i])
		for _, earlier := range dependencies(steps[i]) {
			after[earlier] = max(after[earlier], work)
		}
	}
	return after
}
