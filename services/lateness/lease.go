// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lateness

import "time"

const (
	// clockDrift is by how much a worker's steady clock may be off (protocol).
	clockDrift = 0.03
	// expiryMargin is added before a lease counts as run out, for the time that
	// the order which set it was on its way.
	expiryMargin = 150 * time.Millisecond
)

// MaxLeaseDuration returns how long a lease can last on the slowest clock allowed.
func MaxLeaseDuration(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+clockDrift)) + expiryMargin
}
