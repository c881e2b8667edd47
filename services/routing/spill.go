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

// neighbours are the entry boxes of other domains and what is known of their
// room: a domain that refused, or could not be reached, is left alone for a while.
type neighbours struct {
	all           []Neighbour
	excludedUntil map[string]time.Time
	rotation      int
	// out is how many requests are with neighbours.
	outstanding int
}

// The bounds of what goes to other domains.
const (
	// maxSpilled is how many requests may be with neighbours at once.
	maxSpilled = 256
	// refusalBackoff and failureBackoff are how long a domain is left alone.
	refusalBackoff = 250 * time.Millisecond
	failureBackoff = 5 * time.Second
)

// SetNeighbours takes the entry boxes of other domains.
func (r *Router) SetNeighbours(all []Neighbour) {
	r.neighbours.all = all
	if r.neighbours.excludedUntil == nil {
		r.neighbours.excludedUntil = map[string]time.Time{}
	}
}

// pick returns the next neighbour whose domain is not left alone.
func (n *neighbours) pick(now time.Time) (Neighbour, bool) {
	n.rotation++
	for i := range n.all {
		if b := n.all[(n.rotation+i)%len(n.all)]; !now.Before(n.excludedUntil[b.Domain]) {
			return b, true
		}
	}
	return Neighbour{}, false
}

// spill gives a request that has no room here to an entry box of another domain,
// once. The key, if it has one, stays here: this box answers for its running at
// most once. Without a neighbour the request is refused.
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

// spillEnded takes the end of a request that a neighbour had.
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
		// The neighbour's own word may be that it may have run; its answer says so.
		return r.deliver(q)
	}
}
