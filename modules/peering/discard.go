// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peering

import "time"

// Reason is why a link was discarded.
type Reason string

// The reasons.
const (
	// ReasonProbe means that nothing was received after a probe.
	ReasonProbe Reason = "probe"
	// ReasonWrite means that a chunk of a message could not be written in time.
	ReasonWrite Reason = "write"
)

// Discarded describes a link that was discarded because it was silent.
type Discarded struct {
	// To names the kind of the remote end, and Address is its address.
	To      string
	Address string
	Reason  Reason
	// OpenFor is how long the link had been open, SilentFor the time since data was last
	// received on it.
	OpenFor   time.Duration
	SilentFor time.Duration
	// Calls is the number of calls of this box in progress on the link.
	Calls int
}

// discard closes a silent link and reports it once.
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
