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

// keyTable holds the requests that may not be repeated, by key. A key is bound
// to the box incarnation that issued it, so only that process's table can show
// whether the request has run. Any other process answers that it may have run.
type keyTable struct {
	limit   int
	ttl     time.Duration
	newKey  func(now time.Time) ulid.ULID
	entries map[request.Key]*keyedRequest
	// byAge holds the entries in the order of their first use, which approximates
	// the order in which they expire.
	byAge []*keyedRequest
}

// keyedRequest is an entry of the key table.
type keyedRequest struct {
	key    request.Key
	digest uint64
	// waiters holds all unanswered arrivals with this key. The first is the one
	// that is sent to a target.
	waiters []request.Arrival
	ended   bool
	result  storedResult
	// removed reports whether the entry was removed before it expired.
	removed bool
}

// storedResult is the result of a keyed request: a refusal, or a target's answer.
// An answer is stored by the adapters; from and attempt identify it.
type storedResult struct {
	from    request.ID
	attempt int
	refusal *request.Refusal
}

// newKeyTable returns an empty table of at most limit entries. Keys expire ttl after
// they were issued.
func newKeyTable(limit int, ttl time.Duration, newKey func(now time.Time) ulid.ULID) *keyTable {
	return &keyTable{limit: limit, ttl: ttl, newKey: newKey, entries: map[request.Key]*keyedRequest{}}
}

func (t *keyTable) isFull() bool { return len(t.entries) >= t.limit }

// add adds an entry for the first arrival with a key.
func (t *keyTable) add(a request.Arrival) *keyedRequest {
	k := &keyedRequest{key: a.Key, digest: a.Digest, waiters: []request.Arrival{a}}
	t.entries[a.Key] = k
	t.byAge = append(t.byAge, k)
	return k
}

// remove deletes the entry of a request that was not run, so that its key can be
// used again. It returns the arrivals that wait for the answer.
func (t *keyTable) remove(k *keyedRequest) []request.Arrival {
	delete(t.entries, k.key)
	k.removed = true
	return k.waiters
}

// complete stores the result of a request and returns the arrivals that wait for
// it.
func (t *keyTable) complete(k *keyedRequest, result storedResult) []request.Arrival {
	waiters := k.waiters
	k.waiters, k.ended, k.result = nil, true, result
	return waiters
}

// expire deletes expired entries. It returns the arrivals whose answers the
// adapters need not store any longer.
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

// keyGrace is how long a key is remembered beyond its TTL, so that a repeated
// request that is admitted just before the TTL ends still finds it.
const keyGrace = time.Minute

// IssueKey returns a new key for a request that may not be repeated.
func (r *Router) IssueKey(now time.Time) request.Key {
	return request.NewKey(r.box, r.incarnation, r.keys.newKey(now))
}

// handleKeyed admits a request that may not be repeated. A request without a key
// is refused, because the load balancer may have delivered it to another box as
// well.
func (r *Router) handleKeyed(now time.Time, q *pending) []effect.Effect {
	key := q.arrival.Key
	switch {
	case key.IsZero():
		f := notRunRefusal(
			http.StatusPreconditionRequired,
			"requests of this class may not be repeated and need a key; resend it with the key in this answer", 0,
		)
		f.Key = r.IssueKey(now)
		return r.refuse(q.arrival, f)
	case key.Box() != r.box || key.Incarnation() != r.incarnation:
		return r.forward(now, q)
	}
	if entry, ok := r.keys.entries[key]; ok {
		return r.handleRepeated(now, q, entry)
	}
	age := now.Sub(key.IssuedAt())
	switch {
	case age > r.keys.ttl || age < -r.keys.ttl:
		return r.refuse(q.arrival, unknownRefusal(http.StatusConflict, "the key is too old to determine whether the request has run"))
	case r.keys.isFull():
		return r.refuse(q.arrival, notRunRefusal(
			http.StatusServiceUnavailable, "the table of requests that may not be repeated is full", time.Second,
		))
	}
	q.keyed = r.keys.add(q.arrival)
	q.pool.budget.earn(r.settings)
	return r.admit(now, q)
}

// unknownRefusal returns the answer to a request that may have run.
func unknownRefusal(status int, reason string) request.Refusal {
	return request.Refusal{Status: status, Verdict: verdict.MayHaveRun, Reason: reason}
}

// handleRepeated answers another arrival of a request whose key is in the table,
// or attaches it to the first arrival if that has not ended.
func (r *Router) handleRepeated(now time.Time, q *pending, entry *keyedRequest) []effect.Effect {
	switch {
	case entry.digest != q.arrival.Digest:
		return r.refuse(q.arrival, notRunRefusal(http.StatusUnprocessableEntity, "the key belongs to another request", 0))
	case !entry.ended:
		entry.waiters = append(entry.waiters, q.arrival)
		q.keyed, q.state = entry, stageAttached
		r.requests[q.arrival.ID] = q
		return nil
	case entry.result.refusal != nil:
		return r.refuse(q.arrival, *entry.result.refusal)
	default:
		r.count(q.arrival, verdict.Ran, http.StatusOK)
		return []effect.Effect{effect.Deliver{To: q.arrival.ID, From: entry.result.from, Attempt: entry.result.attempt, Retain: true}}
	}
}

// forward sends a request to the box incarnation that issued its key. If that
// cannot be reached, it is unknown whether the request has run.
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

// ForwardEnded handles the end of a request that was forwarded or spilled to
// another box.
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
