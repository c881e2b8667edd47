// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package mechanism names the parts of the policy that can be switched off.
package mechanism

import (
	"fmt"
	"slices"
)

// Mechanism is a part of the policy that can be switched off, so that what it is
// worth can be measured.
type Mechanism string

// The mechanisms.
const (
	// LearnedTimes expects steps to take what their like took, not what was estimated.
	LearnedTimes Mechanism = "learned-times"
	// SlowWorkers leaves slow workers to tasks in no hurry.
	SlowWorkers Mechanism = "slow-workers"
	// Draining keeps workers free for tasks that need much of one.
	Draining Mechanism = "draining"
	// Preemption stops tasks for steps that rank higher.
	Preemption Mechanism = "preemption"
	// SparedTasks leaves tasks alone that end soon or have just resumed.
	SparedTasks Mechanism = "spared-tasks"
	// RemainingWork judges whether a running step is late by the rest of its work.
	RemainingWork Mechanism = "remaining-work"
	// EarlyAdvice asks for advice while the log takes a job in.
	EarlyAdvice Mechanism = "early-advice"
	// DividedAdvice divides calls for advice evenly between queues.
	DividedAdvice Mechanism = "divided-advice"
	// RepeatedStarts sends a start again that has no answer.
	RepeatedStarts Mechanism = "repeated-starts"
	// OverdueAnswers gives no starts to a worker that owes answers.
	OverdueAnswers Mechanism = "owed-answers"
	// ShortRenewals has looks wait no longer than the shortest task allows.
	ShortRenewals Mechanism = "short-looks"
	// MovedRuns moves runs that stand still.
	MovedRuns Mechanism = "moved-runs"
	// Exclusion leaves workers out on which different jobs fail.
	Exclusion Mechanism = "exclusion"
	// RefusedShares refuses jobs that are more than their workspace's share while there is
	// little room.
	RefusedShares Mechanism = "refused-shares"
	// SharedOrder places jobs that are more than their workspace's share after all others.
	SharedOrder Mechanism = "shared-order"
	// LeastWork places the steps with the least work left first while there is a backlog.
	LeastWork Mechanism = "least-work"
)

// All lists all.
func All() []Mechanism {
	return []Mechanism{
		LearnedTimes, SlowWorkers, Draining, Preemption, SparedTasks, RemainingWork, EarlyAdvice,
		DividedAdvice, RepeatedStarts, OverdueAnswers, ShortRenewals, MovedRuns, Exclusion,
		RefusedShares, SharedOrder, LeastWork,
	}
}

// Parse returns the set of mechanisms with some names.
func Parse(names []string) (map[Mechanism]bool, error) {
	set := map[Mechanism]bool{}
	for _, name := range names {
		m := Mechanism(name)
		if !slices.Contains(All(), m) {
			return nil, fmt.Errorf("there is no mechanism %q; there are %v", name, All())
		}
		set[m] = true
	}
	return set, nil
}
