// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"context"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/modules/clock"
)

// postAndWait posts an event that the reducer replies to and waits for the reply. If ctx or
// the loop ends first, the outcome is MaybeDone.
func (l *Loop) postAndWait(ctx context.Context, event func(exchange.CallID) exchange.Event) exchange.Answer {
	answer := make(chan exchange.Answer, 1)
	l.mu.Lock()
	l.lastCall++
	id := l.lastCall
	l.calls[id] = answer
	l.mu.Unlock()
	l.post(event(id))
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	l.mu.Lock()
	delete(l.calls, id)
	l.mu.Unlock()
	return exchange.Answer{Outcome: exchange.MaybeDone, Reason: "no answer in time"}
}

// deliverAnswer passes an answer to the goroutine that waits for it, if there still is one.
func (l *Loop) deliverAnswer(id exchange.CallID, a exchange.Answer) {
	l.mu.Lock()
	answer := l.calls[id]
	delete(l.calls, id)
	l.mu.Unlock()
	if answer != nil {
		answer <- a
	}
}

// Config returns the configuration in force, or nil if none has been read yet.
func (l *Loop) Config() *job.Config {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.config
}

// disconnectedAfter is how long neither the log nor the holder may answer before a box
// reports that it is not ready, so that callers use other boxes. The log answers each renewal
// of the claim, and a waiting read at the latest after half a second. A longer limit
// keeps callers at boxes of a domain that was cut off, where they are refused.
const disconnectedAfter = 900 * time.Millisecond

// Ready reports whether this box can serve callers. A box that reaches neither the log nor the
// holder can only refuse calls, so callers are served better elsewhere.
func (l *Loop) Ready() bool {
	l.mu.Lock()
	v, holder := l.view, l.holder()
	l.mu.Unlock()
	if v.config == nil {
		return false
	}
	return v.holdsCell || l.now().Sub(v.logReadAt) < disconnectedAfter || l.peers.reachesHolder(holder.Address)
}

// Serve answers a request: with this box's reducer if this box holds the cell, otherwise by
// forwarding it to the holder. It records the call in the metrics and logs it unless the
// outcome is OK or NoJob.
func (l *Loop) Serve(ctx context.Context, r Request) exchange.Answer {
	startedAt := l.now()
	a := l.serve(ctx, r)
	l.metrics.recordCall(r.kind(), a.Outcome, l.now().Sub(startedAt))
	if a.Outcome != exchange.OK && a.Outcome != exchange.NoJob {
		l.logWriter.write(refusalLogEvent(r, a, l.now().Sub(startedAt)))
	}
	return a
}

// refusalLogEvent returns the log line for a request that was not served.
func refusalLogEvent(r Request, a exchange.Answer, took time.Duration) exchange.LogEvent {
	return exchange.LogEvent{Message: "call not served", Fields: []exchange.LogField{
		{Name: "call", Value: r.kind()},
		{Name: "job", Value: string(r.job())},
		{Name: "workspace", Value: r.workspace()},
		{Name: "outcome", Value: string(a.Outcome)},
		{Name: "reason", Value: a.Reason},
		{Name: "retry_after", Value: a.RetryAfter.Duration().String()},
		{Name: "took", Value: took.String()},
	}}
}

const (
	// maxHandoverWait is how long a request waits for the next holder during a handover of
	// the cell. A handover takes about 100 ms. The limit is less than a quarter of the
	// shortest objective, because a late refusal costs the users more than an early one.
	maxHandoverWait = 250 * time.Millisecond
	// handoverRetryDelay is the pause between attempts during a handover.
	handoverRetryDelay = 40 * time.Millisecond
)

// serve answers a request through the holder. During a handover it retries: a request that
// was answered with HeldElsewhere had no effect, and the next holder is about to serve. If this box
// does not learn from the log which one that is, it asks other boxes.
func (l *Loop) serve(ctx context.Context, r Request) exchange.Answer {
	deadline := l.now().Add(maxHandoverWait)
	for attempt := 0; ; attempt++ {
		a := l.serveOnce(ctx, r)
		if l.recordReportedClaim(a.Holder) {
			continue
		}
		if a.Outcome != exchange.HeldElsewhere || !l.now().Before(deadline) || ctx.Err() != nil {
			return a
		}
		handingOver := l.isHandingOver()
		// A box that can read the log usually knows the next holder before the second attempt.
		inquiring := (attempt > 0 || !handingOver) && l.inquireHolder()
		if !handingOver && !inquiring {
			return a
		}
		clock.Wait(ctx, handoverRetryDelay)
	}
}

// recordReportedClaim stores a claim that another box has reported in an answer. It returns
// true if the claim is newer than those known to this box; the request can then be sent to the
// new holder at once.
func (l *Loop) recordReportedClaim(c *claim.Claim) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c == nil || c.Epoch <= max(l.view.holder.Epoch, l.reportedClaim.Epoch) {
		return false
	}
	l.reportedClaim = *c
	return true
}

// holder returns the newest claim that this box has read from the log or received from another
// box. l.mu must be held.
func (l *Loop) holder() claim.Claim {
	if l.reportedClaim.Epoch > l.view.holder.Epoch {
		return l.reportedClaim
	}
	return l.view.holder
}

// isHandingOver reports whether a holder will probably serve soon: some box is known to have
// held the claim, and the log answers.
func (l *Loop) isHandingOver() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.holder.Epoch != 0 && l.now().Sub(l.view.logReadAt) < disconnectedAfter
}

// serveOnce makes one attempt to answer a request: with this box's reducer if this box holds
// the cell or no holder is known, otherwise by forwarding it to the holder.
func (l *Loop) serveOnce(ctx context.Context, r Request) exchange.Answer {
	l.mu.Lock()
	holds, holder := l.view.holdsCell, l.holder()
	logAnswers := l.now().Sub(l.view.logReadAt) < disconnectedAfter
	l.mu.Unlock()
	// A holder that has released the cell can report the next holder. It is not asked while the log
	// answers, because this box then reads the next claim itself.
	if holds || holder.Box == l.self.Box || holder.Address == "" || holder.Released && logAnswers {
		return l.postAndWait(ctx, r.event)
	}
	return l.peers.forwardToHolder(ctx, holder.Address, r)
}
