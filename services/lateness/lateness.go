// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package lateness tells how long the answers of many workers take at present, and so
// how long to wait for one. A worker that is slow or silent changes little, since most
// others answer as usual; if most answers are late, this process, its processor or its
// link is, and to give calls up and make them again would make it later still.
//
// Adaptive bounds of this kind are usual for retransmissions (RFC 6298). In place of a
// mean and its variation the third quartile is taken, which up to a quarter of the
// workers cannot move.
package lateness

import (
	"slices"
	"time"
)

const (
	// kept is how many of the latest answers count: enough that a quarter of them is more
	// than the workers of one rack, few enough that a bad moment is soon forgotten.
	kept = 128
	// least is how many there must be to tell anything.
	least = 12
	// fresh is how long an answer counts.
	fresh = 5 * time.Second
	// recount is how often the quartile is taken anew, for which the answers are sorted.
	recount = 20 * time.Millisecond
	// times is for how many times the usual time an answer is waited for: of answers
	// that wait in one queue few take longer.
	times = 4
)

// Meter keeps how long the latest answers took. It is not safe for concurrent use.
type Meter struct {
	took [kept]time.Duration
	at   [kept]time.Time
	next int

	usual     time.Duration
	countedAt time.Time
}

// Answered takes how long an answer took that has come now.
func (m *Meter) Answered(now time.Time, took time.Duration) {
	m.took[m.next], m.at[m.next] = max(0, took), now
	m.next = (m.next + 1) % kept
}

// Usual returns the time within which three of four answers come at present, or 0 if
// there were too few to tell.
func (m *Meter) Usual(now time.Time) time.Duration {
	if !m.countedAt.IsZero() && now.Sub(m.countedAt) < recount {
		return m.usual
	}
	m.countedAt = now
	m.usual = m.quartile(now)
	return m.usual
}

// quartile returns the third quartile of the answers that are fresh.
func (m *Meter) quartile(now time.Time) time.Duration {
	all := make([]time.Duration, 0, kept)
	for i, at := range m.at {
		if !at.IsZero() && now.Sub(at) < fresh {
			all = append(all, m.took[i])
		}
	}
	if len(all) < least {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*3/4]
}

// Allow returns how long to wait for an answer that is waited for some time as a rule:
// longer while most answers are late, but not longer than most.
func (m *Meter) Allow(now time.Time, rule, most time.Duration) time.Duration {
	return max(rule, min(most, times*m.Usual(now)))
}
