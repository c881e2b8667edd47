// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"time"

	"saddlevane/models/event"
	"saddlevane/models/verdict"
)

// target is a target of the own domain, with its load and health as observed by
// this box.
type target struct {
	name    string
	address string
	// limit is the number of requests that this box may have in flight at the
	// target.
	limit       int
	inflight    int
	serviceTime durationEWMA
	// listedLeaving is set while the platform's list marks the target as leaving or
	// does not contain it. A target may also report in an answer that it is leaving;
	// that report applies until reportedLeavingUntil.
	listedLeaving        bool
	reportedLeavingUntil time.Time
	failures             int
	ejections            int
	ejectedUntil         time.Time
	probing              bool
}

// isLeaving reports whether the target is leaving according to the platform's list or
// its own recent report. It then gets no new requests.
func (t *target) isLeaving(now time.Time) bool {
	return t.listedLeaving || now.Before(t.reportedLeavingUntil)
}

// isEjected reports whether the target has failed so often that it gets only
// probes.
func (t *target) isEjected() bool { return t.ejections > 0 }

// isUsable reports whether a request may be sent to the target now.
func (t *target) isUsable(now time.Time, repeatable bool) bool {
	if t.isLeaving(now) || t.inflight >= t.limit {
		return false
	}
	if !t.isEjected() {
		return true
	}
	return repeatable && !t.probing && !now.Before(t.ejectedUntil)
}

// recordAttempt updates the target's health after an attempt. A refusal because
// the target is full or leaving does not count as a failure.
func (t *target) recordAttempt(now time.Time, e event.TargetAnswered, s Settings) {
	t.probing = false
	if e.Leaving {
		t.reportedLeavingUntil = now.Add(s.MaxEjectFor)
	}
	switch {
	case e.Verdict == verdict.Ran:
		t.failures, t.ejections = 0, 0
	case e.Leaving || e.Busy:
	case e.Silent && !t.isEjected():
		// Many reused connections can go silent at once while the target is healthy,
		// so this counts as at most one failure. The next request uses a new
		// connection, whose result counts in full.
		t.failures = max(t.failures, 1)
	default:
		t.recordFailure(now, s)
	}
}

// recordFailure counts a failure. EjectAfter consecutive failures eject the target for
// EjectFor. Each further failure doubles this time, up to MaxEjectFor.
func (t *target) recordFailure(now time.Time, s Settings) {
	t.failures++
	if t.failures < s.EjectAfter && !t.isEjected() {
		return
	}
	wait := s.EjectFor << min(t.ejections, maxDoublings)
	t.ejections++
	t.ejectedUntil = now.Add(min(wait, s.MaxEjectFor))
}

// maxDoublings limits the exponents of growing timeouts, to avoid an overflow.
const maxDoublings = 10
