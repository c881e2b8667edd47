// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"fmt"
	"net/http"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/request"
	"saddlevane/models/verdict"
)

// Arrived handles the arrival of a caller's request: it is sent, queued, spilled
// to another domain or refused.
func (r *Router) Arrived(now time.Time, a request.Arrival) []effect.Effect {
	p, ok := r.pools[a.Pool]
	if !ok || p.retired {
		return r.refuse(a, notRunRefusal(http.StatusNotFound, fmt.Sprintf("no pool %q in force", a.Pool), 0))
	}
	c, ok := p.classes[a.Class]
	if !ok {
		return r.refuse(a, notRunRefusal(http.StatusNotFound, fmt.Sprintf("pool %q has no class %q", a.Pool, a.Class), 0))
	}
	q := &pending{arrival: a, pool: p, class: c, arrivedAt: now, deadline: now.Add(timeBudget(a, c))}
	if !c.spec.Repeatable && !a.Delegated {
		return r.handleKeyed(now, q)
	}
	p.budget.earn(r.settings)
	return r.admit(now, q)
}

// timeBudget returns the time within which a request must be answered.
func timeBudget(a request.Arrival, c *class) time.Duration {
	if a.Budget > 0 {
		return min(a.Budget, c.spec.Deadline)
	}
	return c.spec.Deadline
}

// admit queues a request. If the pool has no targets, the queue is full or the
// request would miss its deadline, it is spilled or refused instead.
func (r *Router) admit(now time.Time, q *pending) []effect.Effect {
	wait := q.pool.expectedWait(now, q.class)
	late := wait + q.class.minTimeLeft() - q.deadline.Sub(now)
	switch {
	case len(q.pool.targets) == 0:
		return r.spill(now, q, notRunRefusal(http.StatusServiceUnavailable, "the pool has no targets in this failure domain", time.Second))
	case q.class.waiting >= q.class.spec.Queue:
		return r.spill(now, q, notRunRefusal(http.StatusServiceUnavailable, "the queue is full", max(wait, r.policy.MinRetryAfter)))
	case r.policy.RefuseLate && late > 0:
		return r.spill(now, q, notRunRefusal(
			http.StatusServiceUnavailable, "the request would wait past its deadline", max(late, r.policy.MinRetryAfter),
		))
	}
	r.requests[q.arrival.ID] = q
	q.state = stageWaiting
	q.class.push(q)
	effects := r.dispatch(now, q.pool)
	q.class.backlog.update(now, q.class.waiting)
	return effects
}

// drop refuses a request and removes its key, if it has one. If an earlier attempt
// may have run, the answer reports this and the key is kept.
func (r *Router) drop(now time.Time, q *pending, f request.Refusal) []effect.Effect {
	if q.mayHaveRun {
		return r.completeUnknown(q, f.Reason)
	}
	waiters := []request.Arrival{q.arrival}
	if q.keyed != nil {
		waiters = r.keys.remove(q.keyed)
	}
	delete(r.requests, q.arrival.ID)
	var effects []effect.Effect
	for _, a := range waiters {
		delete(r.requests, a.ID)
		effects = append(effects, r.refuse(a, f)...)
	}
	return effects
}

// refuse counts a refused request and returns the effect that sends the refusal.
func (r *Router) refuse(a request.Arrival, f request.Refusal) []effect.Effect {
	r.count(a, f.Verdict, f.Status)
	return []effect.Effect{effect.Refuse{To: a.ID, Refusal: f}}
}

// count increments the counter of ended requests with the request's pool and class.
func (r *Router) count(a request.Arrival, v verdict.Verdict, status int) {
	if _, known := r.pools[a.Pool]; !known {
		// Callers choose these names, so a counter per unknown name would let them
		// consume any amount of memory.
		a.Pool, a.Class = "", ""
	} else if _, known := r.pools[a.Pool].classes[a.Class]; !known {
		a.Class = ""
	}
	r.counts[CountKey{Pool: a.Pool, Class: a.Class, Verdict: v, Status: status}]++
}

// Counts returns the number of ended requests by pool, class, verdict and status.
// The caller must not modify it.
func (r *Router) Counts() map[CountKey]int64 { return r.counts }

// notRunRefusal returns the answer to a request that was not run.
func notRunRefusal(status int, reason string, retryAfter time.Duration) request.Refusal {
	return request.Refusal{Status: status, Verdict: verdict.NotRun, Reason: reason, RetryAfter: retryAfter}
}

// refuseWaiting refuses all waiting requests of a pool.
func (r *Router) refuseWaiting(now time.Time, p *pool, reason string) []effect.Effect {
	var effects []effect.Effect
	for _, c := range p.byPriority {
		for q := c.pop(); q != nil; q = c.pop() {
			effects = append(effects, r.drop(now, q, notRunRefusal(http.StatusServiceUnavailable, reason, time.Second))...)
		}
	}
	return effects
}
