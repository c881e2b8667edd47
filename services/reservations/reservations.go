// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package reservations tracks the capacity that is reserved, and thus stays idle, for gangs that
// cannot start immediately: how much is reserved for which step, since when, and how each
// reservation ended.
package reservations

import (
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
)

// Outcome says how a reservation ended.
type Outcome string

// The outcomes of a reservation.
const (
	// Started means that the gang was started on the reserved capacity.
	Started Outcome = "started"
	// TicketsNotRequested means that no box was available to request the tickets for the
	// start.
	TicketsNotRequested Outcome = "unasked"
	// TicketsNotReceived means that the requested tickets did not arrive in time.
	TicketsNotReceived Outcome = "unticketed"
	// Occupied means that the tasks that occupied the reserved capacity did not end in time.
	Occupied Outcome = "occupied"
	// WorkerUnusable means that a worker of the reservation no longer accepts the tasks.
	WorkerUnusable Outcome = "unusable"
	// StepEnded means that the step ended before its gang was started.
	StepEnded Outcome = "ended"
)

// reservation is an active reservation: the number of processors, and the time since which they
// are reserved.
type reservation struct {
	since      time.Time
	processors resource.Millis
}

// Tracker holds the active reservations of a holder and the totals of those that ended. It is
// not safe for concurrent use.
type Tracker struct {
	active map[job.StepID]reservation
	totals map[Outcome]Total
}

// Total sums up the reservations that ended with the same outcome.
type Total struct {
	// Count is the number of reservations.
	Count int
	// IdleProcessorSeconds is the number of reserved processors times the duration of the
	// reservation in seconds, summed over all reservations.
	IdleProcessorSeconds float64
}

// New returns a tracker without reservations.
func New() *Tracker {
	return &Tracker{active: map[job.StepID]reservation{}, totals: map[Outcome]Total{}}
}

const (
	// baseReservingGangs is how many gangs may hold reservations at the same time, plus one for
	// each workersPerReservingGang workers. The limit exists because most reserved capacity is
	// idle.
	baseReservingGangs      = 3
	workersPerReservingGang = 25
)

// MayBegin reports whether one more gang may reserve capacity in a cell with the given number of workers.
func (t *Tracker) MayBegin(workers int) bool {
	return t.Len() < baseReservingGangs+workers/workersPerReservingGang
}

// Begin records that processors are reserved for a step from now on.
func (t *Tracker) Begin(now time.Time, id job.StepID, processors resource.Millis) {
	t.active[id] = reservation{since: now, processors: processors}
}

// End ends a step's reservation and adds it to the total of the outcome. It does nothing if the
// step has no reservation.
func (t *Tracker) End(now time.Time, id job.StepID, outcome Outcome) {
	r, ok := t.active[id]
	if !ok {
		return
	}
	delete(t.active, id)
	total := t.totals[outcome]
	total.Count++
	total.IdleProcessorSeconds += now.Sub(r.since).Seconds() * float64(r.processors) / float64(resource.Processor)
	t.totals[outcome] = total
}

// Len returns the number of active reservations.
func (t *Tracker) Len() int { return len(t.active) }

// Processors returns the reserved processors.
func (t *Tracker) Processors() resource.Millis {
	var processors resource.Millis
	for _, r := range t.active {
		processors += r.processors
	}
	return processors
}

// TakeTotals returns the totals by outcome of the reservations that ended since the last call,
// and resets them.
func (t *Tracker) TakeTotals() map[Outcome]Total {
	sums := t.totals
	t.totals = map[Outcome]Total{}
	return sums
}
