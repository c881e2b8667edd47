// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package planbudget limits the processor time of a holder's plans according to the duration of
// earlier plans. A plan is one pass over the waiting steps that looks for free capacity for them.
// No event is handled during a plan, and events such as lease renewals and ends of runs keep leases
// valid and free capacity. On a box of 0.19 processors with a backlog and 1,100 workers, plans took
// up to 0.5 s each without a pause between them, and leases expired meanwhile.
package planbudget

import "time"

const (
	// pauseFactor is the minimum ratio of the pause after a plan to the duration of that plan.
	// It limits plans to a fifth of the time.
	pauseFactor = 4
	// targetDuration is the longest duration that a plan should have. It delays the events
	// that are queued during the plan by as much.
	targetDuration = 20 * time.Millisecond
	// maxMissLimit is the upper bound of the miss limit, the number of steps that do not fit on the
	// workers after which a plan ends. If that many higher-ranked steps do not fit, a search
	// through thousands of further steps costs more than it gains. minMissLimit is the lower
	// bound.
	maxMissLimit = 300
	minMissLimit = 20
	// Every fullPlanInterval-th plan tries all steps regardless of the miss limit, so that a
	// large number of jobs that can never run does not block the others. While the miss limit
	// is reduced because plans take long, it is every reducedFullPlanInterval-th plan.
	fullPlanInterval        = 8
	reducedFullPlanInterval = 40
	// growthFactor multiplies the miss limit after each plan within targetDuration.
	growthFactor = 1.25
	// outlierFactor is the maximum ratio of a plan's counted duration to that of the plan
	// before it.
	outlierFactor = 2
)

// OutlierFilter limits how much the counted duration of plans can grow from one plan to the
// next. The process may be paused or wait for a processor during a plan. When a pause of 1 s was
// counted in full, nothing was placed for another 4 s while all workers were idle. Plans that take
// long because there is much to plan are followed by others that do: if each plan takes 0.5 s,
// the fifth is counted in full. The zero value is ready to use.
type OutlierFilter struct{ last time.Duration }

// Clamp returns the part of a plan's duration that counts: at most outlierFactor times the
// counted duration of the plan before it, or of targetDuration if that is longer.
func (f *OutlierFilter) Clamp(took time.Duration) time.Duration {
	f.last = min(took, outlierFactor*max(f.last, targetDuration))
	return f.last
}

// Budget limits the next plan. It must be created with New.
type Budget struct{ missLimit float64 }

// New returns a budget with the maximum miss limit.
func New() Budget { return Budget{missLimit: maxMissLimit} }

// MissLimit returns the number of steps that do not fit on the workers after which a plan ends.
func (b *Budget) MissLimit() int { return int(b.missLimit) }

// IsFullPlan reports whether the plan with the given number tries all steps regardless of the
// miss limit.
func (b *Budget) IsFullPlan(plan int) bool {
	if b.missLimit < maxMissLimit {
		return plan%reducedFullPlanInterval == 0
	}
	return plan%fullPlanInterval == 0
}

// RecordDuration adjusts the miss limit to the duration of a plan, and returns the minimum
// pause before the next plan. The miss limit is at most halved by one plan, because the plan may
// have been delayed.
func (b *Budget) RecordDuration(took time.Duration) time.Duration {
	if took > targetDuration {
		b.missLimit *= max(0.5, float64(targetDuration)/float64(took))
	} else {
		b.missLimit *= growthFactor
	}
	b.missLimit = min(maxMissLimit, max(minMissLimit, b.missLimit))
	return pauseFactor * took
}
