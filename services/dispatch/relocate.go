// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/services/authority"
)

// inviteLargest invites the largest of the given boxes, which can reach the log, to take over the
// cell if this box cannot reach the log or is much smaller.
func (c *Core) inviteLargest(reachable []string) {
	h := c.holding
	largest := c.members.LargestAt(reachable)
	reason := "the other box is larger"
	switch {
	case largest.Box == "" || h.invitePending || h.shuttingDown:
		return
	case !c.authority.IsLogReachable():
		reason = "the log answers the other box but not this one"
	case !authority.IsMuchLarger(largest, c.self):
		return
	}
	h.invitePending = true
	c.logEvent("inviting another box to take over the cell", logField("claim", h.epoch), logField("box", largest.Box),
		logField("address", largest.Address),
		logField("reason", reason), logField("size", c.self.Size), logField("its_size", largest.Size), logField("could", len(reachable)))
	c.emit(exchange.Invite{Epoch: h.epoch, Address: largest.Address})
}

// handleInviteAsked answers a holder that asks this box to claim the cell.
func (c *Core) handleInviteAsked(now time.Time, e exchange.InviteAsked) {
	a := exchange.Answer{Outcome: exchange.Unavailable}
	if c.config != nil && c.announced && c.authority.AcceptInvitation(e.Epoch) {
		a.Outcome = exchange.OK
	}
	c.reply(e.Call, a)
	c.updateClaim(now)
}

// handleInvited steps down unless the invited box has definitely refused, because it may already
// have claimed the cell.
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

// handleMembersRead updates the known boxes. A box that has restarted can no longer act under a
// claim of its earlier process.
func (c *Core) handleMembersRead(now time.Time, members []claim.Member) {
	defer func() { c.authority.SetBoxes(c.members.Largest(c.self).Size, len(c.members)) }()
	for _, m := range members {
		if m.Box == c.self.Box && m.Incarnation != c.self.Incarnation && c.announced {
			// A delayed append of an earlier process of this box has replaced its entry, so the box
			// announces itself again.
			c.announced, c.announceRetryAt = false, now
		}
		previous, known := c.members[m.Box]
		c.members[m.Box] = m
		c.probes.RecordAnnounced(m.Box)
		if known && previous.Incarnation == c.authority.Current().Incarnation && m.Incarnation != previous.Incarnation {
			c.authority.MemberRestarted(now, m)
		}
	}
}
