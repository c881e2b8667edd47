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
)

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
	q.class.countAbandoned()
	return r.drop(now, q, notRunRefusal(statusCallerLeft, "the caller left", 0))
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
	t.recordAttempt(now, e, r.settings)
	q.mayHaveRun = q.mayHaveRun || e.Verdict == verdict.MayHaveRun
	var effects []effect.Effect
	switch {
	case e.Verdict == verdict.Ran:
		q.class.serviceTime.add(now.Sub(q.sentAt))
		effects = r.deliver(q)
	case r.mayRetry(now, q, e):
		q.state = stageWaiting
		q.class.push(q)
	default:
		effects = r.refuseAfterFailure(now, q, e)
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

func (r *Router) refuseAfterFailure(now time.Time, q *pending, e event.TargetAnswered) []effect.Effect {
	wait := max(q.pool.expectedWait(now, q.class), r.policy.MinRetryAfter)
	return r.drop(now, q, notRunRefusal(http.StatusServiceUnavailable, e.Reason, wait))
}

// completeUnknown answers a request that may have run.
func (r *Router) completeUnknown(q *pending, reason string) []effect.Effect {
	f := unknownRefusal(http.StatusBadGateway, reason)
	return r.complete(q, func(a request.Arrival) effect.Effect {
		r.count(a, f.Verdict, f.Status)
		return effect.Refuse{To: a.ID, Refusal: f}
	}, keptResult{refusal: &f})
}

func (r *Router) deliver(q *pending) []effect.Effect {
	waited := q.sentAt.Sub(q.arrivedAt)
	return r.complete(q, func(a request.Arrival) effect.Effect {
		r.count(a, verdict.Ran, http.StatusOK)
		return effect.Deliver{To: a.ID, From: q.arrival.ID, Attempt: q.attempt, Waited: waited, Retain: q.keyed != nil}
	}, keptResult{from: q.arrival.ID, attempt: q.attempt})
}

// complete answers a request and everyone who asked for the same one, and keeps what
// became of it if it has a key.
func (r *Router) complete(q *pending, answer func(request.Arrival) effect.Effect, kept keptResult) []effect.Effect {
	q.state = stageEnded
	waiters := []request.Arrival{q.arrival}
	if q.keyed != nil {
		waiters = r.keys.complete(q.keyed, kept)
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
