// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package presence tracks the workers of the cell: whether the platform lists a worker and whether
// the worker answers, how its incarnation ended once it does neither, and which of its
// incarnations is the current one.
package presence

import (
	"time"

	"saddlevane/models/exchange"
)

// Presence holds what was observed of one incarnation of a worker. The zero value is that of a
// worker that was never listed.
type Presence struct {
	// listed is set while the platform lists the worker. If missingSince is set, the entry is
	// missing since then but may come back: it may have lapsed because of an outage of the log.
	listed       bool
	missingSince time.Time
	leaving      bool
	// unresponsiveSince is when the first call without an answer since the last answer failed. wasHealthy
	// is set if the worker was listed then and not leaving.
	unresponsiveSince time.Time
	wasHealthy        bool
}

// IsListed reports whether the platform lists the worker, or may list it again.
func (p *Presence) IsListed() bool { return p.listed }

// RecordEntry records that a list entry names the worker, and whether the entry says that the
// worker is leaving.
func (p *Presence) RecordEntry(leaving bool) {
	p.listed, p.missingSince, p.leaving = true, time.Time{}, leaving
}

// RecordMissing records that no list entry names the worker any more. The worker stays listed as
// long as mayBeBack is set, which means that its entry may come back.
func (p *Presence) RecordMissing(now time.Time, mayBeBack bool) {
	if !p.listed {
		return
	}
	if p.missingSince.IsZero() {
		p.missingSince = now
	}
	p.listed = mayBeBack
}

// UnlistMissing marks the worker as not listed if its entry is missing. It reports whether the
// worker was listed until now.
func (p *Presence) UnlistMissing() bool {
	unlisted := p.listed && !p.missingSince.IsZero()
	p.listed = p.listed && !unlisted
	return unlisted
}

// RecordUnresponsive records that the worker stopped answering at now. A crash is detected by the next
// call, within detectionTime, and the entry of a crashed worker is removed only after the crash. An
// entry that has been missing for longer belongs to a worker that left: its entry is removed long
// before it stops answering.
func (p *Presence) RecordUnresponsive(now time.Time, detectionTime time.Duration) {
	gone := !p.missingSince.IsZero() && now.Sub(p.missingSince) > detectionTime
	p.unresponsiveSince, p.wasHealthy = now, !gone && !p.leaving
}

// RecordAnswer records an answer and reports whether the worker had been unresponsive.
func (p *Presence) RecordAnswer() bool {
	unresponsive := !p.unresponsiveSince.IsZero()
	p.unresponsiveSince = time.Time{}
	return unresponsive
}

// UnresponsiveSince returns the time since which the worker has not answered, or the zero time if it
// answers.
func (p *Presence) UnresponsiveSince() time.Time { return p.unresponsiveSince }

// Ending returns how an unresponsive worker ended whose incarnation is known to have ended.
func (p *Presence) Ending() exchange.Ending {
	if !p.wasHealthy {
		return exchange.Left
	}
	return exchange.Crashed
}

// LapsedEnding returns how an unresponsive worker ended of which only the lease is known to have
// expired. otherListed is set if the platform lists another incarnation of it, which has not answered.
// Neither that nor a missing entry proves that the worker has crashed: one that is out of reach of the
// platform, too, is not listed either.
func (p *Presence) LapsedEnding(otherListed bool) exchange.Ending {
	switch {
	case !p.wasHealthy:
		return exchange.Left
	case !p.listed || otherListed:
		return exchange.Missing
	default:
		return exchange.CutOff
	}
}
