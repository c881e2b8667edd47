// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
)

// updateClaim claims the cell, renews the claim, asks the other boxes for pledges or moves
// the cell to a larger box, whichever is due.
func (c *Core) updateClaim(now time.Time) {
	if c.authority.MayAppend(now) {
		c.authority.Propose(c.candidates(now))
	}
	if a := c.authority.Tick(now); a != nil {
		c.emit(exchange.Append{Purpose: exchange.ForClaim, Number: a.Claim.Renewal, Append: a.Append})
	}
	c.askPledges(now)
	c.probeCandidates(now)
	c.syncWithAuthority(now)
}

// syncWithAuthority starts or ends this process's tenure as holder according to the claim
// that the authority has.
func (c *Core) syncWithAuthority(now time.Time) {
	epoch := c.authority.Epoch()
	if c.holding != nil && (c.holding.epoch != epoch || c.authority.Current().Epoch > epoch) {
		c.stepDown("another box holds the cell")
		epoch = c.authority.Epoch()
	}
	if c.holding == nil && epoch != 0 && c.authority.IsHolder(now) {
		c.holding = newHolderState(c, now, epoch)
		c.holding.begin(now)
	}
}

// stepDown ends this process's tenure as holder without releasing the claim, and answers the
// callers who wait for the log.
func (c *Core) stepDown(reason string) {
	h := c.holding
	c.holding = nil
	c.authority.StepDown()
	if h == nil {
		return
	}
	h.replyUnsureToAll(reason)
	c.emit(exchange.FollowWorkers{On: false})
	c.logEvent("stopped holding the cell", logField("claim", h.epoch), logField("reason", reason),
		logField("holder", c.authority.Current().Box), logField("holder_claim", c.authority.Current().Epoch))
}

// handleClaimsRead applies a part of the stream of claims, or the failure to read it.
func (c *Core) handleClaimsRead(now time.Time, e exchange.ClaimsRead) {
	if e.Failure != "" {
		if c.authority.IsLogReachable() {
			c.logEvent("the log does not answer", logField("reason", e.Failure))
		}
		c.authority.RecordReadFailure()
		return
	}
	before := c.authority.Current().Epoch
	if !c.authority.IsLogReachable() {
		c.logRecoveredAt = now
		c.logEvent("the log answers", logField("next", e.Next))
	}
	c.authority.SetRelayed(e.Relayed)
	if e.First {
		c.authority.ApplyFirst(now, e.Records, e.Next)
	} else {
		c.authority.Apply(now, e.Records, e.Next)
	}
	if cur := c.authority.Current(); cur.Epoch != before {
		c.logEvent("a box holds the cell", logField("holder", cur.Box), logField("claim", cur.Epoch), logField("earlier_claim", before))
	}
	if c.announced && c.config != nil {
		c.updateClaim(now)
	}
}
