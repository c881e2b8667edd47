// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package authority

import (
	"slices"
	"time"

	"saddlevane/models/claim"
	"saddlevane/modules/exclusion"
)

const (
	// ProbeEpoch is the epoch of a request for pledges that asks for none: no claim has this epoch, and
	// unlike 0 it is sent.
	ProbeEpoch = -1
	// probeInterval is the time between two probes.
	probeInterval = 2 * time.Second
	// initialUnusable and longestUnusable bound how long a box that did not answer, or that the log did
	// not answer, is not named.
	initialUnusable = 10 * time.Second
	longestUnusable = time.Minute
)

// Probes are the holder's requests to the other candidates whether they reach the log, and the boxes
// that are unusable as candidates because of the answers. It is not safe for concurrent use.
type Probes struct {
	// probed are the candidates of the probe that has no answer yet, and nextAt is when the next
	// probe is due.
	probed   []claim.Member
	nextAt   time.Time
	unusable *exclusion.List
}

// NewProbes returns the state before the first probe.
func NewProbes() *Probes {
	return &Probes{unusable: exclusion.New(initialUnusable, longestUnusable)}
}

// IsDue reports whether the next probe may be sent at now.
func (p *Probes) IsDue(now time.Time) bool { return len(p.probed) == 0 && !now.Before(p.nextAt) }

// Begin begins a probe of the candidates among the known boxes, except self, and returns their
// addresses. It returns nil if there are none; the next probe is then due as late as after any other.
func (p *Probes) Begin(now time.Time, self claim.Member, known Boxes, candidates []string) []string {
	p.nextAt = now.Add(probeInterval)
	var addresses []string
	for _, name := range candidates {
		if m, ok := known[name]; ok && name != self.Box {
			p.probed = append(p.probed, m)
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// End ends the pending probe and returns the boxes that were probed.
func (p *Probes) End() []claim.Member {
	probed := p.probed
	p.probed = nil
	return probed
}

// RecordAnswers makes those of the probed boxes unusable that are not at one of the reachable
// addresses, from which the log is reachable. It ignores boxes that known holds in another form
// since. It returns the names of the boxes that have become unusable.
func (p *Probes) RecordAnswers(now time.Time, probed []claim.Member, known Boxes, reachable []string) []string {
	var names []string
	for _, m := range probed {
		if !slices.Contains(reachable, m.Address) && known[m.Box] == m && p.unusable.RecordFailure(now, m.Box) {
			names = append(names, m.Box)
		}
	}
	return names
}

// IsUnusable reports whether a box is unusable as a candidate at now.
func (p *Probes) IsUnusable(now time.Time, box string) bool { return p.unusable.Includes(now, box) }

// RecordAnnounced makes a box usable that has announced itself.
func (p *Probes) RecordAnnounced(box string) { p.unusable.Clear(box) }
