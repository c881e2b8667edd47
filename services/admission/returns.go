// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"maps"
	"time"

	"saddlevane/models/job"
	"saddlevane/modules/ordered"
)

const (
	// returnGrace is how long after the returned time a caller may still return: a connection that
	// has to be opened again and a box that does not answer at first.
	returnGrace = 500 * time.Millisecond
	// ReturnUnit is the resolution of the time after which callers are asked to return, and the least
	// such time: their header holds whole seconds.
	ReturnUnit = time.Second
	// slotLength is the resolution of the turns; horizon is how far ahead turns are given.
	slotLength = 100 * time.Millisecond
	horizon    = maxWait
	slotCount  = int(horizon / slotLength)
	// maxPlaces limits the number of refused jobs that are remembered.
	maxPlaces = 4096
	// minWeight replaces a weight of 0: such a workspace gets turns, but far fewer than one with a
	// weight.
	minWeight = 1e-3
	// maxWeight is the weight from which workspaces count as equal. It is far above any rate of jobs,
	// and the sum of the weights of all workspaces still shows the least one.
	maxWeight = 1e9
)

// place is the turn of a refused job.
type place struct {
	workspace, pool string
	need            amounts
	// turn is when the caller of the job is to return, expiresAt when the job loses its place.
	turn, expiresAt time.Time
	// held is set while capacity is kept for the job.
	held bool
}

// line is the queue of the refused jobs of one workspace.
type line struct {
	weight float64
	places int
	// next is the earliest turn of the next refused job.
	next time.Time
}

// slots records how much of the capacity that comes free has been promised, as the time for which
// promised jobs use it up. At most slotLength is promised in each slot, so that no more turns are
// given than jobs can start.
type slots struct {
	first time.Time
	used  [slotCount]time.Duration
}

// advance drops the slots before now.
func (s *slots) advance(now time.Time) {
	if s.first.IsZero() || now.Sub(s.first) >= horizon || now.Before(s.first) {
		*s = slots{first: now}
		return
	}
	passed := int(now.Sub(s.first) / slotLength)
	copy(s.used[:], s.used[passed:])
	clear(s.used[slotCount-passed:])
	s.first = s.first.Add(time.Duration(passed) * slotLength)
}

// take uses up cost in the slots from at until the latest start, which is the given slack later. It
// returns false and changes nothing if these slots do not have that much left.
func (s *slots) take(at time.Time, cost, slack time.Duration) bool {
	begin := max(0, int(at.Sub(s.first)/slotLength))
	end := min(slotCount, begin+int(max(cost, slack)/slotLength)+1)
	if begin >= end {
		return false
	}
	left := cost
	for _, used := range s.used[begin:end] {
		left -= slotLength - used
	}
	if left > 0 {
		return false
	}
	left = cost
	for i := begin; left > 0; i++ {
		part := min(left, slotLength-s.used[i])
		s.used[i] += part
		left -= part
	}
	return true
}

// placeOf returns the place of a job, unless it has lost it.
func (c *Controller) placeOf(now time.Time, id job.ID) *place {
	p := c.places[id]
	if p != nil && now.After(p.expiresAt) {
		c.dropPlace(id)
		return nil
	}
	return p
}

// dropPlace removes the place of a job, if it has one.
func (c *Controller) dropPlace(id job.ID) {
	p := c.places[id]
	if p == nil {
		return
	}
	delete(c.places, id)
	if p.held {
		c.setHeld(p, false)
	}
	l := c.lines[p.workspace]
	l.places--
	if l.places == 0 {
		delete(c.lines, p.workspace)
		c.weights -= l.weight
	}
}

// setHeld sets whether capacity is kept for the job of a place.
func (c *Controller) setHeld(p *place, held bool) {
	sum, factor := c.held[p.pool], 1.0
	if !held {
		factor = -1
	}
	sum.add(p.need, factor)
	c.held[p.pool], p.held = sum, held
}

// refreshPlaces drops the places that were lost, and holds capacity for the jobs whose turn comes
// before the next refresh. It also forgets refusals older than maxWait, whose callers no longer return.
func (c *Controller) refreshPlaces(now time.Time) {
	maps.DeleteFunc(c.refused, func(_ job.ID, at time.Time) bool { return now.Sub(at) > maxWait })
	clear(c.held)
	for id, p := range c.places {
		p.held = false
		if now.After(p.expiresAt) {
			c.dropPlace(id)
		} else if p.turn.Sub(now) <= refreshInterval {
			c.setHeld(p, true)
		}
	}
	// Rounding errors of the changes since the last refresh do not add up, and the sum does not depend
	// on the order in which places were dropped.
	c.weights = 0
	for _, l := range ordered.Map(c.lines) {
		c.weights += l.weight
	}
}

// giveTurn gives a refused job the next turn of its workspace. It returns the time until the turn and
// the job's number in its line. The number is 0 if the job has no place, because its result would be of
// no use by then or because there are too many places.
func (c *Controller) giveTurn(now time.Time, j Job, o outlook, earliest time.Time) (wait time.Duration, number int) {
	cost := o.cost(j)
	weight := min(max(j.Weight, minWeight), maxWeight)
	l := c.lines[j.Workspace]
	if l == nil {
		l = &line{next: now}
	}
	weights := c.weights - l.weight + weight
	earliest = ordered.Later(l.next, earliest)
	wait, ok := c.takeSlots(now, j, cost, earliest)
	if !ok {
		return wait, 0
	}
	l.next = earliest.Add(seconds(cost.Seconds() * weights / weight))
	l.weight = weight
	l.places++
	c.lines[j.Workspace], c.weights = l, weights
	turn := now.Add(wait)
	c.places[j.ID] = &place{
		workspace: j.Workspace, pool: j.Pool, need: amountsOf(j.Need), turn: turn, expiresAt: turn.Add(returnGrace),
	}
	return wait, l.places
}

// takeSlots uses up cost in the slots of a job's pool, for the first possible turn that is not before
// earliest. It returns the time until that turn. If there is none, it returns false and the time from
// which that is so.
func (c *Controller) takeSlots(now time.Time, j Job, cost time.Duration, earliest time.Time) (wait time.Duration, ok bool) {
	s := c.slotsOf(now, j.Pool)
	for wait = returnTime(earliest.Sub(now)); wait < maxWait; wait += ReturnUnit {
		if now.Add(wait+j.CriticalPath).Sub(c.firstRefusal(now, j.ID)) > j.UsefulTime || len(c.places) >= maxPlaces {
			return wait, false
		}
		if s.take(now.Add(wait), cost, j.slack()) {
			return wait, true
		}
	}
	return maxWait, false
}

// slotsOf returns the slots of a pool as of now.
func (c *Controller) slotsOf(now time.Time, pool string) *slots {
	s := c.slots[pool]
	if s == nil {
		s = &slots{}
		c.slots[pool] = s
	}
	s.advance(now)
	return s
}
