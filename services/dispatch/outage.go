// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"saddlevane/models/claim"
	"saddlevane/modules/ordered"
)

// While the log does not answer the holder, it asks the other boxes. If the log
// answers one of them, that one takes the cell over at once. If it answers none,
// they promise not to claim, and the holder goes on with the work it has.

// askPledges asks the other boxes when the claim cannot be renewed.
func (c *Core) askPledges(now time.Time) {
	h := c.holding
	if h == nil || h.suspended || c.pledging || now.Before(c.pledgeAgain) || c.authority.Stopping() {
		return
	}
	if c.authority.Steady() && c.authority.HoldsUntil().Sub(now) > c.settings.Authority.HoldFor/2 {
		return
	}
	c.pledging = true
	c.do(AskPledges{Epoch: h.epoch, Addresses: c.otherAddresses()})
}

func (c *Core) otherAddresses() []string {
	var all []string
	for _, m := range c.members {
		if m.Box != c.self.Box {
			all = append(all, m.Address)
		}
	}
	slices.Sort(all)
	return all
}

func (c *Core) pledgeAsked(now time.Time, e PledgeAsked) {
	a := Answer{Outcome: Unavailable, Steady: c.authority.Steady() && !c.authority.Stopping() && c.config != nil}
	if c.authority.Pledge(now, e.Epoch) {
		a.Outcome = OK
	}
	c.reply(e.Call, a)
}

func (c *Core) pledged(e Pledged) {
	c.pledging = false
	c.pledgeAgain = e.SentAt.Add(c.settings.Authority.Renew / 2)
	if e.All {
		c.authority.Pledged(e.SentAt, e.Epoch)
	}
	h := c.holding
	if h == nil || h.epoch != e.Epoch || c.authority.Steady() || len(e.Steady) == 0 || h.suspended {
		return
	}
	h.suspended = true
	c.note("invites another box to take the cell over", Field{"claim", h.epoch}, Field{"address", e.Steady[0]},
		Field{"reason", "the log answers it and not this box"})
	c.do(Invite{Epoch: h.epoch, Address: e.Steady[0]})
}

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
	if 2*c.self.Size > best.Size {
		clear(c.declined)
		return
	}
	c.declined[best.Box] = true
	h.suspended = true
	c.note("invites another box to take the cell over", Field{"claim", h.epoch}, Field{"address", best.Address},
		Field{"reason", "it is larger"}, Field{"size", c.self.Size}, Field{"its_size", best.Size})
	c.do(Invite{Epoch: h.epoch, Address: best.Address})
}

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
