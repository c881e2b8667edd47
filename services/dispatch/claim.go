// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
)

// tryClaim claims the cell, renews the claim or gives it to a better box,
// whichever is due.
func (c *Core) tryClaim(now time.Time) {
	if a := c.authority.Tick(now); a != nil {
		c.do(exchange.Append{Purpose: exchange.ForClaim, Number: a.Claim.Renewal, Append: a.Stream})
	}
	c.askPledges(now)
	c.moveToLarger(now)
	c.followAuthority(now)
}

// followAuthority begins or ends the holding in line with the authority.
func (c *Core) followAuthority(now time.Time) {
	epoch := c.authority.Epoch()
	if c.holding != nil && (c.holding.epoch != epoch || c.authority.Current().Epoch > epoch) {
		c.stepDown("another box holds the cell")
		epoch = c.authority.Epoch()
	}
	if c.holding == nil && epoch != 0 && c.authority.Holds(now) {
		c.holding = newHolding(c, now, epoch)
		c.holding.begin(now)
	}
}

// stepDown ends the holding without giving it to anyone.
func (c *Core) stepDown(why string) {
	h := c.holding
	c.holding = nil
	c.authority.StepDown()
	if h == nil {
		return
	}
	h.refuseAll(why)
	c.do(exchange.FollowWorkers{On: false})
	c.note("stopped holding the cell", field("claim", h.epoch), field("reason", why),
		field("holder", c.authority.Current().Box), field("holder_claim", c.authority.Current().Epoch))
}

// claimsRead takes a part of the stream of claims, or that it could not be
// read.
func (c *Core) claimsRead(now time.Time, e exchange.ClaimsRead) {
	if e.Failed != "" {
		if c.authority.Steady() {
			c.note("the log does not answer", field("reason", e.Failed))
		}
		c.authority.ReadFailed()
		return
	}
	before := c.authority.Current().Epoch
	if !c.authority.Steady() {
		c.logBackAt = now
		c.note("the log answers", field("next", e.Next))
	}
	if e.Start {
		c.authority.Start(now, e.Records, e.Next)
	} else {
		c.authority.Read(now, e.Records, e.Next)
	}
	if cur := c.authority.Current(); cur.Epoch != before {
		c.note("a box holds the cell", field("holder", cur.Box), field("claim", cur.Epoch), field("earlier_claim", before))
	}
	if c.announced && c.config != nil {
		c.tryClaim(now)
	}
}
