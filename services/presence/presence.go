// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package presence tells of one worker's life whether the platform lists it and whether it
// answers, and, once it does neither, how the life has ended.
package presence

import (
	"time"

	"saddlevane/models/exchange"
)

// Presence is what was seen of a worker's life. The zero value was never listed.
type Presence struct {
	// listed says that the platform lists it. An entry that is missing since missingSince
	// may have lapsed with the log.
	listed       bool
	missingSince time.Time
	leaving      bool
	// silentSince is when the first call was not answered of those that were not since the
	// last answer, and wasHealthy says that it was listed then and not leaving.
	silentSince time.Time
	wasHealthy  bool
}

// IsListed says whether the platform lists the worker, or may again.
func (p *Presence) IsListed() bool { return p.listed }

// RecordEntry takes that an entry names the worker.
func (p *Presence) RecordEntry(leaving bool) {
	p.listed, p.missingSince, p.leaving = true, time.Time{}, leaving
}

// RecordMissing takes that no entry names the worker any more. It stays listed while its entry
// may be back.
func (p *Presence) RecordMissing(now time.Time, mayBeBack bool) {
	if !p.listed {
		return
	}
	if p.missingSince.IsZero() {
		p.missingSince = now
	}
	p.listed = mayBeBack
}

// UnlistMissing takes that an entry which is missing will not be back. It returns whether the
// worker was listed until now.
func (p *Presence) UnlistMissing() bool {
	given := p.listed && !p.missingSince.IsZero()
	p.listed = p.listed && !given
	return given
}

// RecordSilence takes that the worker does not answer from now on. A crash is found by the next
// call, within some time: its entry goes after it. The entry of a worker that leaves goes
// long before it stops to answer.
func (p *Presence) RecordSilence(now time.Time, found time.Duration) {
	gone := !p.missingSince.IsZero() && now.Sub(p.missingSince) > found
	p.silentSince, p.wasHealthy = now, !gone && !p.leaving
}

// RecordAnswer takes an answer. It returns whether the worker had been silent.
func (p *Presence) RecordAnswer() bool {
	silent := !p.silentSince.IsZero()
	p.silentSince = time.Time{}
	return silent
}

// SilentSince returns since when the worker does not answer, or zero.
func (p *Presence) SilentSince() time.Time { return p.silentSince }

// Ending tells how the life has ended of a worker that is silent. It is sure that the life
// is over, or that its lease has run out.
func (p *Presence) Ending(over bool) exchange.Ending {
	switch {
	case !p.wasHealthy:
		return exchange.Left
	case over || !p.listed:
		return exchange.Crashed
	default:
		return exchange.CutOff
	}
}
