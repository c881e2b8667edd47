// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package routing decides which target serves a caller's request, when, and
// what waits or is refused. It is a reducer: it is told what happened and the
// present time, and returns what to do.
package routing

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/request"
	"saddlevane/models/spec"
	"saddlevane/models/verdict"
	"saddlevane/modules/ordered"

	"github.com/oklog/ulid/v2"
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
	// MaxEjectFor.
	EjectFor    time.Duration
	MaxEjectFor time.Duration
	// MinAttemptTimeout is the least time that an attempt at a repeatable request is
	// given before another target is tried.
	MinAttemptTimeout time.Duration
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
	liveBoxes   []string
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
	mayHaveRun bool
	keyed      *keyedRequest
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
	if slices.Equal(live, r.liveBoxes) {
		return nil
	}
	r.liveBoxes = slices.Clone(live)
	r.shareSlots()
	return r.dispatchAll(now)
}

func (r *Router) shareSlots() {
	for _, p := range r.pools {
		for _, t := range p.targets {
			t.limit = r.policy.Share(t.name, p.spec.Slots, r.box, r.liveBoxes)
		}
	}
}

// IsIdle says whether no request is unanswered.
func (r *Router) IsIdle() bool { return len(r.requests) == 0 }

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
		c := p.nextClass(r.policy.ByPriority)
		if c == nil {
			return effects
		}
		t := p.pickTarget(now, c, r.policy)
		if t == nil {
			return effects
		}
		effects = append(effects, r.send(now, c.pop(), t))
		c.backlog.sent++
		c.backlog.update(now, c.waiting)
	}
}

func (r *Router) send(now time.Time, q *pending, t *target) effect.Effect {
	q.attempt++
	q.target, q.sentAt, q.state = t, now, stageSent
	t.inflight++
	t.probing = t.probing || t.isEjected()
	return effect.SendRequest{
		ID: q.arrival.ID, Attempt: q.attempt, Target: t.name, Address: t.address,
		Timeout: r.attemptTimeout(now, q), Connections: r.policy.Share(t.name, q.pool.spec.Connections, r.box, r.liveBoxes),
	}
}

// attemptTimeout gives a request that may be repeated only so long at one
// target that another can still be tried.
func (r *Router) attemptTimeout(now time.Time, q *pending) time.Duration {
	left := q.deadline.Sub(now)
	if !q.class.spec.Repeatable {
		return left
	}
	usual := max(r.policy.AttemptTimeoutFactor*q.class.serviceTime.mean(), r.settings.MinAttemptTimeout)
	// A request may simply take long, so each further attempt gets more time.
	return min(left, usual<<min(2*(q.attempt-1), maxDoublings))
}

// expire answers waiting requests that can no longer be served in time.
func (r *Router) expire(now time.Time, p *pool) []effect.Effect {
	var effects []effect.Effect
	for _, c := range p.byPriority {
		needs := time.Duration(0)
		if r.policy.RefuseLate {
			needs = c.minTimeLeft()
		}
		for q := c.peek(); q != nil && q.deadline.Sub(now) <= needs; q = c.peek() {
			c.pop()
			f := notRunRefusal(http.StatusServiceUnavailable, "it would not end before its deadline", max(p.expectedWait(now, c), r.policy.MinRetryAfter))
			effects = append(effects, r.drop(now, q, f)...)
		}
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
