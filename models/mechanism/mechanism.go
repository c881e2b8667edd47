// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package mechanism lists the parts of the scheduling policy that can be disabled.
package mechanism

import (
	"fmt"
	"slices"
)

// Mechanism is a part of the scheduling policy that can be disabled to measure its effect.
type Mechanism string

// The mechanisms.
const (
	// LearnedTimes predicts run times from earlier runs of similar steps instead of the
	// submitter's estimate.
	LearnedTimes Mechanism = "learned-times"
	// SlowWorkers places steps by the estimated speeds of the workers, on faster ones first.
	SlowWorkers Mechanism = "slow-workers"
	// Draining keeps workers free for tasks that need a large part of a worker.
	Draining Mechanism = "draining"
	// Preemption stops tasks in favor of steps that rank higher.
	Preemption Mechanism = "preemption"
	// SparedTasks exempts tasks that end soon or have just resumed from preemption.
	SparedTasks Mechanism = "spared-tasks"
	// RemainingWork decides whether a running step is late by its remaining work.
	RemainingWork Mechanism = "remaining-work"
	// EarlyAdvice calls the advice service while a job is still being logged.
	EarlyAdvice Mechanism = "early-advice"
	// DividedAdvice divides calls to the advice service evenly between queues.
	DividedAdvice Mechanism = "divided-advice"
	// RepeatedStarts resends start orders that are not answered.
	RepeatedStarts Mechanism = "repeated-starts"
	// OverdueStarts sends no starts to a worker whose answers to earlier starts are overdue.
	OverdueStarts Mechanism = "owed-answers"
	// ShortRenewals limits how long a worker may delay its answer to a renewal, depending on its
	// shortest task.
	ShortRenewals Mechanism = "short-looks"
	// MovedRuns moves stalled runs to other workers.
	MovedRuns Mechanism = "moved-runs"
	// Exclusion excludes workers on which different jobs fail.
	Exclusion Mechanism = "exclusion"
	// RefusedShares refuses jobs that exceed their workspace's share while there is little free
	// capacity.
	RefusedShares Mechanism = "refused-shares"
	// SharedOrder places the steps of workspaces that take more of the workers than their share after
	// others of the same tier in a backlog.
	SharedOrder Mechanism = "shared-order"
	// LeastWork places the steps with the least remaining work first while there is a backlog.
	LeastWork Mechanism = "least-work"
)

// All returns all mechanisms.
func All() []Mechanism {
	return []Mechanism{
		LearnedTimes, SlowWorkers, Draining, Preemption, SparedTasks, RemainingWork, EarlyAdvice,
		DividedAdvice, RepeatedStarts, OverdueStarts, ShortRenewals, MovedRuns, Exclusion,
		RefusedShares, SharedOrder, LeastWork,
	}
}

// Parse returns the set of the mechanisms with the given names, or an error if a name is unknown.
func Parse(names []string) (map[Mechanism]bool, error) {
	set := map[Mechanism]bool{}
	for _, name := range names {
		m := Mechanism(name)
		if !slices.Contains(All(), m) {
			return nil, fmt.Errorf("unknown mechanism %q, want one of %v", name, All())
		}
		set[m] = true
	}
	return set, nil
}
