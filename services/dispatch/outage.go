// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/services/authority"
)

// While the log does not answer the holder, the holder asks the other candidates. If the log answers
// one of them, that box takes the cell over at once. If it answers none of them, they pledge not to
// claim the cell, and the holder continues with the work it has.

// askPledges asks the other candidates for pledges while the claim cannot be renewed.
func (c *Core) askPledges(now time.Time) {
	h := c.holding
	if h == nil || h.invitePending || c.awaitingPledges || now.Before(c.pledgeRetryAt) || c.authority.IsStopping() {
		return
	}
	if c.authority.IsLogReachable() && c.authority.HoldsUntil().Sub(now) > c.settings.Authority.HoldFor/2 {
		return
	}
	addresses, allKnown := c.authority.PledgeAddresses(c.members)
	if !allKnown {
		return
	}
	c.awaitingPledges = true
	c.emit(exchange.AskPledges{Epoch: h.epoch, Addresses: addresses})
}

// handlePledgeAsked answers a holder that asks this box not to claim the cell for some time.
func (c *Core) handlePledgeAsked(now time.Time, e exchange.PledgeAsked) {
	reachable := c.authority.IsLogReachable() && (e.Epoch == authority.ProbeEpoch || !c.authority.IsRelayed())
	a := exchange.Answer{Outcome: exchange.Unavailable, LogReachable: reachable && !c.authority.IsStopping() && c.config != nil}
	if c.authority.Pledge(now, e.Epoch) {
		a.Outcome = exchange.OK
	}
	c.reply(e.Call, a)
}

// handlePledged handles the answers of the other candidates.
func (c *Core) handlePledged(now time.Time, e exchange.Pledged) {
	if e.Epoch == authority.ProbeEpoch {
		c.handleProbed(now, e)
		return
	}
	c.awaitingPledges = false
	c.pledgeRetryAt = e.SentAt.Add(c.settings.Authority.RenewInterval / 2)
	if e.All {
		c.authority.RecordPledges(e.SentAt, e.Epoch, c.authority.AreAllCandidates(c.members))
	}
	if h := c.holding; h != nil && h.epoch == e.Epoch {
		c.inviteLargest(e.LogReachable)
	}
}
