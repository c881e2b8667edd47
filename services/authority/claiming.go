// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package authority

import (
	"time"

	"saddlevane/models/claim"
)

// maxClaimJitter spreads the claims of boxes that notice a silence at once, so
// that most find the claim of the first.
const maxClaimJitter = 300 * time.Millisecond

// smallBoxDelay is how long a small box leaves a free cell to larger ones: they read
// of it within a few milliseconds, and claim within maxClaimJitter.
const smallBoxDelay = 700 * time.Millisecond

// claimDelay is how much longer than need be this box waits before it claims.
func (a *Authority) claimDelay() time.Duration {
	if a.IsSmall() {
		return a.claimJitter + smallBoxDelay
	}
	return a.claimJitter
}

// SetLargestSize tells the size of the largest box that is known. A much smaller one
// leaves it a moment to claim first.
func (a *Authority) SetLargestSize(size int64) { a.largestSize = size }

// IsSmall says whether the cell should rather be held by a larger box.
func (a *Authority) IsSmall() bool {
	return a.self.Size < a.largestSize && 2*a.self.Size <= a.largestSize
}

// Pledge promises the holder of the current claim not to claim before now plus
// ClaimAfter. It returns false if this process cannot promise that: a claim of its own
// whose answer was lost, or was that the stream has moved, may be in the log.
func (a *Authority) Pledge(now time.Time, epoch int64) bool {
	if a.pending != nil || len(a.unconfirmed) > 0 || a.heldEpoch != 0 || a.current.Epoch != epoch || a.current.Released {
		return false
	}
	a.pledgedUntil = now.Add(a.settings.ClaimAfter)
	return true
}

// AcceptInvitation takes the holder's word that it has stopped, so that this process may
// claim at once. It returns false if this process cannot.
func (a *Authority) AcceptInvitation(epoch int64) bool {
	if a.pending != nil || a.heldEpoch != 0 || a.stopping || a.current.Epoch != epoch || !a.IsLogReachable() {
		return false
	}
	a.invitedEpoch = epoch
	return true
}

// mayClaim says whether no other box can act under a claim.
func (a *Authority) mayClaim(now time.Time) bool {
	if a.stopping || a.logReachableSince.IsZero() {
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
		return now.Sub(a.logReachableSince) >= a.claimDelay()-a.claimJitter*3/4
	}
	if c.Released {
		first := !a.IsSmall() || now.Sub(a.claimReadAt) >= smallBoxDelay
		return c.Incarnation != a.self.Incarnation && (first || now.Sub(a.claimReadAt) >= maxClaimJitter+a.claimDelay())
	}
	if c.Box == a.self.Box && c.Incarnation != a.self.Incarnation {
		// An earlier life of this very box is gone.
		return !a.IsSmall() || now.Sub(a.logReachableSince) >= smallBoxDelay
	}
	// Once the log answers again, a holder that it answers too has renewed its claim
	// within the time between two renewals; one that lives on pledges has this box's.
	return now.Sub(a.claimReadAt) >= a.settings.ClaimAfter+a.claimDelay() && now.Sub(a.logReachableSince) >= a.settings.RenewInterval+a.claimDelay()
}

// MemberRestarted notes that a box has announced a new life. A claim of an
// earlier life of it is void.
func (a *Authority) MemberRestarted(now time.Time, m claim.Member) {
	c := a.current
	if c.Epoch == 0 || c.Released || c.Box != m.Box || c.Incarnation == m.Incarnation || m.Box == a.self.Box {
		return
	}
	// Leave the box itself a moment to claim again, then anyone may.
	a.claimReadAt = now.Add(-a.settings.ClaimAfter)
}
