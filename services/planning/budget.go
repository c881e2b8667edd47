// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package planning bounds what the plans of a holder may take of its processor, by how
// long they took. What waits while a plan is made is events: looks and ends are what
// keeps leases and frees room. On a box of 0.19 processors with a backlog on 1,100
// workers a plan took up to 0.5 s, one after the other, and leases lapsed meanwhile.
package planning

import "time"

const (
	// pauseFactor is how many times as long as a plan took the next one waits at least, so that
	// plans take a fifth of the time at most.
	pauseFactor = 4
	// targetDuration is how long a plan should take at most: the age that it adds to what it
	// decides on next.
	targetDuration = 20 * time.Millisecond
	// maxMissLimit ends a plan: where so many steps that rank higher have found no room, a
	// search through thousands of others costs more than it finds. minMissLimit is the
	// least that it falls to.
	maxMissLimit = 300
	minMissLimit = 20
	// fullPlanInterval is how often a plan goes through all steps nevertheless, so that many jobs
	// that can never run hold nobody up, and reducedFullPlanInterval how often while plans take long.
	fullPlanInterval        = 8
	reducedFullPlanInterval = 40
	// growthFactor is by how much the bound on misses grows with each plan that was short.
	growthFactor = 1.25
	// outlierFactor is how many times as long as the one before a plan counts at most.
	outlierFactor = 2
)

// OutlierFilter tells how much of the time for which plans took was their own. A process that is
// paused, or waits for a processor, does so in the middle of a plan as well as elsewhere: with
// a pause of 1 s counted whole, nothing was placed for another 4 s while all workers stood
// idle. A plan that takes long because there is much to plan is followed by others that do:
// on a box where each takes 0.5 s, the fifth counts whole. The zero value has seen none.
type OutlierFilter struct{ last time.Duration }

// Clamp takes how long a plan took, and returns how much of it counts.
func (m *OutlierFilter) Clamp(took time.Duration) time.Duration {
	m.last = min(took, outlierFactor*max(m.last, targetDuration))
	return m.last
}

// Budget is what the next plan may take.
type Budget struct{ missLimit float64 }

// New returns the budget of a process whose plans are short as far as it knows.
func New() Budget { return Budget{missLimit: maxMissLimit} }

// MissLimit returns after how many steps without room a plan ends.
func (b *Budget) MissLimit() int { return int(b.missLimit) }

// IsFullPlan says whether a plan, by its number, goes through all steps.
func (b *Budget) IsFullPlan(plan int) bool {
	if b.missLimit < maxMissLimit {
		return plan%reducedFullPlanInterval == 0
	}
	return plan%fullPlanInterval == 0
}

// RecordDuration takes how long a plan took, and returns how long the next one has to wait.
func (b *Budget) RecordDuration(took time.Duration) time.Duration {
	if took > targetDuration {
		b.missLimit *= max(0.5, float64(targetDuration)/float64(took))
	} else {
		b.missLimit *= growthFactor
	}
	b.missLimit = min(maxMissLimit, max(minMissLimit, b.missLimit))
	return pauseFactor * took
}
