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
	limit    int
	inflight int
	service  smoothed
	// listedLeaving is the list's word, ownLeaving the target's.
	listedLeaving bool
	ownLeaving    bool
	failures      int
	ejections     int
	ejectedUntil  time.Time
	probing       bool
}

func (t *target) leaving() bool { return t.listedLeaving || t.ownLeaving }

// ejected says whether the target has failed so often that it only gets probes.
func (t *target) ejected() bool { return t.ejections > 0 }

// usable says whether a request may be sent now.
func (t *target) usable(now time.Time, repeatable bool) bool {
	if t.leaving() || t.inflight >= t.limit {
		return false
	}
	if !t.ejected() {
		return true
	}
	return repeatable && !t.probing && !now.Before(t.ejectedUntil)
}

// ended takes the end of an attempt into the target's health. A refusal because
// the target is full, or leaves, is no sign of ill health.
func (t *target) ended(now time.Time, e event.TargetAnswered, s Settings) {
	t.probing = false
	t.ownLeaving = t.ownLeaving || e.Leaving
	switch {
	case e.Verdict == verdict.Ran:
		t.failures, t.ejections = 0, 0
	case e.Leaving || e.Busy:
	default:
		t.failed(now, s)
	}
}

func (t *target) failed(now time.Time, s Settings) {
	t.failures++
	if t.failures < s.EjectAfter && !t.ejected() {
		return
	}
	wait := s.EjectFor << min(t.ejections, maxDoublings)
	t.ejections++
	t.ejectedUntil = now.Add(min(wait, s.EjectMost))
}

const maxDoublings = 10
