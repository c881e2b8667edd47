// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package overload decides which new jobs a holder takes in while it falls behind. It
// goes by the age of what waits, not by its number: 1,000 events are a third of a second for a
// box of 0.19 processors, which takes 2,800 a second, and less for a larger one
// (controlled delay, RFC 8289). While the age
// stays high the share of new jobs that is taken shrinks step by step and grows again as
// it falls (additive increase, multiplicative decrease). All kinds of jobs are refused
// alike, so that none falls to nothing; what keeps promises already made (leases, ends,
// stops, jobs accepted) is never refused.
package overload

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxQueueAge is the age of what waits from which the holder is behind: with it a short
	// task, which may start 0.6 s late, is still on time. On boxes that keep up it is
	// below 50 ms at 1,100 workers.
	maxQueueAge = 300 * time.Millisecond
	// maxResponseTime is how long most workers' answers take from which the holder is behind:
	// what waits for its processor or in its link waits in no queue of its own. On a box
	// of 0.19 processors with 1,100 workers they took 0.4 s to 1.7 s while its loop was
	// 0.3 s behind; on links that are full at times, and serve, up to 0.45 s.
	maxResponseTime = 600 * time.Millisecond
	// lateChecks is for how many looks in a row it must be late before jobs are refused: a
	// box that was held up once needs no less work.
	lateChecks = 5
	// checkInterval is the time between two looks.
	checkInterval = 100 * time.Millisecond
	// decreaseFactor is what the share is multiplied with at each look while the holder is
	// behind, grows what is added at each other one: back from a half within 2.5 s.
	decreaseFactor = 0.9
	increaseStep   = 0.02
	// minAdmittedShare is taken in any case, so that the way back is noticed.
	minAdmittedShare = 0.05
	// minRetryAfter is when the first of those refused are told to come back, maxRetryAfter
	// when the last are: all at once would be the next burst.
	minRetryAfter = time.Second
	maxRetryAfter = 3 * time.Second
)

// Gate decides which new jobs are taken. It is not safe for concurrent use.
type Gate struct {
	// refused is the share of new jobs that is not taken.
	refusedShare float64
	// oldest is the highest age since the last look, lateCount for how many looks in a row
	// that was late.
	maxAge      time.Duration
	lateCount   int
	nextCheckAt time.Time
}

// RecordQueueAge takes for how long something has waited that is dealt with now.
func (g *Gate) RecordQueueAge(age time.Duration) { g.maxAge = max(g.maxAge, age) }

// RecordResponseTime takes how long most workers' answers take at present.
func (g *Gate) RecordResponseTime(usual time.Duration) {
	if usual > maxResponseTime {
		g.maxAge = max(g.maxAge, usual)
	}
}

// Update adapts the share if that is due, and says whether the holder began or ceased to
// refuse jobs by that.
func (g *Gate) Update(now time.Time) (changed bool) {
	if now.Before(g.nextCheckAt) {
		return false
	}
	g.nextCheckAt = now.Add(checkInterval)
	before := g.IsRefusing()
	if g.maxAge > maxQueueAge {
		g.lateCount++
	} else {
		g.lateCount = 0
	}
	g.maxAge = 0
	switch {
	case g.lateCount >= lateChecks:
		g.refusedShare = min(1-minAdmittedShare, 1-(1-g.refusedShare)*decreaseFactor)
	case g.lateCount == 0:
		g.refusedShare = max(0, g.refusedShare-increaseStep)
	}
	return g.IsRefusing() != before
}

// IsRefusing says whether some new jobs are refused.
func (g *Gate) IsRefusing() bool { return g.refusedShare > 0 }

// AdmittedShare returns the share of new jobs that is taken.
func (g *Gate) AdmittedShare() float64 { return 1 - g.refusedShare }

// Admit says whether a new job is taken, else when its caller should come back. A job
// that comes again has another chance each second.
func (g *Gate) Admit(now time.Time, job string) (ok bool, after time.Duration) {
	if !g.IsRefusing() {
		return true, 0
	}
	draw := float64(xxhash.Sum64String(job+now.Format("05"))>>11) / (1 << 53)
	if draw < g.AdmittedShare() {
		return true, 0
	}
	spread := float64(xxhash.Sum64String(job)>>11) / (1 << 53)
	return false, minRetryAfter + time.Duration(spread*float64(maxRetryAfter-minRetryAfter))
}
