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
	c.stopDeadline = now.Add(c.settings.StopGrace)
	if h := c.holding; h != nil {
		h.shuttingDown = true
	}
}

// continueStop hands the cell over once no caller waits for the log. What else waits is not
// lost: workers tell of ends until the log has them. Waiting for that too, a holder under
// load would never be done, and went on refusing callers for half of its grace.
func (c *Core) continueStop(now time.Time) {
	if !c.authority.Stopping() || c.stopped {
		return
	}
	if h := c.holding; h != nil && !c.authority.Busy() && (!h.journal.hasWaitingCallers() || now.After(c.stopDeadline.Add(-c.settings.StopGrace/2))) {
		c.handOver(now)
	}
	if now.After(c.stopDeadline) {
		c.stopped = true
		c.emit(exchange.Stopped{})
	}
}

// handOver releases the claim, so that another box need not wait for it to lapse.
func (c *Core) handOver(now time.Time) {
	release := c.authority.Release(now)
	if release == nil {
		return
	}
	c.emit(exchange.Append{Purpose: exchange.ForClaim, Number: release.Claim.Renewal, Append: release.Stream})
	c.stepDown("handed over")
}
