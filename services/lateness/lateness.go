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
	// maxSamples is how many of the latest answers count: enough that a quarter of them is more
	// than the workers of one rack, few enough that a bad moment is soon forgotten.
	maxSamples = 128
	// minSamples is how many there must be to tell anything.
	minSamples = 12
	// sampleAge is how long an answer counts.
	sampleAge = 5 * time.Second
	// recomputeInterval is how often the quartile is taken anew, for which the answers are sorted.
	recomputeInterval = 20 * time.Millisecond
	// timeoutFactor is for how many times the usual time an answer is waited for: of answers
	// that wait in one queue few take longer.
	timeoutFactor = 4
)

// ResponseTimes keeps how long the latest answers took. It is not safe for concurrent use.
type ResponseTimes struct {
	durations  [maxSamples]time.Duration
	receivedAt [maxSamples]time.Time
	next       int

	quartile   time.Duration
	computedAt time.Time
}

// Record takes how long an answer took that has come now.
func (m *ResponseTimes) Record(now time.Time, took time.Duration) {
	m.durations[m.next], m.receivedAt[m.next] = max(0, took), now
	m.next = (m.next + 1) % maxSamples
}

// UpperQuartile returns the time within which three of four answers come at present, or 0 if
// there were too few to tell.
func (m *ResponseTimes) UpperQuartile(now time.Time) time.Duration {
	if !m.computedAt.IsZero() && now.Sub(m.computedAt) < recomputeInterval {
		return m.quartile
	}
	m.computedAt = now
	m.quartile = m.computeQuartile(now)
	return m.quartile
}

// computeQuartile returns the third quartile of the answers that are fresh.
func (m *ResponseTimes) computeQuartile(now time.Time) time.Duration {
	all := make([]time.Duration, 0, maxSamples)
	for i, at := range m.receivedAt {
		if !at.IsZero() && now.Sub(at) < sampleAge {
			all = append(all, m.durations[i])
		}
	}
	if len(all) < minSamples {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*3/4]
}

// CallTimeout returns how long to wait for an answer that is waited for some time as a rule:
// longer while most answers are late, but not longer than most.
func (m *ResponseTimes) CallTimeout(now time.Time, rule, most time.Duration) time.Duration {
	return max(rule, min(most, timeoutFactor*m.UpperQuartile(now)))
}
