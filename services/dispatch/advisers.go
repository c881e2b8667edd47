// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"saddlevane/services/turns"
)

const (
	// adviceCalls is how many calls of one box may wait: the service refuses more
	// than 32 (the users' protocol), and other holders' calls may be among them.
	adviceCalls = 20
	// adviserBad is how long a box is left out after a call through it failed.
	adviserBad = 4 * time.Second
	// adviceQueue bounds the time that calls take which wait at one box: a ticket
	// that comes late helps nobody.
	adviceQueue = 250 * time.Millisecond
	// adviceBusy is how long a box that the service refused gets no calls.
	adviceBusy = 300 * time.Millisecond
	// shortCall is the longest call for advice that counts as short, and briefCall
	// the longest that counts as brief.
	shortCall = 150 * time.Millisecond
	briefCall = 30 * time.Millisecond
)

// advisers spreads calls for advice over the entry boxes: the service takes one
// call at a time from each.
type advisers struct {
	// busyUntil is when the calls given to a box should be over.
	busyUntil map[string]time.Time
	// badUntil is until when a box is left out because a call through it failed.
	badUntil map[string]time.Time
	// calls holds the calls under way by box and number.
	calls map[string]map[int64]*adviceCall
	// open has the boxes that calls could be given to at openAt.
	open   []string
	openAt time.Time
	// numbers counts all calls.
	numbers int64
	// spent is the time of the calls made since the state of the cell was last told,
	// by queue.
	spent map[string]time.Duration
	// turns is how the boxes' time is divided among those who compete for it.
	turns *turns.Turns
}

// newAdvisers returns advisers without a call.
func newAdvisers() advisers {
	return advisers{
		busyUntil: map[string]time.Time{}, badUntil: map[string]time.Time{}, calls: map[string]map[int64]*adviceCall{},
		spent: map[string]time.Duration{}, turns: turns.New(),
	}
}

// passedOver says whether a box gets no calls for now.
func (a *advisers) passedOver(now time.Time, box string) bool {
	return now.Before(a.badUntil[box]) || len(a.calls[box]) >= adviceCalls || a.overdue(now, box)
}

// overdue says whether a box owes an answer.
func (a *advisers) overdue(now time.Time, box string) bool {
	for _, c := range a.calls[box] {
		if now.Sub(c.due) > adviceOverdue {
			return true
		}
	}
	return false
}

// began numbers a call and notes it among those of its box.
func (a *advisers) began(c *adviceCall) *adviceCall {
	if a.calls[c.box] == nil {
		a.calls[c.box] = map[int64]*adviceCall{}
	}
	a.numbers++
	c.number = a.numbers
	a.calls[c.box][c.number] = c
	return c
}

// keptOff returns how many of some boxes a call that takes a while must keep off, so
// that shorter ones need not wait behind it: about an eighth of them where it is
// short, about a quarter where it is long.
func keptOff(boxes int, takes time.Duration) int {
	switch {
	case boxes <= 2 || takes <= briefCall:
		return 0
	case takes <= shortCall:
		return (boxes + 4) / 8
	default:
		return (boxes + 2) / 4
	}
}

// openAdvisers returns the boxes that calls may be given to, by name.
func (h *holding) openAdvisers(now time.Time) []string {
	if h.advisers.open != nil && h.advisers.openAt.Equal(now) {
		return h.advisers.open
	}
	names := []string{}
	if !h.advisers.passedOver(now, h.core.self.Box) {
		names = append(names, h.core.self.Box)
	}
	for name := range h.core.members {
		if name != h.core.self.Box && !h.advisers.passedOver(now, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	h.advisers.open, h.advisers.openAt = names, now
	return names
}

// adviserFree says whether a box could take a call of some time within patience.
func (h *holding) adviserFree(now time.Time, takes, patience time.Duration) bool {
	_, ok := h.freestAdviser(now, takes, patience)
	return ok
}

// freestAdviser returns the box whose calls are over first, if that is within patience.
// Calls that are not brief keep off the first boxes in the order of names.
func (h *holding) freestAdviser(now time.Time, takes, patience time.Duration) (box string, ok bool) {
	names := h.openAdvisers(now)
	if len(names) == 0 {
		return "", false
	}
	best := ""
	for _, name := range names[keptOff(len(names), takes):] {
		if best == "" || h.advisers.freeAt(now, name).Before(h.advisers.freeAt(now, best)) {
			best = name
		}
	}
	return best, h.advisers.freeAt(now, best).Sub(now) <= patience
}

// chooseAdviser gives a call that takes some time to the box whose calls are over
// first, if that is within patience.
func (h *holding) chooseAdviser(now time.Time, takes, patience time.Duration) (box, address string, ok bool) {
	box, ok = h.freestAdviser(now, takes, patience)
	if !ok {
		return "", "", false
	}
	if box != h.core.self.Box {
		address = h.core.members[box].Address
	}
	h.advisers.busyUntil[box] = h.advisers.freeAt(now, box).Add(takes)
	return box, address, true
}

// freeAt returns when the calls given to a box should be over.
func (a *advisers) freeAt(now time.Time, box string) time.Time { return maxTime(now, a.busyUntil[box]) }
