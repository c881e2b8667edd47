// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
)

// While the log does not answer the holder, the holder asks the other boxes. If the log answers one
// of them, that box takes the cell over at once. If it answers none of them, they pledge not to
// claim the cell, and the holder continues with the work it has.

// askPledges asks the other boxes for pledges while the claim cannot be renewed.
func (c *Core) askPledges(now time.Time) {
	h := c.holding
	if h == nil || h.invitePending || c.awaitingPledges || now.Before(c.pledgeRetryAt) || c.authority.IsStopping() {
		return
	}
	if len(c.members) == 0 {
		// The list of boxes has not been read yet.
		return
	}
	if c.authority.IsLogReachable() && c.authority.HoldsUntil().Sub(now) > c.settings.Authority.HoldFor/2 {
		return
	}
	c.awaitingPledges = true
	c.emit(exchange.AskPledges{Epoch: h.epoch, Addresses: c.members.OtherAddresses(c.self)})
}

// handlePledgeAsked answers a holder that asks this box not to claim the cell for some time.
func (c *Core) handlePledgeAsked(now time.Time, e exchange.PledgeAsked) {
	a := exchange.Answer{Outcome: exchange.Unavailable, LogReachable: c.authority.IsLogReachable() && !c.authority.IsStopping() && c.config != nil}
	if c.authority.Pledge(now, e.Epoch) {
		a.Outcome = exchange.OK
	}
	c.reply(e.Call, a)
}

// handlePledged handles the answers of the other boxes.
func (c *Core) handlePledged(e exchange.Pledged) {
	c.awaitingPledges = false
	c.pledgeRetryAt = e.SentAt.Add(c.settings.Authority.RenewInterval / 2)
	if e.All {
		c.authority.RecordPledges(e.SentAt, e.Epoch)
	}
	if h := c.holding; h != nil && h.epoch == e.Epoch {
		c.inviteLargest(e.LogReachable)
	}
}
