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

// Abandoned handles the disconnection of a request's caller. The request is
// dropped only if it has not been sent and no other arrival waits for its answer.
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
	return r.drop(now, q, notRunRefusal(statusCallerLeft, "the caller disconnected", 0))
}

// statusCallerLeft is the status under which requests of disconnected callers are
// counted. It is never received, because the callers are no longer connected.
const statusCallerLeft = 499

// Answered handles the end of an attempt: the request is answered, retried or
// refused, and the freed slot is used for the next waiting request.
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

// mayRetry reports whether a failed attempt is followed by another, and if so
// takes a token from the pool's retry budget. A request that was not run can be
// sent again whatever its class; one that may have run only if its class is
// repeatable. The budget keeps retries from making an outage worse.
func (r *Router) mayRetry(now time.Time, q *pending, e event.TargetAnswered) bool {
	if q.abandoned || !now.Before(q.deadline) || q.pool.retired {
		return false
	}
	if e.Verdict == verdict.MayHaveRun && !q.class.spec.Repeatable {
		return false
	}
	return q.pool.budget.spend()
}

// refuseAfterFailure refuses a request whose last attempt failed, with the failure as
// the reason.
func (r *Router) refuseAfterFailure(now time.Time, q *pending, e event.TargetAnswered) []effect.Effect {
	wait := max(q.pool.expectedWait(now, q.class), r.policy.MinRetryAfter)
	return r.drop(now, q, notRunRefusal(http.StatusServiceUnavailable, e.Reason, wait))
}

// completeUnknown answers that the request may have run.
func (r *Router) completeUnknown(q *pending, reason string) []effect.Effect {
	f := unknownRefusal(http.StatusBadGateway, reason)
	return r.complete(q, func(a request.Arrival) effect.Effect {
		r.count(a, f.Verdict, f.Status)
		return effect.Refuse{To: a.ID, Refusal: f}
	}, storedResult{refusal: &f})
}

// deliver answers a request with the response of its current attempt.
func (r *Router) deliver(q *pending) []effect.Effect {
	waited := q.sentAt.Sub(q.arrivedAt)
	return r.complete(q, func(a request.Arrival) effect.Effect {
		r.count(a, verdict.Ran, http.StatusOK)
		return effect.Deliver{To: a.ID, From: q.arrival.ID, Attempt: q.attempt, Waited: waited, Retain: q.keyed != nil}
	}, storedResult{from: q.arrival.ID, attempt: q.attempt})
}

// complete answers a request and all attached arrivals with the same key. The
// result of a keyed request is stored in the key table.
func (r *Router) complete(q *pending, answer func(request.Arrival) effect.Effect, result storedResult) []effect.Effect {
	q.state = stageEnded
	waiters := []request.Arrival{q.arrival}
	if q.keyed != nil {
		waiters = r.keys.complete(q.keyed, result)
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
