// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpclient

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"saddlevane/modules/clock"
	"saddlevane/modules/conntrack"

	"github.com/sourcegraph/conc"
)

// maxLateShare is the share of a call's time, beyond the expected time, by which its answer may be late
// before the call is retried, even if earlier answers were later. It is less than half, because callers
// may act on a missing answer after half of that time.
const maxLateShare = 0.4

// retryableCall is a call that may be retried once. The first answer counts.
type retryableCall struct {
	t         *Transport
	req       *http.Request
	retry     Retry
	startedAt time.Time
	// maxLateness limits how late the answer may be before the call is retried.
	maxLateness time.Duration
	wg          conc.WaitGroup
	// finished receives the tries that have ended.
	finished chan *try
	first    *try
	// second is nil unless the call was retried.
	second *try
}

// doRetryable makes a call and retries it when its answer is overdue.
func (t *Transport) doRetryable(req *http.Request, r Retry) (*http.Response, error) {
	c := &retryableCall{t: t, req: req, retry: r, startedAt: t.settings.Now(), finished: make(chan *try, 2)}
	c.maxLateness = c.latenessLimit()
	defer c.wg.Wait()
	c.first = c.startTry(t.pooled, withoutTransportRetry(req))
	timer := time.NewTimer(r.Expected + c.allowedLateness())
	defer timer.Stop()
	for {
		select {
		case ended := <-c.finished:
			if c.handleTryEnd(ended) {
				return c.finish(ended)
			}
		case <-timer.C:
			c.retryIfOverdue(timer)
		}
	}
}

// withoutTransportRetry returns a request that http.Transport does not retry by itself.
// Otherwise it would retry a read unchanged, with its whole wait, when its connection is
// closed.
func withoutTransportRetry(req *http.Request) *http.Request {
	if req.Body != nil && req.Body != http.NoBody {
		return req
	}
	once := req.WithContext(req.Context())
	once.Body, once.GetBody = io.NopCloser(http.NoBody), nil
	return once
}

// latenessLimit returns the limit of allowedLateness for a call that starts now. Without it, late answers
// to earlier calls could delay the retry until the call times out. A serialized call has no limit: if the
// service is only slow, a retry is served after the first try and delays all later calls.
func (c *retryableCall) latenessLimit() time.Duration {
	deadline, ok := c.req.Context().Deadline()
	if !ok || c.retry.Serialized {
		return math.MaxInt64
	}
	callTime := clock.Until(deadline) - c.retry.Expected
	return max(c.t.settings.MinOverdue, time.Duration(maxLateShare*float64(callTime)))
}

// allowedLateness returns how late the answer may be.
func (c *retryableCall) allowedLateness() time.Duration {
	return min(c.maxLateness, c.t.lateness.allowed(c.t.settings.Now(), c.req.URL.Host))
}

// startTry starts a try on a transport.
func (c *retryableCall) startTry(via *http.Transport, req *http.Request) *try {
	ctx, cancel := context.WithCancel(req.Context())
	y := &try{attempt: c.t.newAttempt(req.WithContext(ctx)), cancel: cancel}
	c.wg.Go(func() {
		y.run(c.t, via)
		c.finished <- y
	})
	return y
}

// retryIfOverdue retries the call if its answer is overdue. Otherwise it sets the timer to when
// the answer will be overdue.
func (c *retryableCall) retryIfOverdue(timer *time.Timer) {
	if c.second != nil {
		return
	}
	if wait := c.first.timeUntilOverdue(c.t.settings.Now(), c.retry, c.allowedLateness()); wait > 0 {
		timer.Reset(wait)
		return
	}
	c.startSecond()
}

// startSecond retries the call on a new connection. It returns false if the body cannot be read
// again.
func (c *retryableCall) startSecond() bool {
	req := c.req.Clone(c.req.Context())
	if c.req.GetBody != nil {
		body, err := c.req.GetBody()
		if err != nil {
			return false
		}
		req.Body = body
	}
	if c.retry.ModifyRetry != nil {
		c.retry.ModifyRetry(req)
	}
	c.second = c.startTry(c.t.fresh, req)
	return true
}

// handleTryEnd records the end of a try and reports whether the call ends with it. The failure
// of a reused connection says nothing about the service, so the call is retried.
func (c *retryableCall) handleTryEnd(ended *try) bool {
	ended.done = true
	if ended.err == nil {
		return true
	}
	c.t.reportUnanswered(ended.attempt, ended.err)
	if c.second == nil {
		_, _, reused := ended.connection()
		if reused && c.req.Context().Err() == nil && c.startSecond() {
			return false
		}
		c.discardIdle(ended)
		return true
	}
	return c.first.done && c.second.done
}

// discardIdle discards the silent connections without a call after a call that was not retried timed
// out on a reused connection. Calls in progress on the others may still be answered.
func (c *retryableCall) discardIdle(ended *try) {
	if conn, sentAt, reused := ended.connection(); reused && errors.Is(ended.err, context.DeadlineExceeded) {
		c.t.reportDiscarded(conn.DiscardOthers(c.t.settings.Now(), sentAt, conntrack.SilentAndIdle))
	}
}

// finish ends the call with the result of a try and cancels the other try.
func (c *retryableCall) finish(ended *try) (*http.Response, error) {
	c.recordResult(ended)
	if ended != c.first {
		c.first.cancel()
	}
	if c.second != nil && ended != c.second {
		c.second.cancel()
	}
	return ended.resp, ended.err
}

// recordResult records how late the answer was and, if the call was retried, on which
// connection it arrived. It discards the first connection if the answer arrived on the second.
func (c *retryableCall) recordResult(ended *try) {
	if ended.err == nil && !ended.mayBeQueued(c.retry) {
		_, sentAt, _ := ended.connection()
		c.t.lateness.recordAnswer(ended.answeredAt, c.req.URL.Host, ended.answeredAt.Sub(sentAt)-c.retry.Expected)
	}
	if c.second == nil {
		return
	}
	answered := OnNeither
	switch {
	case ended.err != nil:
	case ended == c.first:
		answered = OnOld
	default:
		answered = OnNew
		if conn, sentAt, reused := c.first.connection(); reused && !c.first.done {
			c.t.discard(conn, sentAt)
		}
	}
	if report := c.t.settings.Hooks.OnRetry; report != nil {
		report(RetriedCall{
			To: c.t.settings.To, Address: c.req.URL.Host, Call: c.req.URL.Path, AnsweredOn: answered,
			Took: c.t.settings.Now().Sub(c.startedAt),
		})
	}
}
