// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"context"
	"time"

	"saddlevane/models/exchange"

	"github.com/sourcegraph/conc"
)

// askPledges asks all other boxes at once.
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

// invite asks one box to take the cell over.
func (p *Peers) invite(e exchange.Invite) {
	a := p.urgentRequest(e.Address, Request{Invite: e.Epoch})
	refused := a.Outcome == exchange.Unavailable
	p.loop.post(exchange.Invited{Epoch: e.Epoch, Refused: refused, Reason: a.Reason})
}

// urgentTimeout bounds the calls with which a holder asks about the log: it must
// hear in time to go on. It leaves room for a silent link to be given up, 260 ms with
// the usual bound on answers, and for the call to be made again.
const urgentTimeout = 400 * time.Millisecond

// urgentRequest passes a wish on that must be answered at once.
func (p *Peers) urgentRequest(address string, r Request) exchange.Answer {
	ctx, cancel := context.WithTimeout(p.ctx, urgentTimeout)
	defer cancel()
	// What became of it stands in the answer.
	a, repeated, _ := p.forward(ctx, address, r, true)
	return answerAfterRetry(a, repeated)
}
