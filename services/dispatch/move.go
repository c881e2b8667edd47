// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/claim"
	"saddlevane/modules/ordered"
)

// moveEvery is the least time between two tries to move the cell to a larger box.
const moveEvery = 3 * time.Second

// largestMember returns the largest box that has not declined the cell.
func (c *Core) largestMember() claim.Member {
	best := c.self
	for _, m := range ordered.Map(c.members) {
		if m.Size > best.Size && !c.declined[m.Box] {
			best = m
		}
	}
	return best
}

// moveToLarger invites a much larger box to take the cell over: a small one
// cannot keep up with many workers.
func (c *Core) moveToLarger(now time.Time) {
	h := c.holding
	if h == nil || h.phase != active || h.suspended || h.yielding || !c.authority.Small() || now.Before(c.moveAgain) {
		return
	}
	c.moveAgain = now.Add(moveEvery)
	best := c.largestMember()
	if best.Box == c.self.Box || 2*c.self.Size > best.Size {
		clear(c.declined)
		return
	}
	c.declined[best.Box] = true
	h.suspended = true
	c.note("invites another box to take the cell over", Field{"claim", h.epoch}, Field{"address", best.Address},
		Field{"reason", "it is larger"}, Field{"size", c.self.Size}, Field{"its_size", best.Size})
	c.do(Invite{Epoch: h.epoch, Address: best.Address})
}

// inviteAsked answers a holder that wants this box to claim the cell.
func (c *Core) inviteAsked(now time.Time, e InviteAsked) {
	a := Answer{Outcome: Unavailable}
	if c.config != nil && c.announced && c.authority.Invite(e.Epoch) {
		a.Outcome = OK
	}
	c.reply(e.Call, a)
	c.tryClaim(now)
}

// invited ends the holding unless the other box has surely refused.
func (c *Core) invited(e Invited) {
	h := c.holding
	if h == nil || h.epoch != e.Epoch {
		return
	}
	if e.Refused {
		h.suspended = false
		return
	}
	c.stepDown("another box was invited to take over")
}

// membersRead notes the other boxes. One that has a new life can no longer act
// under a claim of its earlier one.
func (c *Core) membersRead(now time.Time, members []claim.Member) {
	defer func() { c.authority.SetLargest(c.largestMember().Size) }()
	for _, m := range members {
		former, known := c.members[m.Box]
		c.members[m.Box] = m
		if known && former.Incarnation == c.authority.Current().Incarnation && m.Incarnation != former.Incarnation {
			c.authority.MemberRestarted(now, m)
		}
	}
}
