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

// postAndWait gives the reducer an event that it answers, and waits for the answer.
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

// deliverAnswer hands an answer to the caller who waits for it, if one still does.
func (l *Loop) deliverAnswer(id exchange.CallID, a exchange.Answer) {
	l.mu.Lock()
	answer := l.calls[id]
	delete(l.calls, id)
	l.mu.Unlock()
	if answer != nil {
		answer <- a
	}
}

// Config returns the configuration in force, or nil.
func (l *Loop) Config() *job.Config {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.config
}

// disconnectedAfter is how long neither the log nor the holder may answer before a
// box sends callers elsewhere. The log answers with each renewal of the claim, and
// at the latest when a read has waited for half a second. With this, callers of a domain
// that was cut off were refused in 1 of 1,000 cases in place of 5 (4 plays of one day).
const disconnectedAfter = 900 * time.Millisecond

// Ready says whether callers are served better here than elsewhere. A box that
// is cut off from the log and from the holder can only refuse.
func (l *Loop) Ready() bool {
	l.mu.Lock()
	v, holder := l.view, l.holder()
	l.mu.Unlock()
	if v.config == nil {
		return false
	}
	return v.holdsCell || l.now().Sub(v.logReadAt) < disconnectedAfter || l.peers.reachesHolder(holder.Address)
}

// Serve answers a caller: by this box if it holds the cell, else by the holder.
func (l *Loop) Serve(ctx context.Context, r Request) exchange.Answer {
	began := l.now()
	a := l.serve(ctx, r)
	l.metrics.recordCall(r.kind(), a.Outcome, l.now().Sub(began))
	if a.Outcome != exchange.OK && a.Outcome != exchange.NoJob {
		l.logWriter.write(refusalLogEvent(r, a, l.now().Sub(began)))
	}
	return a
}

// refusalLogEvent is the line about a call that was not served.
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
	// maxHandoverWait is how long a call waits for the next holder while the cell is
	// handed over: less than a quarter of the shortest objective (the users' price
	// for late refusals), and a handover takes about 100 ms.
	maxHandoverWait = 250 * time.Millisecond
	// handoverRetryDelay is the pause between two tries meanwhile.
	handoverRetryDelay = 40 * time.Millisecond
)

// serve answers by the holder. While the cell is being handed over, nobody has done
// anything, and the next holder is about to serve.
func (l *Loop) serve(ctx context.Context, r Request) exchange.Answer {
	until := l.now().Add(maxHandoverWait)
	for {
		a := l.serveOnce(ctx, r)
		if l.recordReportedClaim(a.Holder) {
			continue
		}
		if a.Outcome != exchange.HeldElsewhere || !l.isHandingOver() || !l.now().Before(until) || ctx.Err() != nil {
			return a
		}
		clock.Wait(ctx, handoverRetryDelay)
	}
}

// recordReportedClaim takes the claim that another box told of, and returns true if it is newer
// than what this box knew, so that the call can be made there at once.
func (l *Loop) recordReportedClaim(c *claim.Claim) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c == nil || c.Epoch <= max(l.view.holder.Epoch, l.reportedClaim.Epoch) {
		return false
	}
	l.reportedClaim = *c
	return true
}

// holder returns the newest claim that this box has read or was told of. The lock is
// held.
func (l *Loop) holder() claim.Claim {
	if l.reportedClaim.Epoch > l.view.holder.Epoch {
		return l.reportedClaim
	}
	return l.view.holder
}

// isHandingOver says whether a box that has the claim, or had it until just now, is
// known, and the log answers, so that a holder will serve soon.
func (l *Loop) isHandingOver() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.holder.Epoch != 0 && l.now().Sub(l.view.logReadAt) < disconnectedAfter
}

// serveOnce answers by this box if it holds the cell or nobody is known to, else by
// the holder.
func (l *Loop) serveOnce(ctx context.Context, r Request) exchange.Answer {
	l.mu.Lock()
	holds, holder := l.view.holdsCell, l.holder()
	steady := l.now().Sub(l.view.logReadAt) < disconnectedAfter
	l.mu.Unlock()
	// A box that has given the cell up knows who has it now; this one reads it from
	// the log, if that answers.
	if holds || holder.Box == l.self.Box || holder.Address == "" || holder.Released && steady {
		return l.postAndWait(ctx, r.event)
	}
	return l.peers.forwardToHolder(ctx, holder.Address, r)
}
