// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package timeouts derives timeouts: for calls to workers from recent response times, for
// leases from the permitted clock drift, and for stalled runs from their progress.
//
// Call timeouts follow the response times of all workers together. A single slow or
// unresponsive worker hardly changes them, because most others answer as usual. If most
// answers are late, the cause is this process, its processor or its link, and abandoning
// and repeating calls would delay it further.
//
// Retransmission timeouts are adapted in the same way (RFC 6298). Instead of the mean and
// its variation the third quartile is used, because up to a quarter of the workers cannot
// change it.
package timeouts

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of latest answers that are kept. A quarter of it is more than
	// the number of workers in one rack, and it is small enough that the samples of a brief
	// slowdown are soon overwritten.
	maxSamples = 128
	// minSamples is the number of recent answers below which no quartile is computed.
	minSamples = 12
	// sampleAge is the age from which an answer is no longer considered.
	sampleAge = 5 * time.Second
	// recomputeInterval is the minimum time between two computations of the quartile, each
	// of which sorts the samples.
	recomputeInterval = 20 * time.Millisecond
	// timeoutFactor is the ratio of the timeout to the third quartile. Of answers that wait
	// in the same queue, few take longer than that.
	timeoutFactor = 4
)

// ResponseTimes holds the response times of the latest calls to workers. The zero value
// holds none. It is not safe for concurrent use.
type ResponseTimes struct {
	// durations and receivedAt are ring buffers, and next is the index to overwrite next.
	durations  [maxSamples]time.Duration
	receivedAt [maxSamples]time.Time
	next       int

	// quartile is the third quartile as of computedAt.
	quartile   time.Duration
	computedAt time.Time
}

// Record adds the response time of an answer that was received now.
func (r *ResponseTimes) Record(now time.Time, took time.Duration) {
	r.durations[r.next], r.receivedAt[r.next] = max(0, took), now
	r.next = (r.next + 1) % maxSamples
}

// UpperQuartile returns the time within which three quarters of the recent answers were
// received, or 0 if there are fewer than minSamples. The result may be recomputeInterval old.
func (r *ResponseTimes) UpperQuartile(now time.Time) time.Duration {
	if !r.computedAt.IsZero() && now.Sub(r.computedAt) < recomputeInterval {
		return r.quartile
	}
	r.computedAt = now
	r.quartile = r.computeQuartile(now)
	return r.quartile
}

// computeQuartile returns the third quartile of the response times received within the last
// sampleAge, or 0 if there are fewer than minSamples.
func (r *ResponseTimes) computeQuartile(now time.Time) time.Duration {
	all := make([]time.Duration, 0, maxSamples)
	for i, at := range r.receivedAt {
		if !at.IsZero() && now.Sub(at) < sampleAge {
			all = append(all, r.durations[i])
		}
	}
	if len(all) < minSamples {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*3/4]
}

// CallTimeout returns how long to wait for an answer: at least base, and longer while most
// answers are late, up to limit.
func (r *ResponseTimes) CallTimeout(now time.Time, base, limit time.Duration) time.Duration {
	return max(base, min(limit, timeoutFactor*r.UpperQuartile(now)))
}
