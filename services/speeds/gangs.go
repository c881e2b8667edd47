// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package speeds

import (
	"math"
	"time"
)

// minGangSpread is the logarithm of the ratio of the paces of a gang's members from which each advances at
// the speed of its worker. Where the members wait for each other all the time, their progress is equal.
const minGangSpread = 0.05

// Member is how far a member of a gang has come after some time.
type Member struct {
	Worker string
	Ran    time.Duration
	// Done is the share of its work that it has done.
	Done float64
}

// RunsOfGang returns how long each member of a gang would take alone, or nil if their progress does not
// show it.
func RunsOfGang(members []Member) []Run {
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	runs := make([]Run, 0, len(members))
	for _, m := range members {
		if m.Ran < minTime || m.Done <= 0 {
			continue
		}
		r := Run{Worker: m.Worker, Took: time.Duration(float64(m.Ran) / m.Done)}
		runs = append(runs, r)
		shortest, longest = min(shortest, r.Took), max(longest, r.Took)
	}
	if len(runs) < 2 || math.Log(float64(longest)/float64(shortest)) < minGangSpread {
		return nil
	}
	return runs
}
