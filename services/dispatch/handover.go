// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
)

// beginStop starts a planned stop: the cell is released so that another box takes it over at
// once, and this process goes on forwarding calls for the grace period.
func (c *Core) beginStop(now time.Time) {
	if c.authority.IsStopping() {
		return
	}
	c.authority.Stop()
	c.stopDeadline = now.Add(c.settings.StopGrace)
	if h := c.holding; h != nil {
		h.shuttingDown = true
	}
}

// continueStop releases the claim once no caller waits for the log, at the latest halfway
// through the grace period, and reports the end of the stop after the grace period. Other
// records need not be waited for: workers report ends until the log has them. When a
// holder under load waited for these too, it never finished waiting and refused callers for half of its
// grace period.
func (c *Core) continueStop(now time.Time) {
	if !c.authority.IsStopping() || c.stopped {
		return
	}
	if h := c.holding; h != nil && !c.authority.IsAppending() &&
		(!h.journal.hasWaitingCallers() || now.After(c.stopDeadline.Add(-c.settings.StopGrace/2))) {
		c.handOver(now)
	}
	if now.After(c.stopDeadline) {
		c.stopped = true
		c.emit(exchange.Stopped{})
	}
}

// handOver releases the claim, so that another box need not wait until it expires.
func (c *Core) handOver(now time.Time) {
	release := c.authority.Release(now)
	if release == nil {
		return
	}
	c.emit(exchange.Append{Purpose: exchange.ForClaim, Number: release.Claim.Renewal, Append: release.Append})
	c.stepDown("handed over")
}
