// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import "time"

// Reason is why a link was given up.
type Reason string

// The reasons.
const (
	// ReasonProbe means that nothing came over it after a probe.
	ReasonProbe Reason = "probe"
	// ReasonWrite means that a part of a message could not be written in time.
	ReasonWrite Reason = "write"
)

// Discarded describes a link that was given up as silent.
type Discarded struct {
	// To is what was at its other end, and Address where.
	To      string
	Address string
	Reason  Reason
	// OpenFor is how long it had been open, SilentFor how long nothing had come over it.
	OpenFor   time.Duration
	SilentFor time.Duration
	// Calls is how many calls of this box were under way on it.
	Calls int
}

// discard ends a silent link.
func (k *link) discard(now time.Time, reason Reason) {
	k.mu.Lock()
	first, calls := !k.discarded, k.calls
	k.discarded = true
	k.mu.Unlock()
	if !first || k.isClosed() {
		return
	}
	k.links.settings.OnDiscard(Discarded{
		To: PeerName, Address: k.conn.Address(), Reason: reason,
		OpenFor: now.Sub(k.conn.OpenedAt()), SilentFor: now.Sub(k.conn.LastReceivedAt()), Calls: calls,
	})
	k.close()
}
