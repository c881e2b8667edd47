// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeouts

import "time"

const (
	// clockDrift is the maximum relative rate error of a worker's monotonic clock that the
	// protocol permits.
	clockDrift = 0.03
	// expiryMargin is added to a lease before it is considered expired. It covers the
	// network delay of the order that set the lease.
	expiryMargin = 150 * time.Millisecond
)

// MaxLeaseDuration returns how long a lease can last on a worker whose clock is as slow as
// the protocol permits.
func MaxLeaseDuration(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+clockDrift)) + expiryMargin
}

// LeaseWithin returns the longest lease that has surely expired after limit, on a worker whose clock is
// as slow as the protocol permits. It is the inverse of MaxLeaseDuration, and 0 if limit is too short
// for any lease.
func LeaseWithin(limit time.Duration) time.Duration {
	return max(0, time.Duration(float64(limit-expiryMargin)/(1+clockDrift)))
}
