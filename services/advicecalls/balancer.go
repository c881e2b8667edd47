// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package advicecalls distributes calls to the advice service over the entry boxes, because the
// service handles one call at a time from each box, and computes how many workers and which of them
// calls name. Advice names the workers that may run a step, with a ticket for each of them.
package advicecalls

import (
	"iter"
	"slices"
	"time"

	"saddlevane/modules/ordered"
	"saddlevane/services/fairshare"
)

const (
	// maxCallsPerBox is the maximum number of calls in progress through one box. The
	// service's protocol permits at most 32 per box, and calls of other holders may be among
	// them.
	maxCallsPerBox = 20
	// failureBackoff is how long a box gets no calls after a call through it failed.
	failureBackoff = 4 * time.Second
	// MaxQueueTime is the longest time that a call should wait at a box behind others. A
	// ticket that arrives later than that is of no use.
	MaxQueueTime = 250 * time.Millisecond
	// refusalBackoff is the minimum time for which a box counts as busy after the service
	// refused a call through it.
	refusalBackoff = 300 * time.Millisecond
	// ShortCall is the longest duration of a call that counts as short, and BriefCall that
	// of a call that counts as brief. See reservedBoxes.
	ShortCall = 150 * time.Millisecond
	BriefCall = 30 * time.Millisecond
	// availableFor is how long the list of boxes that may get calls is reused.
	availableFor = 10 * time.Millisecond
	// overdueMargin is the delay after which an answer counts as overdue. Its box then gets
	// no calls, and the call may be repeated through another box.
	overdueMargin = 250 * time.Millisecond
)

// Balancer assigns calls to boxes. C is the data that is stored with a call. It is not safe for
// concurrent use.
type Balancer[C any] struct {
	// FairShare divides the boxes' time between the classes of steps that compete for it.
	FairShare *fairshare.Allocator
	// CallTimeByQueue is the total expected duration of the calls for each queue since it was
	// last cleared. The user of the balancer maintains it.
	CallTimeByQueue map[string]time.Duration

	// self is the name of the box of this process.
	self string
	// busyUntil is the time by which the calls assigned to a box should have ended.
	busyUntil map[string]time.Time
	// excludedUntil is the time until which a box gets no calls because one failed.
	excludedUntil map[string]time.Time
	// calls holds the calls in progress by box and number.
	calls map[string]map[int64]call[C]
	// available holds the names of the boxes that could get calls at availableAt, or nil after a change.
	available   []string
	availableAt time.Time
	// lastNumber is the number of the last call.
	lastNumber int64
}

// call is a call in progress, and the time by which its answer is expected.
type call[C any] struct {
	payload C
	due     time.Time
}

// New returns a balancer without calls for a process on the box with the name self.
func New[C any](self string) *Balancer[C] {
	return &Balancer[C]{
		FairShare: fairshare.New(), CallTimeByQueue: map[string]time.Duration{}, self: self,
		busyUntil: map[string]time.Time{}, excludedUntil: map[string]time.Time{}, calls: map[string]map[int64]call[C]{},
	}
}

// Begin records a call through the box that Assign has just returned for it. It returns the
// call's number and the time by which its answer is expected.
func (b *Balancer[C]) Begin(box string, payload C) (number int64, due time.Time) {
	if b.calls[box] == nil {
		b.calls[box] = map[int64]call[C]{}
	}
	b.lastNumber++
	due = b.busyUntil[box]
	b.calls[box][b.lastNumber] = call[C]{payload: payload, due: due}
	if len(b.calls[box]) >= maxCallsPerBox {
		b.available = nil
	}
	return b.lastNumber, due
}

// End removes a call that has ended, and returns its data and whether the call was in progress.
func (b *Balancer[C]) End(box string, number int64) (payload C, known bool) {
	c, known := b.calls[box][number]
	if len(b.calls[box]) >= maxCallsPerBox {
		b.available = nil
	}
	delete(b.calls[box], number)
	return c.payload, known
}

// Overdue yields the data of the calls whose answers are overdue, sorted by box and number.
func (b *Balancer[C]) Overdue(now time.Time) iter.Seq[C] {
	return func(yield func(C) bool) {
		for _, calls := range ordered.Map(b.calls) {
			for _, c := range ordered.Map(calls) {
				if now.Sub(c.due) > overdueMargin && !yield(c.payload) {
					return
				}
			}
		}
	}
}

// RecordRefusal records that the service refused a call through a box. The box counts as busy for
// refusalBackoff.
func (b *Balancer[C]) RecordRefusal(now time.Time, box string) {
	if until := now.Add(refusalBackoff); until.After(b.busyUntil[box]) {
		b.busyUntil[box] = until
	}
}

// RecordFailure records that a call through a box failed. The box gets no calls for
// failureBackoff, unless it is the box of this process.
func (b *Balancer[C]) RecordFailure(now time.Time, box string) {
	if box != b.self {
		b.excludedUntil[box] = now.Add(failureBackoff)
		b.available = nil
	}
}

// Assign assigns a call of the given duration to the box that is free first, if that is within
// maxWait.
func (b *Balancer[C]) Assign(now time.Time, boxes iter.Seq[string], duration, maxWait time.Duration) (box string, ok bool) {
	box, ok = b.earliestFree(now, boxes, duration, maxWait)
	if ok {
		b.busyUntil[box] = b.freeAt(now, box).Add(duration)
	}
	return box, ok
}

// HasFreeBox reports whether Assign would find a box for a call of the given duration.
func (b *Balancer[C]) HasFreeBox(now time.Time, boxes iter.Seq[string], duration, maxWait time.Duration) bool {
	_, ok := b.earliestFree(now, boxes, duration, maxWait)
	return ok
}

// earliestFree returns the box that is free first, and whether that is within maxWait. Calls that
// are not brief cannot use the boxes that reservedBoxes excludes, the first ones by name.
func (b *Balancer[C]) earliestFree(now time.Time, boxes iter.Seq[string], duration, maxWait time.Duration) (box string, ok bool) {
	names := b.availableBoxes(now, boxes)
	if len(names) == 0 {
		return "", false
	}
	best := ""
	for _, name := range names[reservedBoxes(len(names), duration):] {
		if best == "" || b.freeAt(now, name).Before(b.freeAt(now, best)) {
			best = name
		}
		if b.freeAt(now, best).Equal(now) {
			break
		}
	}
	return best, b.freeAt(now, best).Sub(now) <= maxWait
}

// availableBoxes returns the sorted names of the boxes that may get calls, among them the box of
// this process. The result is cached for availableFor, or until a box gets or ends a call or fails in
// such a way that it differs.
func (b *Balancer[C]) availableBoxes(now time.Time, boxes iter.Seq[string]) []string {
	if b.available != nil && now.Sub(b.availableAt) < availableFor {
		return b.available
	}
	names := []string{}
	if !b.isUnavailable(now, b.self) {
		names = append(names, b.self)
	}
	for name := range boxes {
		if name != b.self && !b.isUnavailable(now, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	b.available, b.availableAt = names, now
	return names
}

// isUnavailable reports whether a box gets no calls at present.
func (b *Balancer[C]) isUnavailable(now time.Time, box string) bool {
	return now.Before(b.excludedUntil[box]) || len(b.calls[box]) >= maxCallsPerBox || b.hasOverdueCall(now, box)
}

// hasOverdueCall reports whether the answer to a call through a box is overdue.
func (b *Balancer[C]) hasOverdueCall(now time.Time, box string) bool {
	for _, c := range b.calls[box] {
		if now.Sub(c.due) > overdueMargin {
			return true
		}
	}
	return false
}

// freeAt returns the time from which a box should be free, which is now or later.
func (b *Balancer[C]) freeAt(now time.Time, box string) time.Time {
	if until := b.busyUntil[box]; until.After(now) {
		return until
	}
	return now
}

// reservedBoxes returns how many of the given number of boxes a call of the given duration must
// not use, so that shorter calls do not have to wait behind it: none for a brief call, about an
// eighth of the boxes for a short one and about a quarter for a longer one.
func reservedBoxes(boxes int, duration time.Duration) int {
	switch {
	case boxes <= 2 || duration <= BriefCall:
		return 0
	case duration <= ShortCall:
		return (boxes + 4) / 8
	default:
		return (boxes + 2) / 4
	}
}
