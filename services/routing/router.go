// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package routing decides which target serves a caller's request, and which
// requests wait or are refused. It is a reducer: each call takes an event and
// the current time, and returns the effects to carry out.
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

// Settings holds the limits of a Router.
type Settings struct {
	// KeyTTL is how long a key and the result of its request are remembered.
	KeyTTL time.Duration
	// MaxKeys is the maximum number of keyed requests that are remembered.
	MaxKeys int
	// RetryRatio is the number of retries that each new request adds to the
	// retry budget of its pool.
	RetryRatio float64
	// RetryBurst is the maximum size of the retry budget, in retries.
	RetryBurst float64
	// EjectAfter is the number of consecutive failures after which a target is
	// ejected.
	EjectAfter int
	// EjectFor is the duration of a target's first ejection. It doubles with
	// each further failure, up to MaxEjectFor.
	EjectFor    time.Duration
	MaxEjectFor time.Duration
	// MinAttemptTimeout is the minimum timeout of an attempt at a repeatable
	// request, after which another target is tried.
	MinAttemptTimeout time.Duration
}

// Router holds the pools, the targets and the unanswered requests of one entry
// box. It is not safe for concurrent use.
type Router struct {
	settings Settings
	policy   Policy
	box      string
	// incarnation changes whenever the process of the box restarts.
	incarnation string
	pools       map[string]*pool
	requests    map[request.ID]*pending
	keys        *keyTable
	liveBoxes   []string
	peers       map[string]Peer
	neighbours  neighbours
	counts      map[CountKey]int64
}

// CountKey holds the labels of a counter of ended requests.
type CountKey struct {
	Pool    string
	Class   string
	Verdict verdict.Verdict
	Status  int
}

// Peer is another entry box of the same domain, to which requests can be
// forwarded.
type Peer struct {
	Box         string
	Incarnation string
	Address     string
}

// Target is an entry of the platform's list of targets.
type Target struct {
	Name    string
	Address string
	Pool    string
	Leaving bool
}

// New returns a Router without pools. newKey returns the next unique,
// time-ordered identifier for a given time.
func New(s Settings, p Policy, box, incarnation string, newKey func(now time.Time) ulid.ULID) *Router {
	return &Router{
		settings: s, policy: p, box: box, incarnation: incarnation,
		pools: map[string]*pool{}, requests: map[request.ID]*pending{},
		keys: newKeyTable(s.MaxKeys, s.KeyTTL, newKey), peers: map[string]Peer{},
		counts: map[CountKey]int64{},
	}
}

// pending is a request that has not been answered.
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
	// mayHaveRun reports whether any attempt may have run. Once set it stays
	// set, whatever the verdict of later attempts.
	mayHaveRun bool
	keyed      *keyedRequest
	// neighbour is the box to which the request was spilled, if it was. refusal
	// is the answer to the caller if the neighbour does not run the request.
	neighbour Neighbour
	refusal   request.Refusal
}

// stage is the processing stage of a pending request.
type stage string

const (
	stageWaiting   stage = "waiting"
	stageSent      stage = "sent"
	stageForwarded stage = "forwarded"
	stageSpilled   stage = "spilled"
	stageAttached  stage = "attached"
	stageEnded     stage = "ended"
)

// SetPools replaces the pools. Waiting requests of removed pools are refused.
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

// SetTargets replaces the targets, which are those of the box's own domain.
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

// SetPeers replaces the entry boxes of the own domain. live names those that
// accept work, including this one; peers holds the addresses of the others.
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

// shareSlots sets the limit of each target to this box's share of the target's slots.
func (r *Router) shareSlots() {
	for _, p := range r.pools {
		for _, t := range p.targets {
			t.limit = r.policy.Share(t.name, p.spec.Slots, r.box, r.liveBoxes)
		}
	}
}

// IsIdle reports whether all requests have been answered.
func (r *Router) IsIdle() bool { return len(r.requests) == 0 }

// dispatchAll dispatches the waiting requests of all pools, in the order of their names.
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

// send starts the next attempt at a request and returns the effect that sends it to t.
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

// attemptTimeout returns the timeout of the current attempt. A request that may
// be repeated gets only a part of its remaining time, so that another target can
// still be tried.
func (r *Router) attemptTimeout(now time.Time, q *pending) time.Duration {
	left := q.deadline.Sub(now)
	if !q.class.spec.Repeatable {
		return left
	}
	base := max(r.policy.AttemptTimeoutFactor*q.class.serviceTime.mean(), r.settings.MinAttemptTimeout)
	// The timeout quadruples with each attempt, because the request itself may be
	// slow.
	return min(left, base<<min(2*(q.attempt-1), maxDoublings))
}

// expire refuses waiting requests that can no longer be served before their
// deadlines.
func (r *Router) expire(now time.Time, p *pool) []effect.Effect {
	var effects []effect.Effect
	for _, c := range p.byPriority {
		minLeft := time.Duration(0)
		if r.policy.RefuseLate {
			minLeft = c.minTimeLeft()
		}
		for q := c.peek(); q != nil && q.deadline.Sub(now) <= minLeft; q = c.peek() {
			c.pop()
			f := notRunRefusal(
				http.StatusServiceUnavailable, "the request would not finish before its deadline",
				max(p.expectedWait(now, c), r.policy.MinRetryAfter),
			)
			effects = append(effects, r.drop(now, q, f)...)
		}
	}
	return effects
}

// Tick sends waiting requests to free targets, refuses those that can no longer
// meet their deadlines and removes expired keys.
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
