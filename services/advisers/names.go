// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package advisers

import "saddlevane/models/job"

const (
	// MaxWorkersPerCall bounds the workers named in one call. A gang may have several calls
	// under way.
	MaxWorkersPerCall = 64
	// minWorkersPerCall is how many workers a call names at least, if there are so many.
	minWorkersPerCall = 4
	// extraTimeShare is what more names may add to the time of a call, as a share of its
	// fixed part.
	extraTimeShare = 0.25
)

// MinWorkersPerCall returns how many workers a call names at least, if there are so many:
// what they add to the time of the call is small beside its fixed part, and a second
// call would take that again.
func MinWorkersPerCall(q *job.Advice) int {
	if q.TimePerWorker <= 0 {
		return MaxWorkersPerCall
	}
	return min(MaxWorkersPerCall, max(minWorkersPerCall, int(extraTimeShare*float64(q.BaseTime)/float64(q.TimePerWorker))))
}
