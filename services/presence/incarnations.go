// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package presence

import (
	"slices"

	"saddlevane/models/order"
)

// maxPastIncarnations bounds the ended incarnations that are kept of a worker. They are needed
// because the worker list may be read late, or again.
const maxPastIncarnations = 16

// Incarnations determines which of the incarnations that a worker has had under its name is the
// current one. The answers of the worker decide: an incarnation that answers a call began after all
// incarnations that were known when the call was made. A list entry of another incarnation may be
// older or newer than the known one. It only makes that incarnation a candidate, so the worker is
// called, and nothing is started on it until it has answered.
//
// Calls are numbered by the caller in the order in which they are made.
type Incarnations struct {
	// candidate is the entry of another incarnation that has not been confirmed or refuted by an
	// answer, or nil. candidateReadAfter is the number of the last call made before it was read.
	candidate          *order.Worker
	candidateReadAfter int64
	// past holds incarnations that have ended, the latest last.
	past []order.Incarnation
	// fenceOffset is what the fence number of the worker is above the first one of the claim.
	fenceOffset int64
}

// HasCandidate reports whether an entry of another incarnation was read that no answer has
// confirmed or refuted yet.
func (l *Incarnations) HasCandidate() bool { return l.candidate != nil }

// fencesPerClaim bounds how often the fence number of a worker is raised under one claim, so that
// the numbers of a later claim are higher.
const fencesPerClaim = 1_000_000

// fenceReserve is how many fence numbers of a claim are kept for the orders that are sent until the
// claim ends.
const fenceReserve = 1000

// Fence returns the fence number of orders to the worker under a claim. Once a worker has received
// a higher number, it refuses orders with a lower one, such as those still in transit to an earlier
// incarnation.
func (l *Incarnations) Fence(claim int64) int64 { return claim*fencesPerClaim + l.fenceOffset }

// ClaimOfFence returns the claim under which an order with a fence number was decided.
func ClaimOfFence(fence int64) int64 { return fence / fencesPerClaim }

// RaiseFence makes the fence number of later orders higher than that of an earlier order. Once the
// worker, or a later incarnation of it, has received one of them, it refuses the earlier order. The
// number stays as it is if it was raised after that order was sent.
func (l *Incarnations) RaiseFence(above int64) { l.raiseOffset(above%fencesPerClaim + 1) }

// raiseOffset raises the offset of the fence number to at least the given one, but never to the
// numbers of the next claim.
func (l *Incarnations) raiseOffset(offset int64) {
	l.fenceOffset = max(l.fenceOffset, min(offset, fencesPerClaim-1))
}

// AreFencesUsed reports whether so few fence numbers are left that the worker needs a new claim.
func (l *Incarnations) AreFencesUsed() bool { return l.fenceOffset >= fencesPerClaim-fenceReserve }

// IsFencedByLaterHolder reports whether an order with a fence number was refused because of a later
// holder, rather than because this holder has raised the number since it sent the order.
func (l *Incarnations) IsFencedByLaterHolder(a order.Answer, fence int64) bool {
	return a.IsFenced() && fence%fencesPerClaim >= l.fenceOffset
}

// Candidate returns the entry of another incarnation, if there is one.
func (l *Incarnations) Candidate() (order.Worker, bool) {
	if l.candidate == nil {
		return order.Worker{}, false
	}
	return *l.candidate, true
}

// RecordEntry records a list entry of the worker that was read after the given number of calls. It
// reports whether the entry is that of the known incarnation. The entry of any other incarnation
// becomes the candidate, unless that incarnation is known to have ended.
func (l *Incarnations) RecordEntry(known order.Incarnation, entry order.Worker, calls int64) bool {
	switch {
	case !known.DiffersFrom(entry.Incarnation):
		l.candidate = nil
		return true
	case slices.Contains(l.past, entry.Incarnation):
		return false
	}
	if l.candidate == nil || l.candidate.Incarnation != entry.Incarnation {
		l.candidateReadAfter = calls
	}
	l.candidate = &entry
	return false
}

// RecordEntryRemoved records that no list entry has the worker's name any more.
func (l *Incarnations) RecordEntryRemoved() { l.candidate = nil }

// PrecedesCandidate reports whether a call was made before the entry of another incarnation was
// read, so that an incarnation that has ended since may have answered it.
func (l *Incarnations) PrecedesCandidate(call int64) bool {
	return l.candidate != nil && call <= l.candidateReadAfter
}

// RecordAnswer records that the incarnation by has answered a call that was made after known became
// the known incarnation. It reports whether the known incarnation has ended, which it has if by is
// another one.
func (l *Incarnations) RecordAnswer(known, by order.Incarnation, call int64) bool {
	if known.DiffersFrom(by) {
		l.End(known)
		return true
	}
	if l.candidate != nil && call > l.candidateReadAfter {
		l.addPast(l.candidate.Incarnation)
		l.candidate = nil
	}
	return false
}

// Successor returns the worker in its incarnation by, which has replaced that of former, and whether
// the list entry of this incarnation was read. The address and resources are those of the candidate,
// or of former if there is no candidate.
func (l *Incarnations) Successor(former order.Worker, by order.Incarnation) (o order.Worker, listed bool) {
	if l.candidate == nil {
		former.Incarnation = by
		return former, false
	}
	o, listed = *l.candidate, !l.candidate.DiffersFrom(by)
	o.Incarnation = by
	l.candidate = nil
	return o, listed
}

// End records that the known incarnation has ended, and raises the fence number for the next one.
func (l *Incarnations) End(known order.Incarnation) {
	l.addPast(known)
	l.raiseOffset(l.fenceOffset + 1)
}

// addPast adds an incarnation to those that are not the current one.
func (l *Incarnations) addPast(incarnation order.Incarnation) {
	l.past = append(l.past, incarnation)
	if len(l.past) > maxPastIncarnations {
		l.past = l.past[1:]
	}
}
