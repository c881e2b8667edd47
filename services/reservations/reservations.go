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
	// TicketsNotRequested: no box could ask for the tickets that its start needs.
	TicketsNotRequested Outcome = "unasked"
	// TicketsNotReceived: its tickets have not come in time.
	TicketsNotReceived Outcome = "unticketed"
	// Occupied: the tasks in its place have not ended in time.
	Occupied Outcome = "occupied"
	// WorkerUnusable: a worker of it takes no tasks any more.
	WorkerUnusable Outcome = "unusable"
	// StepEnded: its step has ended.
	StepEnded Outcome = "ended"
)

// reservation is one reservation.
type reservation struct {
	since      time.Time
	processors resource.Millis
}

// Tracker has the reservations of a holder. It is not safe for concurrent use.
type Tracker struct {
	active map[job.StepID]reservation
	totals map[Outcome]Total
}

// Total is what reservations with one outcome have come to.
type Total struct {
	// Count is how many there were, Idle the room that they kept idle, in
	// processor-seconds.
	Count                int
	IdleProcessorSeconds float64
}

// New returns a book without reservations.
func New() *Tracker {
	return &Tracker{active: map[job.StepID]reservation{}, totals: map[Outcome]Total{}}
}

// Begin notes that room is kept for a step from now on.
func (b *Tracker) Begin(now time.Time, id job.StepID, room resource.Millis) {
	b.active[id] = reservation{since: now, processors: room}
}

// End notes what came of a step's reservation.
func (b *Tracker) End(now time.Time, id job.StepID, o Outcome) {
	r, ok := b.active[id]
	if !ok {
		return
	}
	delete(b.active, id)
	s := b.totals[o]
	s.Count++
	s.IdleProcessorSeconds += now.Sub(r.since).Seconds() * float64(r.processors) / float64(resource.Processor)
	b.totals[o] = s
}

// Len returns how many reservations there are.
func (b *Tracker) Len() int { return len(b.active) }

// Processors returns how many processors are kept.
func (b *Tracker) Processors() resource.Millis {
	var room resource.Millis
	for _, r := range b.active {
		room += r.processors
	}
	return room
}

// TakeTotals returns what the reservations that have ended came to by outcome, and begins to
// count anew.
func (b *Tracker) TakeTotals() map[Outcome]Total {
	sums := b.totals
	b.totals = map[Outcome]Total{}
	return sums
}
