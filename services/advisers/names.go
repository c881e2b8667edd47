// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package advisers

import "saddlevane/models/job"

const (
	// NamesMost bounds the workers named in one call. A gang may have several calls
	// under way.
	NamesMost = 64
	// namesLeast is how many workers a call names at least, if there are so many.
	namesLeast = 4
	// namesShare is what more names may add to the time of a call, as a share of its
	// fixed part.
	namesShare = 0.25
)

// NamesAtLeast returns how many workers a call names at least, if there are so many:
// what they add to the time of the call is small beside its fixed part, and a second
// call would take that again.
func NamesAtLeast(q *job.Advice) int {
	if q.Each <= 0 {
		return NamesMost
	}
	return min(NamesMost, max(namesLeast, int(namesShare*float64(q.Base)/float64(q.Each))))
}
