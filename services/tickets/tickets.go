// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package tickets stores the answers of the advice service: which workers may run a step, and
// the tickets for starting the step there. Both are valid for one incarnation of a worker.
package tickets

import (
	"iter"
	"slices"
	"time"
)

// StartMargin is how long before the end of a ticket's validity a start with it must be sent, so
// that the start reaches the worker in time.
const StartMargin = 120 * time.Millisecond

// Eligibility holds the answers for one step. W stands for one incarnation of a worker. The zero
// value holds no answer.
type Eligibility[W comparable] struct {
	// eligible says whether a worker may run the step, for each worker of which that is
	// known. It is nil until the first answer.
	eligible map[W]bool
	// eligibleWorkers are the workers that may run the step, sorted.
	eligibleWorkers []W
	// pending is the number of calls in progress that name a worker.
	pending map[W]int
	// tickets holds the last ticket for each worker, which may have expired.
	tickets map[W]ticket
	// changes counts the changes of eligible and pending.
	changes int
	// lastCheck is the last result of HasAskedAll.
	lastCheck askedCheck
}

// askedCheck is a result of HasAskedAll, for a list and the number of changes before.
type askedCheck struct {
	list    ListID
	changes int
	result  bool
}

// ListID identifies a list of workers: lists with the same ID are equal. The zero value identifies no
// list.
type ListID struct {
	Key any
	// Version is above 0 and changes with the lists.
	Version int
}

// ticket is the permission to run a step on one worker.
type ticket struct {
	text string
	// until is the time from which it is too late to send a start with the ticket.
	until time.Time
}

// KnownWorkers returns the number of workers of which it is known whether they may run the step,
// and whether any answer was received.
func (e *Eligibility[W]) KnownWorkers() (count int, answered bool) {
	return len(e.eligible), e.eligible != nil
}

// EligibleWorkers returns the workers that may run the step, sorted. The caller must not change
// the slice.
func (e *Eligibility[W]) EligibleWorkers() []W { return e.eligibleWorkers }

// IsEligible reports whether a worker may run the step, and whether that is known.
func (e *Eligibility[W]) IsEligible(w W) (eligible, known bool) {
	eligible, known = e.eligible[w]
	return eligible, known
}

// IsKnownOrPending reports whether it is known if a worker may run the step, or an answer about
// it is pending.
func (e *Eligibility[W]) IsKnownOrPending(w W) bool {
	_, known := e.eligible[w]
	return known || e.IsPending(w)
}

// HasAskedAll reports whether it is known for each worker of a list if it may run the step, or an answer
// about it is pending. The list is read only if it or what is known has changed since the last call.
func (e *Eligibility[W]) HasAskedAll(id ListID, list iter.Seq[W]) bool {
	if c := e.lastCheck; id.Version == 0 || c.list != id || c.changes != e.changes {
		e.lastCheck = askedCheck{list: id, changes: e.changes, result: true}
		for w := range list {
			if !e.IsKnownOrPending(w) {
				e.lastCheck.result = false
				break
			}
		}
	}
	return e.lastCheck.result
}

// IsPending reports whether a call in progress names a worker.
func (e *Eligibility[W]) IsPending(w W) bool { return e.pending[w] > 0 }

// BeginCall records a call that names the given workers.
func (e *Eligibility[W]) BeginCall(workers []W) {
	if e.pending == nil {
		e.pending = map[W]int{}
	}
	e.changes++
	for _, w := range workers {
		e.pending[w]++
	}
}

// EndCall records that the answer to a call that names the given workers is no longer awaited.
func (e *Eligibility[W]) EndCall(workers []W) {
	e.changes++
	for _, w := range workers {
		if e.pending[w]--; e.pending[w] <= 0 {
			delete(e.pending, w)
		}
	}
}

// EndAllCalls records that no answers are awaited any longer.
func (e *Eligibility[W]) EndAllCalls() {
	e.changes++
	e.pending = nil
}

// RecordAnswer records that an answer was received, whatever its content. It must be called
// before SetEligible and SetTicket.
func (e *Eligibility[W]) RecordAnswer() {
	if e.eligible == nil {
		e.eligible, e.tickets = map[W]bool{}, map[W]ticket{}
	}
}

// SetEligible records whether a worker may run the step according to an answer. The function
// compare orders workers. Workers that compare equal are incarnations of the same worker, and w
// replaces an earlier one among the eligible workers.
func (e *Eligibility[W]) SetEligible(w W, eligible bool, compare func(a, b W) int) {
	i, listed := slices.BinarySearchFunc(e.eligibleWorkers, w, compare)
	e.eligible[w] = eligible
	e.changes++
	switch {
	case eligible && listed:
		e.eligibleWorkers[i] = w
	case eligible:
		e.eligibleWorkers = slices.Insert(e.eligibleWorkers, i, w)
	case listed:
		e.eligibleWorkers = slices.Delete(e.eligibleWorkers, i, i+1)
	}
}

// SetTicket stores the ticket for a worker, which is valid until the given time.
func (e *Eligibility[W]) SetTicket(w W, text string, until time.Time) {
	e.tickets[w] = ticket{text: text, until: until.Add(-StartMargin)}
}

// DropTicket deletes the ticket for a worker, for instance because the worker refused it.
func (e *Eligibility[W]) DropTicket(w W) { delete(e.tickets, w) }

// TicketFor returns the ticket for a worker, and whether a start that is sent now can still use
// it.
func (e *Eligibility[W]) TicketFor(now time.Time, w W) (string, bool) {
	t, ok := e.tickets[w]
	return t.text, ok && now.Before(t.until)
}
