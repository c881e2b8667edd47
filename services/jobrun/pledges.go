// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"context"
	"time"

	"saddlevane/models/exchange"

	"github.com/sourcegraph/conc"
)

// askPledges asks all other boxes concurrently to pledge not to claim the cell, and posts their
// combined answers.
func (p *Peers) askPledges(e exchange.AskPledges) {
	sentAt := p.loop.now()
	answers := make([]exchange.Answer, len(e.Addresses))
	var tasks conc.WaitGroup
	for i, address := range e.Addresses {
		tasks.Go(func() { answers[i] = p.urgentRequest(address, Request{Pledge: e.Epoch}) })
	}
	tasks.Wait()
	pledged := exchange.Pledged{Epoch: e.Epoch, SentAt: sentAt, All: true}
	for i, a := range answers {
		pledged.All = pledged.All && a.Outcome == exchange.OK
		if a.LogReachable {
			pledged.LogReachable = append(pledged.LogReachable, e.Addresses[i])
		}
	}
	p.loop.post(pledged)
}

// invite asks another box to take over the cell.
func (p *Peers) invite(e exchange.Invite) {
	a := p.urgentRequest(e.Address, Request{Invite: e.Epoch})
	refused := a.Outcome == exchange.Unavailable
	p.loop.post(exchange.Invited{Epoch: e.Epoch, Refused: refused, Reason: a.Reason})
}

// urgentTimeout bounds the calls with which a holder that cannot reach the log asks other boxes.
// It must be answered in time to keep the cell. The timeout is long enough for a silent link to be
// closed, which takes 260 ms with the usual limit for answers, and for the call to be retried.
const urgentTimeout = 400 * time.Millisecond

// urgentRequest sends a request to another box that must be answered within urgentTimeout.
func (p *Peers) urgentRequest(address string, r Request) exchange.Answer {
	ctx, cancel := context.WithTimeout(p.ctx, urgentTimeout)
	defer cancel()
	// The error is ignored because the outcome of the answer reflects it.
	a, retried, _ := p.forward(ctx, address, r, true)
	return answerAfterRetry(a, retried)
}
