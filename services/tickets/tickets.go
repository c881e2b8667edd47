// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package tickets knows what the advice service has told of the workers that may run one step,
// and the tickets that it gave. Both hold for a life of a worker.
package tickets

import (
	"slices"
	"time"
)

// StartMargin is taken off a ticket's time for the start's way.
const StartMargin = 120 * time.Millisecond

// Eligibility is what is known for one step. The zero value knows nothing.
type Eligibility[W comparable] struct {
	// suits says of each worker asked about whether it may run the step.
	eligible map[W]bool
	// good has those that may, in order.
	eligibleWorkers []W
	// waiting counts the calls under way that name a worker.
	pending map[W]int
	// tickets has the last ticket for each worker, which may have run out.
	tickets map[W]ticket
}

// ticket is the leave to run a step on one worker.
type ticket struct {
	text string
	// until is when it is too late for a start with it.
	until time.Time
}

// KnownWorkers says whether any answer has come, and about how many workers.
func (b *Eligibility[W]) KnownWorkers() (workers int, any bool) {
	return len(b.eligible), b.eligible != nil
}

// EligibleWorkers returns the workers that may run the step, in order.
func (b *Eligibility[W]) EligibleWorkers() []W { return b.eligibleWorkers }

// IsEligible says whether a worker may run the step, if that is known.
func (b *Eligibility[W]) IsEligible(w W) (may, known bool) {
	may, known = b.eligible[w]
	return may, known
}

// IsKnownOrPending says whether a worker was asked about, or is being asked about.
func (b *Eligibility[W]) IsKnownOrPending(w W) bool {
	_, known := b.eligible[w]
	return known || b.IsPending(w)
}

// IsPending says whether an answer about a worker is under way.
func (b *Eligibility[W]) IsPending(w W) bool { return b.pending[w] > 0 }

// BeginCall notes a call that names some workers.
func (b *Eligibility[W]) BeginCall(workers []W) {
	if b.pending == nil {
		b.pending = map[W]int{}
	}
	for _, w := range workers {
		b.pending[w]++
	}
}

// EndCall notes that the answer to a call that names some workers is not waited for any more.
func (b *Eligibility[W]) EndCall(workers []W) {
	for _, w := range workers {
		if b.pending[w]--; b.pending[w] <= 0 {
			delete(b.pending, w)
		}
	}
}

// EndAllCalls notes that no answer is waited for any more.
func (b *Eligibility[W]) EndAllCalls() { b.pending = nil }

// RecordAnswer notes that an answer has come, whatever it tells.
func (b *Eligibility[W]) RecordAnswer() {
	if b.eligible == nil {
		b.eligible, b.tickets = map[W]bool{}, map[W]ticket{}
	}
}

// SetEligible notes, of an answer, whether a worker may run the step. Compare orders workers: one that
// is equal to another takes its place, as a later life of it.
func (b *Eligibility[W]) SetEligible(w W, may bool, compare func(a, b W) int) {
	i, listed := slices.BinarySearchFunc(b.eligibleWorkers, w, compare)
	b.eligible[w] = may
	switch {
	case may && listed:
		b.eligibleWorkers[i] = w
	case may:
		b.eligibleWorkers = slices.Insert(b.eligibleWorkers, i, w)
	case listed:
		b.eligibleWorkers = slices.Delete(b.eligibleWorkers, i, i+1)
	}
}

// SetTicket notes a ticket for a worker that holds until some time.
func (b *Eligibility[W]) SetTicket(w W, text string, until time.Time) {
	b.tickets[w] = ticket{text: text, until: until.Add(-StartMargin)}
}

// DropTicket forgets a ticket that a worker refused.
func (b *Eligibility[W]) DropTicket(w W) { delete(b.tickets, w) }

// TicketFor returns the ticket for a worker that a start now could still use.
func (b *Eligibility[W]) TicketFor(now time.Time, w W) (string, bool) {
	t, ok := b.tickets[w]
	return t.text, ok && now.Before(t.until)
}
