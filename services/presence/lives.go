// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package presence

import (
	"slices"

	"saddlevane/models/order"
)

// maxPastLives is how many lives that are over are remembered of a worker: the list may be read
// late, or again.
const maxPastLives = 16

// Lives tells which life is the present one of those that a worker has had under its name.
// What the worker answers decides: the life that answers a call began after all that were
// known when the call was made. An entry of another life may be older or newer than the one
// that is known, so it is a reason to ask, and to start nothing meanwhile.
type Lives struct {
	// next is the entry of another life that none has answered for yet, or nil, candidateReadAfter how
	// many calls had been made to workers when it was read.
	candidate          *order.Worker
	candidateReadAfter int64
	// past has lives that are over, the last one last.
	past []order.Incarnation
	// raised counts how often the worker was to hear a higher fence number. fenceRaisedAfter is how
	// many calls had been made when it last was for the life that is known, or 0.
	fenceRaises      int64
	fenceRaisedAfter int64
}

// HasCandidate says whether an entry of another life was read for which no answer has come yet.
func (l *Lives) HasCandidate() bool { return l.candidate != nil }

// fencesPerClaim bounds how often the fence number of a worker rises under one claim, so that
// those of a later claim are higher.
const fencesPerClaim = 1_000_000

// Fence returns the fence number of orders to the worker under a claim. A later life refuses
// what is on its way to an earlier one once it has seen a higher number.
func (l *Lives) Fence(claim int64) int64 { return claim*fencesPerClaim + l.fenceRaises }

// RaiseFence has the worker refuse what is on its way to it, once it has got a call that is made
// later than some number of calls.
func (l *Lives) RaiseFence(calls int64) {
	l.fenceRaises++
	l.fenceRaisedAfter = calls
}

// IsFencedByLaterHolder says whether an order was refused because of a later holder, and not because the
// fence number has risen since. Call is the number of the call, or 0 if it has none: the next
// one that has tells then.
func (l *Lives) IsFencedByLaterHolder(a order.Answer, call int64) bool {
	return a.Outcome == order.Refused && a.Reason == order.Fenced && (l.fenceRaisedAfter == 0 || call > l.fenceRaisedAfter)
}

// Candidate returns the entry of another life, if there is one.
func (l *Lives) Candidate() (order.Worker, bool) {
	if l.candidate == nil {
		return order.Worker{}, false
	}
	return *l.candidate, true
}

// RecordEntry takes an entry that was read after some number of calls. It returns whether the entry
// is that of the life that is known.
func (l *Lives) RecordEntry(known order.Incarnation, entry order.Worker, calls int64) bool {
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

// RecordEntryRemoved takes that no entry has the worker's name any more.
func (l *Lives) RecordEntryRemoved() { l.candidate = nil }

// PrecedesCandidate says whether a call of some number was made before the entry of another life was
// read: it may have been made to a life that had ended.
func (l *Lives) PrecedesCandidate(call int64) bool {
	return l.candidate != nil && call <= l.candidateReadAfter
}

// RecordAnswer takes that a life has answered a call of some number, made since the known one was
// known. It returns whether the known one is over.
func (l *Lives) RecordAnswer(known, by order.Incarnation, call int64) bool {
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

// Successor returns what is known of a life that has taken the place of another, and whether
// its entry was read.
func (l *Lives) Successor(former order.Worker, by order.Incarnation) (o order.Worker, listed bool) {
	if l.candidate == nil {
		former.Incarnation = by
		return former, false
	}
	o, listed = *l.candidate, !l.candidate.DiffersFrom(by)
	o.Incarnation = by
	l.candidate = nil
	return o, listed
}

// End notes that the life that was known is over.
func (l *Lives) End(known order.Incarnation) {
	l.addPast(known)
	l.fenceRaises++
	l.fenceRaisedAfter = 0
}

// addPast notes that a life is not the present one.
func (l *Lives) addPast(life order.Incarnation) {
	l.past = append(l.past, life)
	if len(l.past) > maxPastLives {
		l.past = l.past[1:]
	}
}
