// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpclient

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

// retryableCall is a call that may be made again: two tries at most, of which the first answer
// counts.
type retryableCall struct {
	t         *Transport
	req       *http.Request
	retry     Retry
	startedAt time.Time
	wg        conc.WaitGroup
	// ended has the tries that are over.
	finished chan *try
	first    *try
	// second is nil unless the call was made again.
	second *try
}

// doRetryable makes a call, and makes it again when its answer is overdue.
func (t *Transport) doRetryable(req *http.Request, r Retry) (*http.Response, error) {
	c := &retryableCall{t: t, req: req, retry: r, startedAt: t.settings.Now(), finished: make(chan *try, 2)}
	defer c.wg.Wait()
	c.first = c.startTry(t.pooled, withoutTransportRetry(req))
	timer := time.NewTimer(r.Expected + c.allowedLateness())
	defer timer.Stop()
	for {
		select {
		case done := <-c.finished:
			if c.handleTryEnd(done) {
				return c.finish(done)
			}
		case <-timer.C:
			c.retryIfOverdue(timer)
		}
	}
}

// withoutTransportRetry returns the request so that the transport does not make it again by itself.
// Once its connection is closed it would make a read again as it was, with its whole wait.
func withoutTransportRetry(req *http.Request) *http.Request {
	if req.Body != nil && req.Body != http.NoBody {
		return req
	}
	once := req.WithContext(req.Context())
	once.Body, once.GetBody = io.NopCloser(http.NoBody), nil
	return once
}

// allowedLateness returns how late the answer may be.
func (c *retryableCall) allowedLateness() time.Duration {
	return c.t.lateness.allowed(c.t.settings.Now(), c.req.URL.Host)
}

// startTry makes a try.
func (c *retryableCall) startTry(on *http.Transport, req *http.Request) *try {
	ctx, cancel := context.WithCancel(req.Context())
	y := &try{attempt: c.t.newAttempt(req.WithContext(ctx)), cancel: cancel}
	c.wg.Go(func() {
		y.run(c.t, on)
		c.finished <- y
	})
	return y
}

// retryIfOverdue makes the call again if its answer is overdue, else sets the timer for when it
// will be.
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

// startSecond makes the call on a connection opened for it. It returns false if it cannot.
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

// handleTryEnd takes the end of a try and says whether the call ends with it. A connection
// that failed says nothing of the service if it had carried other calls before.
func (c *retryableCall) handleTryEnd(done *try) bool {
	done.done = true
	if done.err == nil {
		return true
	}
	c.t.reportUnanswered(done.attempt, done.err)
	if c.second == nil {
		_, _, reused := done.connection()
		return !reused || c.req.Context().Err() != nil || !c.startSecond()
	}
	return c.first.done && c.second.done
}

// finish ends the call with the end of a try.
func (c *retryableCall) finish(done *try) (*http.Response, error) {
	c.recordResult(done)
	if done != c.first {
		c.first.cancel()
	}
	if c.second != nil && done != c.second {
		c.second.cancel()
	}
	return done.resp, done.err
}

// recordResult draws the conclusions: from how late the answer was, and on which connection it
// came.
func (c *retryableCall) recordResult(done *try) {
	if done.err == nil && !done.mayBeQueued(c.retry) {
		_, sentAt, _ := done.connection()
		c.t.lateness.recordAnswer(done.answeredAt, c.req.URL.Host, done.answeredAt.Sub(sentAt)-c.retry.Expected)
	}
	if c.second == nil {
		return
	}
	answered := OnNeither
	switch {
	case done.err != nil:
	case done == c.first:
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
