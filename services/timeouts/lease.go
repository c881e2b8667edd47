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
