// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/request"
	"saddlevane/models/verdict"
)

// Neighbour is an entry box of another domain.
type Neighbour struct {
	Box     string
	Domain  string
	Address string
}

// neighbours holds the entry boxes of other domains. A domain that refused a
// request, or could not be reached, is excluded for a while.
type neighbours struct {
	all           []Neighbour
	excludedUntil map[string]time.Time
	rotation      int
	// outstanding is the number of spilled requests that have not ended.
	outstanding int
}

// Limits of spilling to other domains.
const (
	// maxSpilled is the maximum number of spilled requests that have not ended.
	maxSpilled = 256
	// refusalBackoff and failureBackoff are how long a domain is excluded after it
	// refused a request or could not be reached.
	refusalBackoff = 250 * time.Millisecond
	failureBackoff = 5 * time.Second
)

// SetNeighbours replaces the entry boxes of other domains.
func (r *Router) SetNeighbours(all []Neighbour) {
	r.neighbours.all = all
	if r.neighbours.excludedUntil == nil {
		r.neighbours.excludedUntil = map[string]time.Time{}
	}
}

// pick returns the next neighbour whose domain is not excluded, in round-robin
// order.
func (n *neighbours) pick(now time.Time) (Neighbour, bool) {
	n.rotation++
	for i := range n.all {
		if b := n.all[(n.rotation+i)%len(n.all)]; !now.Before(n.excludedUntil[b.Domain]) {
			return b, true
		}
	}
	return Neighbour{}, false
}

// spill forwards a request that this box has no capacity for to an entry box of
// another domain, which does not spill it again. If the request has a key, this
// box keeps it and remains responsible for the request running at most once. If
// no neighbour is available, the request is refused with f.
func (r *Router) spill(now time.Time, q *pending, f request.Refusal) []effect.Effect {
	if !r.policy.Spill || q.arrival.Forwarded || r.neighbours.outstanding >= maxSpilled {
		return r.drop(now, q, f)
	}
	b, ok := r.neighbours.pick(now)
	if !ok {
		return r.drop(now, q, f)
	}
	r.neighbours.outstanding++
	q.state, q.sentAt, q.neighbour, q.refusal = stageSpilled, now, b, f
	r.requests[q.arrival.ID] = q
	return []effect.Effect{effect.Forward{
		ID: q.arrival.ID, Address: b.Address, Timeout: q.deadline.Sub(now), Delegated: true,
	}}
}

// spillEnded handles the end of a request that was spilled to a neighbour.
func (r *Router) spillEnded(now time.Time, q *pending, e event.ForwardEnded) []effect.Effect {
	r.neighbours.outstanding--
	switch {
	case e.Verdict == verdict.NotRun && e.Failure != "":
		r.neighbours.excludedUntil[q.neighbour.Domain] = now.Add(failureBackoff)
		return r.drop(now, q, q.refusal)
	case e.Verdict == verdict.NotRun:
		r.neighbours.excludedUntil[q.neighbour.Domain] = now.Add(refusalBackoff)
		return r.drop(now, q, q.refusal)
	case e.Failure != "":
		r.neighbours.excludedUntil[q.neighbour.Domain] = now.Add(failureBackoff)
		return r.completeUnknown(q, "the entry box of another domain did not answer: "+e.Failure)
	default:
		// The verdict may be MayHaveRun. The neighbour's answer then says so and is
		// delivered as it is.
		return r.deliver(q)
	}
}
