// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package overload decides which new jobs a holder admits while it is overloaded. Overload is
// detected by the queueing time of events, not by the length of the queue (controlled delay,
// RFC 8289): 1,000 queued events are a third of a second of work for a box of 0.19 processors,
// which handles 2,800 events a second, and less for a larger box.
//
// While the queueing time stays high, the admitted share of new jobs is reduced step by step. It
// is raised again when the queueing time falls (additive increase, multiplicative decrease). Jobs
// of all kinds are refused with the same probability, so that no kind is starved. Events that
// concern commitments already made (leases, ends of runs, stops, accepted jobs) are never refused.
package overload

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxQueueAge is the queueing time above which the holder counts as overloaded. With this
	// delay a short task, which may start 0.6 s late, is still on time. On boxes that are not
	// overloaded the queueing time is below 50 ms with 1,100 workers.
	maxQueueAge = 300 * time.Millisecond
	// maxResponseTime is the response time of most workers above which the holder counts as
	// overloaded, because data that waits for the processor or in the link is in none of
	// the holder's queues. On a box of 0.19 processors with 1,100 workers the response times
	// were 0.4 s to 1.7 s while its event loop was 0.3 s behind. On links that were saturated
	// only at times and still usable they were up to 0.45 s.
	maxResponseTime = 600 * time.Millisecond
	// lateChecks is the number of consecutive checks that must find overload before jobs are
	// refused. A single delay does not require less load.
	lateChecks = 5
	// checkInterval is the time between two checks.
	checkInterval = 100 * time.Millisecond
	// decreaseFactor multiplies the admitted share at each check from the lateChecks-th in a
	// row that finds overload. increaseStep is added at each check that does not, which
	// raises the share from one half to 1 within 2.5 s.
	decreaseFactor = 0.9
	increaseStep   = 0.02
	// minAdmittedShare is the lower bound of the admitted share. Some jobs are always
	// admitted, so that the end of the overload is detected.
	minAdmittedShare = 0.05
	// minRetryAfter and maxRetryAfter bound the retry delay of refused jobs. The delays are
	// spread between them, because simultaneous retries would be another burst.
	minRetryAfter = time.Second
	maxRetryAfter = 3 * time.Second
)

// Gate decides which new jobs are admitted. The zero value admits all. It is not safe for
// concurrent use.
type Gate struct {
	// refusedShare is the share of new jobs that is refused, from 0 to 1-minAdmittedShare.
	refusedShare float64
	// maxAge is the longest queueing or response time since the last check.
	maxAge time.Duration
	// lateCount is the number of consecutive checks that found maxAge above maxQueueAge.
	lateCount   int
	nextCheckAt time.Time
}

// RecordQueueAge records the queueing time of an event that is handled now.
func (g *Gate) RecordQueueAge(age time.Duration) { g.maxAge = max(g.maxAge, age) }

// RecordResponseTime records the present response time of most workers. It is ignored
// up to maxResponseTime.
func (g *Gate) RecordResponseTime(took time.Duration) {
	if took > maxResponseTime {
		g.maxAge = max(g.maxAge, took)
	}
}

// Update checks for overload and adjusts the admitted share, if checkInterval has passed
// since the last check. It reports whether the holder thereby started or stopped refusing
// jobs.
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

// IsRefusing reports whether a part of the new jobs is refused.
func (g *Gate) IsRefusing() bool { return g.refusedShare > 0 }

// AdmittedShare returns the share of new jobs that is admitted, from minAdmittedShare to 1.
func (g *Gate) AdmittedShare() float64 { return 1 - g.refusedShare }

// Admit reports whether a new job is admitted. If it is not, retryAfter is the delay after
// which its caller should retry. The decision depends on the job's ID and the current second,
// so that a retry in another second may be admitted.
func (g *Gate) Admit(now time.Time, jobID string) (ok bool, retryAfter time.Duration) {
	if !g.IsRefusing() {
		return true, 0
	}
	draw := float64(xxhash.Sum64String(jobID+now.Format("05"))>>11) / (1 << 53)
	if draw < g.AdmittedShare() {
		return true, 0
	}
	spread := float64(xxhash.Sum64String(jobID)>>11) / (1 << 53)
	return false, minRetryAfter + time.Duration(spread*float64(maxRetryAfter-minRetryAfter))
}
