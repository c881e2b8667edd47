// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package routing decides which target serves a caller's request, when, and
// what waits or is refused. It is a reducer: it is told what happened and the
// present time, and returns what to do.
package routing

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/request"
	"saddlevane/models/spec"
	"saddlevane/models/verdict"
	"saddlevane/modules/ordered"
)

// Settings bound a Router.
type Settings struct {
	// KeyTTL is how long a key, and what became of its request, is remembered.
	KeyTTL time.Duration
	// MaxKeys is how many keyed requests are remembered.
	MaxKeys int
	// RetryRatio is how many retries each fresh request pays for.
	RetryRatio float64
	// RetryBurst is how many retries can be saved up.
	RetryBurst float64
	// EjectAfter is how many failures in a row eject a target.
	EjectAfter int
	// EjectFor is how long a target is first ejected for; it doubles up to
	// EjectMost.
	EjectFor  time.Duration
	EjectMost time.Duration
	// LeastAttempt is the least time that an attempt at a repeatable request is
	// given before another target is tried.
	LeastAttempt time.Duration
}

// Router is the state. It is not safe for concurrent use.
type Router struct {
	settings Settings
	policy   Policy
	box      string
	// incarnation tells this life of the box from the next.
	incarnation string
	pools       map[string]*pool
	requests    map[request.ID]*pending
	keys        *keyTable
	live        []string
	peers       map[string]Peer
	neighbours  neighbours
	counts      map[CountKey]int64
}

// CountKey labels a counter of ended requests.
type CountKey struct {
	Pool    string
	Class   string
	Verdict verdict.Verdict
	Status  int
}

// Peer is another entry box that requests can be passed on to.
type Peer struct {
	Box         string
	Incarnation string
	Address     string
}

// Target is a target as the platform's list shows it.
type Target struct {
	Name    string
	Address string
	Pool    string
	Leaving bool
}

// New returns a Router that knows no pools. newKey returns the next unique,
// time-ordered identifier for a given time.
func New(s Settings, p Policy, box, incarnation string, newKey func(now time.Time) ulid.ULID) *Router {
	return &Router{
		settings: s, policy: p, box: box, incarnation: incarnation,
		pools: map[string]*pool{}, requests: map[request.ID]*pending{},
		keys: newKeyTable(s.MaxKeys, s.KeyTTL, newKey), peers: map[string]Peer{},
		counts: map[CountKey]int64{},
	}
}

// pending is one arrival that has not had its answer.
type pending struct {
	arrival   request.Arrival
	pool      *pool
	class     *class
	arrivedAt time.Time
	deadline  time.Time
	attempt   int
	target    *target
	sentAt    time.Time
	state     stage
	abandoned bool
	// maybe says that an attempt may have run, which no later attempt undoes.
	maybe bool
	keyed *keyed
	// neighbour has the request, if it was spilled; refusal is what is answered if
	// that has no room either.
	neighbour Neighbour
	refusal   request.Refusal
}

// stage is where a pending request stands.
type stage string

const (
	stageWaiting   stage = "waiting"
	stageSent      stage = "sent"
	stageForwarded stage = "forwarded"
	stageSpilled   stage = "spilled"
	stageAttached  stage = "attached"
	stageEnded     stage = "ended"
)

// SetPools takes the pools in force.
func (r *Router) SetPools(now time.Time, pools map[string]spec.Pool) []effect.Effect {
	for name, p := range pools {
		if r.pools[name] == nil {
			r.pools[name] = newPool(name)
		}
		r.pools[name].setSpec(p)
	}
	var effects []effect.Effect
	for name, p := range ordered.Map(r.pools) {
		if _, stays := pools[name]; !stays && !p.retired {
			p.retired = true
			effects = append(effects, r.refuseWaiting(now, p, "the pool is no longer in force")...)
		}
	}
	r.shareSlots()
	return effects
}

// SetTargets takes the targets of the own domain.
func (r *Router) SetTargets(now time.Time, targets []Target) []effect.Effect {
	listed := map[string]map[string]Target{}
	for _, t := range targets {
		if listed[t.Pool] == nil {
			listed[t.Pool] = map[string]Target{}
		}
		listed[t.Pool][t.Name] = t
	}
	for name, p := range r.pools {
		p.setTargets(listed[name])
	}
	r.shareSlots()
	return r.dispatchAll(now)
}

// SetPeers takes the entry boxes of the own domain that take work, this one
// included, and how to reach the others.
func (r *Router) SetPeers(now time.Time, live []string, peers []Peer) []effect.Effect {
	r.peers = make(map[string]Peer, len(peers))
	for _, p := range peers {
		r.peers[p.Box] = p
	}
	if slices.Equal(live, r.live) {
		return nil
	}
	r.live = slices.Clone(live)
	r.shareSlots()
	return r.dispatchAll(now)
}

func (r *Router) shareSlots() {
	for _, p := range r.pools {
		for _, t := range p.targets {
			t.limit = r.policy.Share(t.name, p.spec.Slots, r.box, r.live)
		}
	}
}

// Idle says whether no request is unanswered.
func (r *Router) Idle() bool { return len(r.requests) == 0 }

// Arrived takes a caller's request.
func (r *Router) Arrived(now time.Time, a request.Arrival) []effect.Effect {
	p, ok := r.pools[a.Pool]
	if !ok || p.retired {
		return r.refuse(now, a, refusal(http.StatusNotFound, fmt.Sprintf("no pool %q in force", a.Pool), 0))
	}
	c, ok := p.classes[a.Class]
	if !ok {
		return r.refuse(now, a, refusal(http.StatusNotFound, fmt.Sprintf("pool %q has no class %q", a.Pool, a.Class), 0))
	}
	q := &pending{arrival: a, pool: p, class: c, arrivedAt: now, deadline: now.Add(budgetOf(a, c))}
	if !c.spec.Repeatable && !a.Delegated {
		return r.arrivedKeyed(now, q)
	}
	p.budget.earn(r.settings)
	return r.admit(now, q)
}

func budgetOf(a request.Arrival, c *class) time.Duration {
	if a.Budget > 0 {
		return min(a.Budget, c.spec.Deadline)
	}
	return c.spec.Deadline
}

// admit queues a request, or refuses it if it would surely wait too long.
func (r *Router) admit(now time.Time, q *pending) []effect.Effect {
	wait := q.pool.expectedWait(now, q.class)
	late := wait + q.class.needs() - q.deadline.Sub(now)
	switch {
	case len(q.pool.targets) == 0:
		return r.spill(now, q, refusal(http.StatusServiceUnavailable, "the pool has no targets here", time.Second))
	case q.class.waiting >= q.class.spec.Queue:
		return r.spill(now, q, refusal(http.StatusServiceUnavailable, "the queue is full", max(wait, r.policy.LeastRetry)))
	case r.policy.Early && late > 0:
		return r.spill(now, q, refusal(http.StatusServiceUnavailable, "it would wait past its deadline", max(late, r.policy.LeastRetry)))
	}
	r.requests[q.arrival.ID] = q
	q.state = stageWaiting
	q.class.push(q)
	effects := r.dispatch(now, q.pool)
	q.class.backlog.note(now, q.class.waiting)
	return effects
}

// drop refuses a request that waits and undoes its key, unless an earlier
// attempt may have run: then the answer says that.
func (r *Router) drop(now time.Time, q *pending, f request.Refusal) []effect.Effect {
	if q.maybe {
		return r.endUnknown(q, f.Reason)
	}
	waiters := []request.Arrival{q.arrival}
	if q.keyed != nil {
		waiters = r.keys.forget(q.keyed)
	}
	delete(r.requests, q.arrival.ID)
	var effects []effect.Effect
	for _, a := range waiters {
		delete(r.requests, a.ID)
		effects = append(effects, r.refuse(now, a, f)...)
	}
	return effects
}

func (r *Router) refuse(_ time.Time, a request.Arrival, f request.Refusal) []effect.Effect {
	r.count(a, f.Verdict, f.Status)
	return []effect.Effect{effect.Refuse{To: a.ID, Refusal: f}}
}

func (r *Router) count(a request.Arrival, v verdict.Verdict, status int) {
	if _, known := r.pools[a.Pool]; !known {
		// Callers choose these names; counting them would let callers grow memory.
		a.Pool, a.Class = "", ""
	} else if _, known := r.pools[a.Pool].classes[a.Class]; !known {
		a.Class = ""
	}
	r.counts[CountKey{Pool: a.Pool, Class: a.Class, Verdict: v, Status: status}]++
}

// Counts returns how many requests ended, by what became of them. It must not
// be changed.
func (r *Router) Counts() map[CountKey]int64 { return r.counts }

func refusal(status int, reason string, retryAfter time.Duration) request.Refusal {
	return request.Refusal{Status: status, Verdict: verdict.NotRun, Reason: reason, RetryAfter: retryAfter}
}

func (r *Router) refuseWaiting(now time.Time, p *pool, reason string) []effect.Effect {
	var effects []effect.Effect
	for _, c := range p.order {
		for q := c.pop(); q != nil; q = c.pop() {
			effects = append(effects, r.drop(now, q, refusal(http.StatusServiceUnavailable, reason, time.Second))...)
		}
	}
	return effects
}

func (r *Router) dispatchAll(now time.Time) []effect.Effect {
	var effects []effect.Effect
	for _, name := range sortedNames(r.pools) {
		effects = append(effects, r.dispatch(now, r.pools[name])...)
	}
	return effects
}

// dispatch sends waiting requests while targets have free slots.
func (r *Router) dispatch(now time.Time, p *pool) []effect.Effect {
	var effects []effect.Effect
	for {
		effects = append(effects, r.expire(now, p)...)
		c := p.nextClass(r.policy.Ordered)
		if c == nil {
			return effects
		}
		t := p.pick(now, c, r.policy)
		if t == nil {
			return effects
		}
		effects = append(effects, r.send(now, c.pop(), t))
		c.backlog.sent++
		c.backlog.note(now, c.waiting)
	}
}

func (r *Router) send(now time.Time, q *pending, t *target) effect.Effect {
	q.attempt++
	q.target, q.sentAt, q.state = t, now, stageSent
	t.inflight++
	t.probing = t.probing || t.ejected()
	return effect.SendRequest{
		ID: q.arrival.ID, Attempt: q.attempt, Target: t.name, Address: t.address,
		Timeout: r.attemptTimeout(now, q), Connections: r.policy.Share(t.name, q.pool.spec.Connections, r.box, r.live),
	}
}

// attemptTimeout gives a request that may be repeated only so long at one
// target that another can still be tried.
func (r *Router) attemptTimeout(now time.Time, q *pending) time.Duration {
	left := q.deadline.Sub(now)
	if !q.class.spec.Repeatable {
		return left
	}
	usual := max(r.policy.PatienceFactor*q.class.service.mean(), r.settings.LeastAttempt)
	// A request may simply take long, so each further attempt gets more time.
	return min(left, usual<<min(2*(q.attempt-1), maxDoublings))
}

// expire answers waiting requests that can no longer be served in time.
func (r *Router) expire(now time.Time, p *pool) []effect.Effect {
	var effects []effect.Effect
	for _, c := range p.order {
		needs := time.Duration(0)
		if r.policy.Early {
			needs = c.needs()
		}
		for q := c.peek(); q != nil && q.deadline.Sub(now) <= needs; q = c.peek() {
			c.pop()
			f := refusal(http.StatusServiceUnavailable, "it would not end before its deadline", max(p.expectedWait(now, c), r.policy.LeastRetry))
			effects = append(effects, r.drop(now, q, f)...)
		}
	}
	return effects
}

// Abandoned takes the word that a caller has left.
func (r *Router) Abandoned(now time.Time, id request.ID) []effect.Effect {
	q, ok := r.requests[id]
	if !ok {
		return nil
	}
	q.abandoned = true
	if q.state != stageWaiting || (q.keyed != nil && len(q.keyed.waiters) > 1) {
		return nil
	}
	q.state = stageEnded
	q.class.abandon()
	return r.drop(now, q, refusal(statusCallerLeft, "the caller left", 0))
}

// statusCallerLeft is counted for callers that left; nobody receives it.
const statusCallerLeft = 499

// Answered takes the end of an attempt.
func (r *Router) Answered(now time.Time, e event.TargetAnswered) []effect.Effect {
	q, ok := r.requests[e.ID]
	if !ok || q.state != stageSent || q.attempt != e.Attempt {
		return nil
	}
	t := q.target
	t.inflight--
	t.ended(now, e, r.settings)
	q.maybe = q.maybe || e.Verdict == verdict.MayHaveRun
	var effects []effect.Effect
	switch {
	case e.Verdict == verdict.Ran:
		q.class.service.add(now.Sub(q.sentAt))
		effects = r.deliver(q)
	case r.mayRetry(now, q, e):
		q.state = stageWaiting
		q.class.push(q)
	default:
		effects = r.giveUp(now, q, e)
	}
	return append(effects, r.dispatch(now, q.pool)...)
}

// mayRetry says whether a failed attempt is followed by another. A request that
// was not run can be sent again whatever its class; one that may have run only
// if it may be repeated. Both draw on the pool's budget, so that an outage is
// not made worse by retries.
func (r *Router) mayRetry(now time.Time, q *pending, e event.TargetAnswered) bool {
	if q.abandoned || !now.Before(q.deadline) || q.pool.retired {
		return false
	}
	if e.Verdict == verdict.MayHaveRun && !q.class.spec.Repeatable {
		return false
	}
	return q.pool.budget.spend()
}

func (r *Router) giveUp(now time.Time, q *pending, e event.TargetAnswered) []effect.Effect {
	wait := max(q.pool.expectedWait(now, q.class), r.policy.LeastRetry)
	return r.drop(now, q, refusal(http.StatusServiceUnavailable, e.Reason, wait))
}

// endUnknown answers a request that may have run.
func (r *Router) endUnknown(q *pending, reason string) []effect.Effect {
	f := unknown(http.StatusBadGateway, reason)
	return r.end(q, func(a request.Arrival) effect.Effect {
		r.count(a, f.Verdict, f.Status)
		return effect.Refuse{To: a.ID, Refusal: f}
	}, keptEnd{refusal: &f})
}

func (r *Router) deliver(q *pending) []effect.Effect {
	waited := q.sentAt.Sub(q.arrivedAt)
	return r.end(q, func(a request.Arrival) effect.Effect {
		r.count(a, verdict.Ran, http.StatusOK)
		return effect.Deliver{To: a.ID, From: q.arrival.ID, Attempt: q.attempt, Waited: waited, Keep: q.keyed != nil}
	}, keptEnd{from: q.arrival.ID, attempt: q.attempt})
}

// end answers a request and everyone who asked for the same one, and keeps what
// became of it if it has a key.
func (r *Router) end(q *pending, answer func(request.Arrival) effect.Effect, kept keptEnd) []effect.Effect {
	q.state = stageEnded
	waiters := []request.Arrival{q.arrival}
	if q.keyed != nil {
		waiters = r.keys.end(q.keyed, kept)
	}
	delete(r.requests, q.arrival.ID)
	var effects []effect.Effect
	for _, a := range waiters {
		delete(r.requests, a.ID)
		effects = append(effects, answer(a))
	}
	if q.keyed == nil {
		effects = append(effects, effect.Forget{ID: q.arrival.ID})
	}
	return effects
}

// Tick expires what has waited too long and forgets old keys.
func (r *Router) Tick(now time.Time) []effect.Effect {
	effects := r.dispatchAll(now)
	for _, id := range r.keys.expire(now) {
		effects = append(effects, effect.Forget{ID: id})
	}
	return effects
}

func sortedNames[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}
