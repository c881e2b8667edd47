// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"net/http"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/request"
	"saddlevane/models/verdict"

	"github.com/oklog/ulid/v2"
)

// keyTable remembers requests that may not be repeated, by key. A key is bound
// to the incarnation that issued it, so this table alone decides whether the
// request has run; a process that does not have the table never guesses.
type keyTable struct {
	limit   int
	ttl     time.Duration
	newKey  func(now time.Time) ulid.ULID
	entries map[request.Key]*keyedRequest
	// byAge holds the known keys in the order in which they will expire, near
	// enough: the order of their first use.
	byAge []*keyedRequest
}

// keyedRequest is what is known of one keyed request.
type keyedRequest struct {
	key    request.Key
	digest uint64
	// waiters are all arrivals that want the answer; the first is the one sent.
	waiters []request.Arrival
	ended   bool
	result  keptResult
	// gone says that the entry was forgotten before it expired.
	removed bool
}

// keptResult is what became of a keyed request: an answer kept by the adapters
// under an arrival and attempt, or a refusal.
type keptResult struct {
	from    request.ID
	attempt int
	refusal *request.Refusal
}

func newKeyTable(limit int, ttl time.Duration, newKey func(now time.Time) ulid.ULID) *keyTable {
	return &keyTable{limit: limit, ttl: ttl, newKey: newKey, entries: map[request.Key]*keyedRequest{}}
}

func (t *keyTable) isFull() bool { return len(t.entries) >= t.limit }

func (t *keyTable) add(a request.Arrival) *keyedRequest {
	k := &keyedRequest{key: a.Key, digest: a.Digest, waiters: []request.Arrival{a}}
	t.entries[a.Key] = k
	t.byAge = append(t.byAge, k)
	return k
}

// remove drops a request that was not run, so that its key can be used again.
func (t *keyTable) remove(k *keyedRequest) []request.Arrival {
	delete(t.entries, k.key)
	k.removed = true
	return k.waiters
}

// complete keeps what became of a request and returns who wants to know.
func (t *keyTable) complete(k *keyedRequest, kept keptResult) []request.Arrival {
	waiters := k.waiters
	k.waiters, k.ended, k.result = nil, true, kept
	return waiters
}

// expire drops keys whose time is over and returns the arrivals whose answers
// were kept for them.
func (t *keyTable) expire(now time.Time) []request.ID {
	var ids []request.ID
	for len(t.byAge) > 0 {
		k := t.byAge[0]
		if !k.removed && (!k.ended || now.Sub(k.key.IssuedAt()) <= t.ttl+keyGrace) {
			break
		}
		t.byAge = t.byAge[1:]
		if k.removed {
			continue
		}
		delete(t.entries, k.key)
		if k.result.refusal == nil {
			ids = append(ids, k.result.from)
		}
	}
	return ids
}

// keyGrace is how much longer than its time a key is remembered, so that a
// request that is let in at the last moment still finds it.
const keyGrace = time.Minute

// IssueKey returns a fresh key for a request that may not be repeated.
func (r *Router) IssueKey(now time.Time) request.Key {
	return request.NewKey(r.box, r.incarnation, r.keys.newKey(now))
}

// handleKeyed takes a request that may not be repeated. Without a key it is
// not run: the balancer may have delivered it to another box as well.
func (r *Router) handleKeyed(now time.Time, q *pending) []effect.Effect {
	key := q.arrival.Key
	switch {
	case key.IsZero():
		f := notRunRefusal(http.StatusPreconditionRequired, "requests of this class may not be repeated and need a key; send it again with the one given here", 0)
		f.Key = r.IssueKey(now)
		return r.refuse(q.arrival, f)
	case key.Box() != r.box || key.Incarnation() != r.incarnation:
		return r.forward(now, q)
	}
	if known, ok := r.keys.entries[key]; ok {
		return r.handleRepeated(now, q, known)
	}
	age := now.Sub(key.IssuedAt())
	switch {
	case age > r.keys.ttl || age < -r.keys.ttl:
		return r.refuse(q.arrival, unknownRefusal(http.StatusConflict, "the key is too old to tell whether the request has run"))
	case r.keys.isFull():
		return r.refuse(q.arrival, notRunRefusal(http.StatusServiceUnavailable, "too many requests that may not be repeated are remembered", time.Second))
	}
	q.keyed = r.keys.add(q.arrival)
	q.pool.budget.earn(r.settings)
	return r.admit(now, q)
}

func unknownRefusal(status int, reason string) request.Refusal {
	return request.Refusal{Status: status, Verdict: verdict.MayHaveRun, Reason: reason}
}

// handleRepeated takes a further arrival of a request that is known.
func (r *Router) handleRepeated(now time.Time, q *pending, known *keyedRequest) []effect.Effect {
	switch {
	case known.digest != q.arrival.Digest:
		return r.refuse(q.arrival, notRunRefusal(http.StatusUnprocessableEntity, "the key belongs to another request", 0))
	case !known.ended:
		known.waiters = append(known.waiters, q.arrival)
		q.keyed, q.state = known, stageAttached
		r.requests[q.arrival.ID] = q
		return nil
	case known.result.refusal != nil:
		return r.refuse(q.arrival, *known.result.refusal)
	default:
		r.count(q.arrival, verdict.Ran, http.StatusOK)
		return []effect.Effect{effect.Deliver{To: q.arrival.ID, From: known.result.from, Attempt: known.result.attempt, Retain: true}}
	}
}

// forward passes a request on to the incarnation that issued its key. If that
// cannot be reached, nobody knows whether the request has run.
func (r *Router) forward(now time.Time, q *pending) []effect.Effect {
	key := q.arrival.Key
	peer, ok := r.peers[key.Box()]
	if !ok || peer.Incarnation != key.Incarnation() || q.arrival.Forwarded {
		return r.refuse(q.arrival, unknownRefusal(http.StatusConflict, "the entry box that issued the key cannot be reached"))
	}
	q.state = stageForwarded
	r.requests[q.arrival.ID] = q
	return []effect.Effect{effect.Forward{ID: q.arrival.ID, Address: peer.Address, Timeout: q.deadline.Sub(now)}}
}

// ForwardEnded takes the end of a request that was passed on.
func (r *Router) ForwardEnded(now time.Time, e event.ForwardEnded) []effect.Effect {
	q, ok := r.requests[e.ID]
	if ok && q.state == stageSpilled {
		return r.spillEnded(now, q, e)
	}
	if !ok || q.state != stageForwarded {
		return nil
	}
	delete(r.requests, e.ID)
	if e.Failure != "" {
		return r.refuse(q.arrival, unknownRefusal(http.StatusBadGateway, "the entry box that issued the key did not answer: "+e.Failure))
	}
	r.count(q.arrival, verdict.Ran, http.StatusOK)
	return []effect.Effect{
		effect.Deliver{To: e.ID, From: e.ID, Attempt: 0},
		effect.Forget{ID: e.ID},
	}
}
