// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/services/authority"
)

// moveInterval is the least time between two tries to move the cell to a larger box.
const moveInterval = 2 * time.Second

// moveToLarger asks the other boxes who could take the cell over, if there are much
// larger ones: a small box cannot keep up with many workers.
func (c *Core) moveToLarger(now time.Time) {
	h := c.holding
	if h == nil || h.phase != phaseActive || h.invitePending || h.shuttingDown || c.awaitingPledges || !c.authority.Small() || now.Before(c.moveRetryAt) {
		return
	}
	c.moveRetryAt = now.Add(moveInterval)
	if c.members.Largest(c.self).Box == c.self.Box {
		return
	}
	c.awaitingPledges = true
	c.emit(exchange.AskPledges{Epoch: h.epoch, Addresses: c.members.Others(c.self)})
}

// inviteLargest invites the largest of the boxes that the log answers to take the cell
// over, if the log does not answer this one or if that one is much larger.
func (c *Core) inviteLargest(steady []string) {
	h := c.holding
	best := c.members.LargestAt(steady)
	reason := "it is larger"
	switch {
	case best.Box == "" || h.invitePending || h.shuttingDown:
		return
	case !c.authority.Steady():
		reason = "the log answers it and not this box"
	case !authority.MuchLarger(best, c.self):
		return
	}
	h.invitePending = true
	c.logEvent("invites another box to take the cell over", logField("claim", h.epoch), logField("box", best.Box), logField("address", best.Address),
		logField("reason", reason), logField("size", c.self.Size), logField("its_size", best.Size), logField("could", len(steady)))
	c.emit(exchange.Invite{Epoch: h.epoch, Address: best.Address})
}

// handleInviteAsked answers a holder that wants this box to claim the cell.
func (c *Core) handleInviteAsked(now time.Time, e exchange.InviteAsked) {
	a := exchange.Answer{Outcome: exchange.Unavailable}
	if c.config != nil && c.announced && c.authority.Invite(e.Epoch) {
		a.Outcome = exchange.OK
	}
	c.reply(e.Call, a)
	c.updateClaim(now)
}

// handleInvited ends the holding unless the other box has surely refused.
func (c *Core) handleInvited(e exchange.Invited) {
	h := c.holding
	if h == nil || h.epoch != e.Epoch {
		return
	}
	if e.Refused {
		h.invitePending = false
		return
	}
	c.stepDown("another box was invited to take over")
}

// handleMembersRead notes the other boxes. One that has a new life can no longer act
// under a claim of its earlier one.
func (c *Core) handleMembersRead(now time.Time, members []claim.Member) {
	defer func() { c.authority.SetLargest(c.members.Largest(c.self).Size) }()
	for _, m := range members {
		if m.Box == c.self.Box && m.Incarnation != c.self.Incarnation && c.announced {
			// An append of an earlier life of this box has come late.
			c.announced, c.announceRetryAt = false, now
		}
		former, known := c.members[m.Box]
		c.members[m.Box] = m
		if known && former.Incarnation == c.authority.Current().Incarnation && m.Incarnation != former.Incarnation {
			c.authority.MemberRestarted(now, m)
		}
	}
}
