// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/services/authority"
)

// The holder names the boxes that may claim the cell soon after it falls silent, see package authority.
// Where there are more boxes than it names, it asks the named ones from time to time whether they reach the log, and
// names others in place of those that do not. If it is small, it invites a large one that does.

const (
	// probeInterval is the time between two such requests.
	probeInterval = 2 * time.Second
	// probeEpoch is the epoch of a request for pledges that asks for none: no claim has this epoch, and
	// unlike 0 it is sent.
	probeEpoch = -1
	// initialUnusable and longestUnusable bound how long a box that did not answer, or that the log did
	// not answer, is not named.
	initialUnusable = 10 * time.Second
	longestUnusable = time.Minute
)

// candidates returns the boxes that this process names in its next claim or renewal, or nil if it does
// not know the other boxes yet. While the log does not answer, they stay the same: the holder needs a
// pledge of each box that it has named in a renewal that may be in the log.
func (c *Core) candidates(now time.Time) []string {
	if len(c.members) == 0 || !c.authority.IsLogReachable() {
		return c.authority.Proposed()
	}
	return c.members.Candidates(c.self, func(box string) bool { return c.unusableBoxes.Includes(now, box) })
}

// pledgeAddresses returns the addresses of the boxes whose pledges a holder needs. It returns false if
// one of them is not known.
func (c *Core) pledgeAddresses() ([]string, bool) {
	names := c.authority.PossibleCandidates()
	if names == nil {
		// The list of boxes has not been read yet if it is empty.
		return c.members.OtherAddresses(c.self), len(c.members) > 0
	}
	var addresses []string
	for _, name := range names {
		if name == c.self.Box {
			continue
		}
		m, known := c.members[name]
		if !known {
			return nil, false
		}
		addresses = append(addresses, m.Address)
	}
	return addresses, true
}

// areAllCandidates reports whether every known box is a candidate.
func (c *Core) areAllCandidates() bool {
	names := c.authority.PossibleCandidates()
	if names == nil {
		return true
	}
	for name := range c.members {
		if !slices.Contains(names, name) {
			return false
		}
	}
	return true
}

// probeCandidates asks the other candidates whether they reach the log, if that decides which boxes are
// candidates or whether the cell should move to a larger box.
func (c *Core) probeCandidates(now time.Time) {
	h := c.holding
	if h == nil || h.phase != phaseActive || h.invitePending || h.shuttingDown || c.awaitingPledges || len(c.probedBoxes) > 0 || now.Before(c.probeAt) ||
		!c.authority.IsLogReachable() || len(c.members) <= authority.MaxCandidates && !c.authority.IsSmall() {
		return
	}
	c.probeAt = now.Add(probeInterval)
	var addresses []string
	for _, name := range c.authority.PossibleCandidates() {
		if m, known := c.members[name]; known && name != c.self.Box {
			c.probedBoxes = append(c.probedBoxes, m)
			addresses = append(addresses, m.Address)
		}
	}
	if len(addresses) > 0 {
		c.emit(exchange.AskPledges{Epoch: probeEpoch, Addresses: addresses})
	}
}

// handleProbed handles the answers of the boxes that were asked whether they reach the log.
func (c *Core) handleProbed(now time.Time, e exchange.Pledged) {
	probed := c.probedBoxes
	c.probedBoxes = nil
	if c.holding == nil || !c.authority.IsLogReachable() {
		return
	}
	c.logEvent("candidates were asked whether they reach the log", logField("asked", len(probed)), logField("reach", len(e.LogReachable)))
	for _, m := range probed {
		if !slices.Contains(e.LogReachable, m.Address) && c.members[m.Box] == m {
			c.recordUnusable(now, m)
		}
	}
	c.inviteLargest(e.LogReachable)
}

// recordUnusable keeps a box from being named as a candidate for a while.
func (c *Core) recordUnusable(now time.Time, m claim.Member) {
	if c.unusableBoxes.RecordFailure(now, m.Box) {
		c.logEvent("box is no candidate for a while: it does not answer or does not reach the log", logField("box", m.Box))
	}
}
