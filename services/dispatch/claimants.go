// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/services/authority"
)

// The holder names the boxes that may claim the cell soon after it falls silent, see package authority.
// Where there are more boxes than it names, it asks the named ones from time to time whether they reach the log, and
// names others in place of those that do not. If it is small, it invites a large one that does.

// candidates returns the boxes that this process names in its next claim or renewal, or nil if it does
// not know the other boxes yet. While the log does not answer, they stay the same: the holder needs a
// pledge of each box that it has named in a renewal that may be in the log.
func (c *Core) candidates(now time.Time) []string {
	if len(c.members) == 0 || !c.authority.IsLogReachable() {
		return c.authority.Proposed()
	}
	return c.members.Candidates(c.self, func(box string) bool { return c.probes.IsUnusable(now, box) })
}

// probeCandidates asks the other candidates whether they reach the log, if that decides which boxes are
// candidates or whether the cell should move to a larger box.
func (c *Core) probeCandidates(now time.Time) {
	h := c.holding
	if h == nil || h.phase != phaseActive || h.invitePending || h.shuttingDown || c.awaitingPledges || !c.probes.IsDue(now) ||
		!c.authority.IsLogReachable() || len(c.members) <= authority.MaxCandidates && !c.authority.IsSmall() {
		return
	}
	addresses := c.probes.Begin(now, c.self, c.members, c.authority.PossibleCandidates())
	if len(addresses) > 0 {
		c.emit(exchange.AskPledges{Epoch: authority.ProbeEpoch, Addresses: addresses})
	}
}

// handleProbed handles the answers of the boxes that were asked whether they reach the log.
func (c *Core) handleProbed(now time.Time, e exchange.Pledged) {
	probed := c.probes.End()
	if c.holding == nil || !c.authority.IsLogReachable() {
		return
	}
	c.logEvent("candidates were asked whether they reach the log", logField("asked", len(probed)), logField("reach", len(e.LogReachable)))
	for _, box := range c.probes.RecordAnswers(now, probed, c.members, e.LogReachable) {
		c.logEvent("box is no candidate for a while: it does not answer or does not reach the log", logField("box", box))
	}
	c.inviteLargest(e.LogReachable)
}
