// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"time"

	"saddlevane/models/event"
	"saddlevane/models/verdict"
)

// target is a target of the own domain and its health as this box sees it.
type target struct {
	name    string
	address string
	// limit is how many requests this box may have at the target.
	limit       int
	inflight    int
	serviceTime durationEWMA
	// listedLeaving is the list's word; reportedLeavingUntil is until when the target's own
	// word counts, unless the list confirms it meanwhile.
	listedLeaving        bool
	reportedLeavingUntil time.Time
	failures             int
	ejections            int
	ejectedUntil         time.Time
	probing              bool
}

func (t *target) isLeaving(now time.Time) bool {
	return t.listedLeaving || now.Before(t.reportedLeavingUntil)
}

// isEjected says whether the target has failed so often that it only gets probes.
func (t *target) isEjected() bool { return t.ejections > 0 }

// isUsable says whether a request may be sent now.
func (t *target) isUsable(now time.Time, repeatable bool) bool {
	if t.isLeaving(now) || t.inflight >= t.limit {
		return false
	}
	if !t.isEjected() {
		return true
	}
	return repeatable && !t.probing && !now.Before(t.ejectedUntil)
}

// recordAttempt takes the end of an attempt into the target's health. A refusal because
// the target is full, or leaves, is no sign of ill health.
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
		// Any number of connections can go silent at once while the target is well; the
		// next request goes on a new one and tells.
		t.failures = max(t.failures, 1)
	default:
		t.recordFailure(now, s)
	}
}

func (t *target) recordFailure(now time.Time, s Settings) {
	t.failures++
	if t.failures < s.EjectAfter && !t.isEjected() {
		return
	}
	wait := s.EjectFor << min(t.ejections, maxDoublings)
	t.ejections++
	t.ejectedUntil = now.Add(min(wait, s.MaxEjectFor))
}

const maxDoublings = 10
