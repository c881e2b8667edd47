// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package advisers spreads calls for advice over the entry boxes: the service takes one
// call at a time from each.
package advisers

import (
	"iter"
	"slices"
	"time"

	"saddlevane/modules/ordered"
	"saddlevane/services/turns"
)

const (
	// maxCallsPerBox is how many calls of one box may wait: the service refuses more
	// than 32 (the users' protocol), and other holders' calls may be among them.
	maxCallsPerBox = 20
	// failureBackoff is how long a box is left out after a call through it failed.
	failureBackoff = 4 * time.Second
	// MaxQueueTime bounds the time that calls take which wait at one box: a ticket
	// that comes late helps nobody.
	MaxQueueTime = 250 * time.Millisecond
	// refusalBackoff is how long a box that the service refused gets no calls.
	refusalBackoff = 300 * time.Millisecond
	// ShortCall is the longest call for advice that counts as short, and Brief the longest
	// that counts as brief.
	ShortCall = 150 * time.Millisecond
	BriefCall = 30 * time.Millisecond
	// overdueMargin is how late an answer makes its box be passed over, and its
	// step be asked about through another box.
	overdueMargin = 250 * time.Millisecond
)

// Balancer are the boxes through which calls are made. C is what is kept of a call.
type Balancer[C any] struct {
	// Turns is how the boxes' time is divided among those who compete for it.
	FairShare *turns.Allocator
	// Spent is the time of the calls made since it was last cleared, by queue.
	CallTimeByQueue map[string]time.Duration

	self string
	// busyUntil is when the calls given to a box should be over.
	busyUntil map[string]time.Time
	// excludedUntil is until when a box is left out because a call through it failed.
	excludedUntil map[string]time.Time
	// calls holds the calls under way by box and number.
	calls map[string]map[int64]call[C]
	// open has the boxes that calls could be given to at availableAt.
	available   []string
	availableAt time.Time
	// numbers counts all calls.
	lastNumber int64
}

// call is one under way, and when its answer should come.
type call[C any] struct {
	payload C
	due     time.Time
}

// New returns advisers without a call, for the box of some name.
func New[C any](self string) *Balancer[C] {
	return &Balancer[C]{
		FairShare: turns.New(), CallTimeByQueue: map[string]time.Duration{}, self: self,
		busyUntil: map[string]time.Time{}, excludedUntil: map[string]time.Time{}, calls: map[string]map[int64]call[C]{},
	}
}

// Begin notes a call through a box that was chosen for it. It returns the call's number,
// and when its answer should come.
func (a *Balancer[C]) Begin(box string, c C) (number int64, due time.Time) {
	if a.calls[box] == nil {
		a.calls[box] = map[int64]call[C]{}
	}
	a.lastNumber++
	due = a.busyUntil[box]
	a.calls[box][a.lastNumber] = call[C]{payload: c, due: due}
	return a.lastNumber, due
}

// End returns a call that has ended, if it is known.
func (a *Balancer[C]) End(box string, number int64) (c C, known bool) {
	one, known := a.calls[box][number]
	delete(a.calls[box], number)
	return one.payload, known
}

// Overdue yields the calls whose answers are overdue, in a fixed order.
func (a *Balancer[C]) Overdue(now time.Time) iter.Seq[C] {
	return func(yield func(C) bool) {
		for _, calls := range ordered.Map(a.calls) {
			for _, c := range ordered.Map(calls) {
				if now.Sub(c.due) > overdueMargin && !yield(c.payload) {
					return
				}
			}
		}
	}
}

// RecordRefusal takes that the service refused a call of a box.
func (a *Balancer[C]) RecordRefusal(now time.Time, box string) {
	if until := now.Add(refusalBackoff); until.After(a.busyUntil[box]) {
		a.busyUntil[box] = until
	}
}

// RecordFailure takes that a call through a box failed.
func (a *Balancer[C]) RecordFailure(now time.Time, box string) {
	if box != a.self {
		a.excludedUntil[box] = now.Add(failureBackoff)
	}
}

// Assign gives a call that takes some time to the box whose calls are over first, if that
// is within patience.
func (a *Balancer[C]) Assign(now time.Time, boxes iter.Seq[string], takes, patience time.Duration) (box string, ok bool) {
	box, ok = a.earliestFree(now, boxes, takes, patience)
	if ok {
		a.busyUntil[box] = a.freeAt(now, box).Add(takes)
	}
	return box, ok
}

// HasFreeBox says whether a box could take a call of some time within patience.
func (a *Balancer[C]) HasFreeBox(now time.Time, boxes iter.Seq[string], takes, patience time.Duration) bool {
	_, ok := a.earliestFree(now, boxes, takes, patience)
	return ok
}

// earliestFree returns the box whose calls are over first, if that is within patience. Calls that
// are not brief keep off the first boxes in the order of names.
func (a *Balancer[C]) earliestFree(now time.Time, boxes iter.Seq[string], takes, patience time.Duration) (box string, ok bool) {
	names := a.availableBoxes(now, boxes)
	if len(names) == 0 {
		return "", false
	}
	best := ""
	for _, name := range names[reservedBoxes(len(names), takes):] {
		if best == "" || a.freeAt(now, name).Before(a.freeAt(now, best)) {
			best = name
		}
	}
	return best, a.freeAt(now, best).Sub(now) <= patience
}

// availableBoxes returns the boxes that calls may be given to, by name.
func (a *Balancer[C]) availableBoxes(now time.Time, boxes iter.Seq[string]) []string {
	if a.available != nil && a.availableAt.Equal(now) {
		return a.available
	}
	names := []string{}
	if !a.isUnavailable(now, a.self) {
		names = append(names, a.self)
	}
	for name := range boxes {
		if name != a.self && !a.isUnavailable(now, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	a.available, a.availableAt = names, now
	return names
}

// isUnavailable says whether a box gets no calls for now.
func (a *Balancer[C]) isUnavailable(now time.Time, box string) bool {
	return now.Before(a.excludedUntil[box]) || len(a.calls[box]) >= maxCallsPerBox || a.hasOverdueCall(now, box)
}

// hasOverdueCall says whether a box owes an answer.
func (a *Balancer[C]) hasOverdueCall(now time.Time, box string) bool {
	for _, c := range a.calls[box] {
		if now.Sub(c.due) > overdueMargin {
			return true
		}
	}
	return false
}

// freeAt returns when the calls given to a box should be over.
func (a *Balancer[C]) freeAt(now time.Time, box string) time.Time {
	if until := a.busyUntil[box]; until.After(now) {
		return until
	}
	return now
}

// reservedBoxes returns how many of some boxes a call that takes a while must keep off, so
// that shorter ones need not wait behind it: about an eighth of them where it is
// short, about a quarter where it is long.
func reservedBoxes(boxes int, takes time.Duration) int {
	switch {
	case boxes <= 2 || takes <= BriefCall:
		return 0
	case takes <= ShortCall:
		return (boxes + 4) / 8
	default:
		return (boxes + 2) / 4
	}
}
