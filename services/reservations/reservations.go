// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package reservations accounts for the room that is kept idle for gangs which cannot
// start at once: who holds how much, since when, and what came of it.
package reservations

import (
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
)

// Outcome is how a reservation ended.
type Outcome string

// The outcomes.
const (
	// Started: the gang has started in it.
	Started Outcome = "started"
	// Unasked: no box could ask for the tickets that its start needs.
	Unasked Outcome = "unasked"
	// Unticketed: its tickets have not come in time.
	Unticketed Outcome = "unticketed"
	// Occupied: the tasks in its place have not ended in time.
	Occupied Outcome = "occupied"
	// Unusable: a worker of it takes no tasks any more.
	Unusable Outcome = "unusable"
	// Ended: its step has ended.
	Ended Outcome = "ended"
)

// held is one reservation.
type held struct {
	since time.Time
	room  resource.Millis
}

// Book has the reservations of a holder. It is not safe for concurrent use.
type Book struct {
	held map[job.StepID]held
	sums map[Outcome]Sum
}

// Sum is what reservations with one outcome have come to.
type Sum struct {
	// Count is how many there were, Idle the room that they kept idle, in
	// processor-seconds.
	Count int
	Idle  float64
}

// New returns a book without reservations.
func New() *Book { return &Book{held: map[job.StepID]held{}, sums: map[Outcome]Sum{}} }

// Begin notes that room is kept for a step from now on.
func (b *Book) Begin(now time.Time, id job.StepID, room resource.Millis) {
	b.held[id] = held{since: now, room: room}
}

// End notes what came of a step's reservation.
func (b *Book) End(now time.Time, id job.StepID, o Outcome) {
	r, ok := b.held[id]
	if !ok {
		return
	}
	delete(b.held, id)
	s := b.sums[o]
	s.Count++
	s.Idle += now.Sub(r.since).Seconds() * float64(r.room) / float64(resource.Processor)
	b.sums[o] = s
}

// Len returns how many reservations there are.
func (b *Book) Len() int { return len(b.held) }

// Room returns how many processors are kept.
func (b *Book) Room() resource.Millis {
	var room resource.Millis
	for _, r := range b.held {
		room += r.room
	}
	return room
}

// Take returns what the reservations that have ended came to by outcome, and begins to
// count anew.
func (b *Book) Take() map[Outcome]Sum {
	sums := b.sums
	b.sums = map[Outcome]Sum{}
	return sums
}
