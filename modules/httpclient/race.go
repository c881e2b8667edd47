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

// race is a call that may be made again: two tries at most, of which the first answer
// counts.
type race struct {
	t      *Transport
	req    *http.Request
	repeat Repeat
	began  time.Time
	tasks  conc.WaitGroup
	// ended has the tries that are over.
	ended chan *try
	first *try
	// second is nil unless the call was made again.
	second *try
}

// race makes a call, and makes it again when its answer is overdue.
func (t *Transport) race(req *http.Request, r Repeat) (*http.Response, error) {
	c := &race{t: t, req: req, repeat: r, began: t.settings.Now(), ended: make(chan *try, 2)}
	defer c.tasks.Wait()
	c.first = c.begin(t.kept, onlyOnce(req))
	timer := time.NewTimer(r.Expected + c.late())
	defer timer.Stop()
	for {
		select {
		case done := <-c.ended:
			if c.decides(done) {
				return c.finish(done)
			}
		case <-timer.C:
			c.check(timer)
		}
	}
}

// onlyOnce returns the request so that the transport does not make it again by itself.
// Once its connection is closed it would make a read again as it was, with its whole wait.
func onlyOnce(req *http.Request) *http.Request {
	if req.Body != nil && req.Body != http.NoBody {
		return req
	}
	once := req.WithContext(req.Context())
	once.Body, once.GetBody = io.NopCloser(http.NoBody), nil
	return once
}

// late returns how late the answer may be.
func (c *race) late() time.Duration {
	return c.t.pace.allowed(c.t.settings.Now(), c.req.URL.Host)
}

// begin makes a try.
func (c *race) begin(on *http.Transport, req *http.Request) *try {
	ctx, cancel := context.WithCancel(req.Context())
	y := &try{attempt: c.t.newAttempt(req.WithContext(ctx)), cancel: cancel}
	c.tasks.Go(func() {
		y.make(c.t, on)
		c.ended <- y
	})
	return y
}

// check makes the call again if its answer is overdue, else sets the timer for when it
// will be.
func (c *race) check(timer *time.Timer) {
	if c.second != nil {
		return
	}
	if wait := c.first.dueIn(c.t.settings.Now(), c.repeat, c.late()); wait > 0 {
		timer.Reset(wait)
		return
	}
	c.again()
}

// again makes the call on a connection opened for it. It returns false if it cannot.
func (c *race) again() bool {
	req := c.req.Clone(c.req.Context())
	if c.req.GetBody != nil {
		body, err := c.req.GetBody()
		if err != nil {
			return false
		}
		req.Body = body
	}
	if c.repeat.Change != nil {
		c.repeat.Change(req)
	}
	c.second = c.begin(c.t.fresh, req)
	return true
}

// decides takes the end of a try and says whether the call ends with it. A connection
// that failed says nothing of the service if it had carried other calls before.
func (c *race) decides(done *try) bool {
	done.over = true
	if done.err == nil {
		return true
	}
	c.t.unanswered(done.attempt, done.err)
	if c.second == nil {
		_, _, reused := done.connection()
		return !reused || c.req.Context().Err() != nil || !c.again()
	}
	return c.first.over && c.second.over
}

// finish ends the call with the end of a try.
func (c *race) finish(done *try) (*http.Response, error) {
	c.learn(done)
	if done != c.first {
		c.first.cancel()
	}
	if c.second != nil && done != c.second {
		c.second.cancel()
	}
	return done.resp, done.err
}

// learn draws the conclusions: from how late the answer was, and on which connection it
// came.
func (c *race) learn(done *try) {
	if done.err == nil && !done.awaitsTurn(c.repeat) {
		_, sentAt, _ := done.connection()
		c.t.pace.answered(done.answeredAt, c.req.URL.Host, done.answeredAt.Sub(sentAt)-c.repeat.Expected)
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
		if conn, sentAt, reused := c.first.connection(); reused && !c.first.over {
			c.t.giveUp(conn, sentAt)
		}
	}
	if report := c.t.settings.Reports.Again; report != nil {
		report(Again{
			To: c.t.settings.To, Address: c.req.URL.Host, Call: c.req.URL.Path, Answered: answered,
			Took: c.t.settings.Now().Sub(c.began),
		})
	}
}
