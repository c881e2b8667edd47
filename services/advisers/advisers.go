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
	// callsMost is how many calls of one box may wait: the service refuses more
	// than 32 (the users' protocol), and other holders' calls may be among them.
	callsMost = 20
	// leftOut is how long a box is left out after a call through it failed.
	leftOut = 4 * time.Second
	// Queue bounds the time that calls take which wait at one box: a ticket
	// that comes late helps nobody.
	Queue = 250 * time.Millisecond
	// spared is how long a box that the service refused gets no calls.
	spared = 300 * time.Millisecond
	// Short is the longest call for advice that counts as short, and Brief the longest
	// that counts as brief.
	Short = 150 * time.Millisecond
	Brief = 30 * time.Millisecond
	// overdueAfter is how late an answer makes its box be passed over, and its
	// step be asked about through another box.
	overdueAfter = 250 * time.Millisecond
)

// Advisers are the boxes through which calls are made. C is what is kept of a call.
type Advisers[C any] struct {
	// Turns is how the boxes' time is divided among those who compete for it.
	Turns *turns.Turns
	// Spent is the time of the calls made since it was last cleared, by queue.
	Spent map[string]time.Duration

	self string
	// busyUntil is when the calls given to a box should be over.
	busyUntil map[string]time.Time
	// badUntil is until when a box is left out because a call through it failed.
	badUntil map[string]time.Time
	// calls holds the calls under way by box and number.
	calls map[string]map[int64]call[C]
	// open has the boxes that calls could be given to at openAt.
	open   []string
	openAt time.Time
	// numbers counts all calls.
	numbers int64
}

// call is one under way, and when its answer should come.
type call[C any] struct {
	of  C
	due time.Time
}

// New returns advisers without a call, for the box of some name.
func New[C any](self string) *Advisers[C] {
	return &Advisers[C]{
		Turns: turns.New(), Spent: map[string]time.Duration{}, self: self,
		busyUntil: map[string]time.Time{}, badUntil: map[string]time.Time{}, calls: map[string]map[int64]call[C]{},
	}
}

// Begin notes a call through a box that was chosen for it. It returns the call's number,
// and when its answer should come.
func (a *Advisers[C]) Begin(box string, c C) (number int64, due time.Time) {
	if a.calls[box] == nil {
		a.calls[box] = map[int64]call[C]{}
	}
	a.numbers++
	due = a.busyUntil[box]
	a.calls[box][a.numbers] = call[C]{of: c, due: due}
	return a.numbers, due
}

// End returns a call that has ended, if it is known.
func (a *Advisers[C]) End(box string, number int64) (c C, known bool) {
	one, known := a.calls[box][number]
	delete(a.calls[box], number)
	return one.of, known
}

// Overdue yields the calls whose answers are overdue, in a fixed order.
func (a *Advisers[C]) Overdue(now time.Time) iter.Seq[C] {
	return func(yield func(C) bool) {
		for _, calls := range ordered.Map(a.calls) {
			for _, c := range ordered.Map(calls) {
				if now.Sub(c.due) > overdueAfter && !yield(c.of) {
					return
				}
			}
		}
	}
}

// Refused takes that the service refused a call of a box.
func (a *Advisers[C]) Refused(now time.Time, box string) {
	if until := now.Add(spared); until.After(a.busyUntil[box]) {
		a.busyUntil[box] = until
	}
}

// Failed takes that a call through a box failed.
func (a *Advisers[C]) Failed(now time.Time, box string) {
	if box != a.self {
		a.badUntil[box] = now.Add(leftOut)
	}
}

// Choose gives a call that takes some time to the box whose calls are over first, if that
// is within patience.
func (a *Advisers[C]) Choose(now time.Time, boxes iter.Seq[string], takes, patience time.Duration) (box string, ok bool) {
	box, ok = a.freest(now, boxes, takes, patience)
	if ok {
		a.busyUntil[box] = a.freeAt(now, box).Add(takes)
	}
	return box, ok
}

// Free says whether a box could take a call of some time within patience.
func (a *Advisers[C]) Free(now time.Time, boxes iter.Seq[string], takes, patience time.Duration) bool {
	_, ok := a.freest(now, boxes, takes, patience)
	return ok
}

// freest returns the box whose calls are over first, if that is within patience. Calls that
// are not brief keep off the first boxes in the order of names.
func (a *Advisers[C]) freest(now time.Time, boxes iter.Seq[string], takes, patience time.Duration) (box string, ok bool) {
	names := a.openTo(now, boxes)
	if len(names) == 0 {
		return "", false
	}
	best := ""
	for _, name := range names[keptOff(len(names), takes):] {
		if best == "" || a.freeAt(now, name).Before(a.freeAt(now, best)) {
			best = name
		}
	}
	return best, a.freeAt(now, best).Sub(now) <= patience
}

// openTo returns the boxes that calls may be given to, by name.
func (a *Advisers[C]) openTo(now time.Time, boxes iter.Seq[string]) []string {
	if a.open != nil && a.openAt.Equal(now) {
		return a.open
	}
	names := []string{}
	if !a.passedOver(now, a.self) {
		names = append(names, a.self)
	}
	for name := range boxes {
		if name != a.self && !a.passedOver(now, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	a.open, a.openAt = names, now
	return names
}

// passedOver says whether a box gets no calls for now.
func (a *Advisers[C]) passedOver(now time.Time, box string) bool {
	return now.Before(a.badUntil[box]) || len(a.calls[box]) >= callsMost || a.owes(now, box)
}

// owes says whether a box owes an answer.
func (a *Advisers[C]) owes(now time.Time, box string) bool {
	for _, c := range a.calls[box] {
		if now.Sub(c.due) > overdueAfter {
			return true
		}
	}
	return false
}

// freeAt returns when the calls given to a box should be over.
func (a *Advisers[C]) freeAt(now time.Time, box string) time.Time {
	if until := a.busyUntil[box]; until.After(now) {
		return until
	}
	return now
}

// keptOff returns how many of some boxes a call that takes a while must keep off, so
// that shorter ones need not wait behind it: about an eighth of them where it is
// short, about a quarter where it is long.
func keptOff(boxes int, takes time.Duration) int {
	switch {
	case boxes <= 2 || takes <= Brief:
		return 0
	case takes <= Short:
		return (boxes + 4) / 8
	default:
		return (boxes + 2) / 4
	}
}
