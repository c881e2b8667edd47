// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package planning bounds what the plans of a holder may take of its processor, by how
// long they took. What waits while a plan is made is events: looks and ends are what
// keeps leases and frees room. On a box of 0.19 processors with a backlog on 1,100
// workers a plan took up to 0.5 s, one after the other, and leases lapsed meanwhile.
package planning

import "time"

const (
	// rest is how many times as long as a plan took the next one waits at least, so that
	// plans take a fifth of the time at most.
	rest = 4
	// longest is how long a plan should take at most: the age that it adds to what it
	// decides on next.
	longest = 20 * time.Millisecond
	// mostMisses ends a plan: where so many steps that rank higher have found no room, a
	// search through thousands of others costs more than it finds. leastMisses is the
	// least that it falls to.
	mostMisses  = 300
	leastMisses = 20
	// whole is how often a plan goes through all steps nevertheless, so that many jobs
	// that can never run hold nobody up, and wholeLate how often while plans take long.
	whole     = 8
	wholeLate = 40
	// grows is by how much the bound on misses grows with each plan that was short.
	grows = 1.25
	// outlier is how many times as long as the one before a plan counts at most.
	outlier = 2
)

// Meter tells how much of the time for which plans took was their own. A process that is
// paused, or waits for a processor, does so in the middle of a plan as well as elsewhere: with
// a pause of 1 s counted whole, nothing was placed for another 4 s while all workers stood
// idle. A plan that takes long because there is much to plan is followed by others that do:
// on a box where each takes 0.5 s, the fifth counts whole. The zero value has seen none.
type Meter struct{ last time.Duration }

// Counts takes how long a plan took, and returns how much of it counts.
func (m *Meter) Counts(took time.Duration) time.Duration {
	m.last = min(took, outlier*max(m.last, longest))
	return m.last
}

// Budget is what the next plan may take.
type Budget struct{ misses float64 }

// New returns the budget of a process whose plans are short as far as it knows.
func New() Budget { return Budget{misses: mostMisses} }

// Misses returns after how many steps without room a plan ends.
func (b *Budget) Misses() int { return int(b.misses) }

// Whole says whether a plan, by its number, goes through all steps.
func (b *Budget) Whole(plan int) bool {
	if b.misses < mostMisses {
		return plan%wholeLate == 0
	}
	return plan%whole == 0
}

// Took takes how long a plan took, and returns how long the next one has to wait.
func (b *Budget) Took(took time.Duration) time.Duration {
	if took > longest {
		b.misses *= max(0.5, float64(longest)/float64(took))
	} else {
		b.misses *= grows
	}
	b.misses = min(mostMisses, max(leastMisses, b.misses))
	return rest * took
}
