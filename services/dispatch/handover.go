// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
)

// beginStop gives the cell up, so that another box takes it over at once, and
// goes on passing calls on for a while.
func (c *Core) beginStop(now time.Time) {
	if c.authority.Stopping() {
		return
	}
	c.authority.Stop()
	c.stopAt = now.Add(c.settings.StopGrace)
	if h := c.holding; h != nil {
		h.yielding = true
	}
}

// stopOn hands the cell over once no caller waits for the log. What else waits is not
// lost: workers tell of ends until the log has them. Waiting for that too, a holder under
// load would never be done, and went on refusing callers for half of its grace.
func (c *Core) stopOn(now time.Time) {
	if !c.authority.Stopping() || c.stopDone {
		return
	}
	if h := c.holding; h != nil && !c.authority.Busy() && (!h.journal.callersWait() || now.After(c.stopAt.Add(-c.settings.StopGrace/2))) {
		c.handOver(now)
	}
	if now.After(c.stopAt) {
		c.stopDone = true
		c.do(exchange.Stopped{})
	}
}

// handOver releases the claim, so that another box need not wait for it to lapse.
func (c *Core) handOver(now time.Time) {
	release := c.authority.Release(now)
	if release == nil {
		return
	}
	c.do(exchange.Append{Purpose: exchange.ForClaim, Number: release.Claim.Renewal, Append: release.Stream})
	c.stepDown("handed over")
}
