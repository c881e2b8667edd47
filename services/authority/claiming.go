// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package authority

import (
	"time"

	"saddlevane/models/claim"
)

// maxClaimJitter bounds the delay that spreads the claims of boxes that detect a missing
// holder at the same time, so that most of them read the first claim before they
// send their own.
const maxClaimJitter = 300 * time.Millisecond

// smallBoxDelay is how long a small box waits for larger boxes to claim a free cell.
// They read that it is free within a few milliseconds, and claim within maxClaimJitter.
const smallBoxDelay = 700 * time.Millisecond

// claimDelay returns how long this box waits once it may claim, so that a single box
// claims first, and a large one if there is any.
func (a *Authority) claimDelay() time.Duration {
	if a.IsSmall() {
		return a.claimJitter + smallBoxDelay
	}
	return a.claimJitter
}

// SetBoxes records the size of the largest known box, in thousandths of a processor, and the number of
// known boxes. A box of at most half that size waits smallBoxDelay before it claims.
func (a *Authority) SetBoxes(largestSize int64, count int) {
	a.largestSize, a.boxCount = largestSize, count
}

// IsSmall reports whether this box is at most half the size of the largest known box,
// which should then hold the cell instead.
func (a *Authority) IsSmall() bool {
	return a.self.Size < a.largestSize && 2*a.self.Size <= a.largestSize
}

// Pledge promises the holder of the current claim, under epoch, not to claim before now
// plus ClaimAfter. It returns false if this process cannot promise that, for instance
// because a claim of its own may be in the log: its answer was lost, or was that the
// stream does not end at the expected offset.
func (a *Authority) Pledge(now time.Time, epoch int64) bool {
	if a.pending != nil || len(a.unconfirmed) > 0 || a.heldEpoch != 0 || a.current.Epoch != epoch || a.current.Released {
		return false
	}
	a.pledgedUntil = now.Add(a.settings.ClaimAfter)
	return true
}

// AcceptInvitation allows this process to claim at once, because the holder under epoch
// has reported that it stops. It returns false if this process cannot claim.
func (a *Authority) AcceptInvitation(epoch int64) bool {
	if a.pending != nil || a.heldEpoch != 0 || a.stopping || a.current.Epoch != epoch || !a.IsLogReachable() || a.relayed {
		return false
	}
	a.invitedEpoch = epoch
	return true
}

// mayClaim reports whether this process may claim the cell at now: no other box can act
// under a claim, and the delays that favor other boxes are over.
func (a *Authority) mayClaim(now time.Time) bool {
	if a.stopping || a.logReachableSince.IsZero() || a.relayed {
		return false
	}
	c := a.current
	if c.Epoch != 0 && a.invitedEpoch == c.Epoch {
		return true
	}
	if now.Before(a.pledgedUntil) {
		return false
	}
	if c.Epoch == 0 {
		// No box has ever claimed the cell; the wait uses only a quarter of the jitter.
		return now.Sub(a.logReachableSince) >= a.claimDelay()-a.claimJitter*3/4
	}
	if !a.IsCandidate() {
		return a.mayClaimAsOutsider(now)
	}
	if c.Released {
		ready := !a.IsSmall() || now.Sub(a.claimReadAt) >= smallBoxDelay
		return c.Incarnation != a.self.Incarnation && (ready || now.Sub(a.claimReadAt) >= maxClaimJitter+a.claimDelay())
	}
	if c.Box == a.self.Box && c.Incarnation != a.self.Incarnation {
		// The holder was an earlier incarnation of this box, which has ended.
		return !a.IsSmall() || now.Sub(a.logReachableSince) >= smallBoxDelay
	}
	// After a log outage, a holder that can reach the log renews its claim within
	// RenewInterval. A holder that cannot reach it depends on pledges, including one
	// of this box, which pledgedUntil accounts for.
	return now.Sub(a.claimReadAt) >= a.settings.ClaimAfter+a.claimDelay() &&
		now.Sub(a.logReachableSince) >= a.settings.RenewInterval+a.claimDelay()
}

// mayClaimAsOutsider reports whether this process, which is no candidate, may claim the cell at now.
// All candidates are lost then, or cannot claim.
func (a *Authority) mayClaimAsOutsider(now time.Time) bool {
	due := a.outsiderDue()
	return !now.Before(due) && (a.current.Released || now.Sub(a.logReachableSince) >= a.settings.RenewInterval+a.claimDelay())
}

// outsiderDue returns when this process may claim if it reads nothing new and is no candidate. The
// claims of outsiders are spread over a time that grows with their number, so that only a few read the
// log at once.
func (a *Authority) outsiderDue() time.Time {
	wait := a.settings.OutsiderClaimAfter
	if a.current.Released {
		wait = min(wait, a.settings.ClaimAfter)
	}
	spread := time.Duration(float64(a.claimJitter) / float64(maxClaimJitter) * float64(a.boxCount) * float64(outsiderSpacing))
	return a.claimReadAt.Add(wait + a.claimDelay() + spread)
}

// outsiderSpacing is the mean time between the claims of two outsiders.
const outsiderSpacing = 5 * time.Millisecond

// MustReadLog reports whether this process has to read the log by itself: it acts under a claim or
// appends one, or the holder may ask it for a pledge or to take the cell over, or it would claim at now
// if nothing new is read.
func (a *Authority) MustReadLog(now time.Time) bool {
	if !a.loaded || a.heldEpoch != 0 || a.pending != nil || len(a.unconfirmed) > 0 || a.current.Epoch == 0 {
		return true
	}
	return a.IsCandidate() || !now.Before(a.outsiderDue())
}

// MemberRestarted records that a box has announced a new incarnation, which voids a
// claim of an earlier incarnation of that box.
func (a *Authority) MemberRestarted(now time.Time, m claim.Member) {
	c := a.current
	if c.Epoch == 0 || c.Released || c.Box != m.Box || c.Incarnation == m.Incarnation || m.Box == a.self.Box {
		return
	}
	// Other boxes may claim once claimDelay is over, which gives the restarted box
	// time to claim first.
	a.claimReadAt = now.Add(-a.settings.ClaimAfter)
}
