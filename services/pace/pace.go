// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package pace decides how fast the tasks may work that fill idle processors, by what they
// do to the tasks that serve beside them.
package pace

// Full is the pace, in percent of a run's speed, that is not held back.
const Full = 100

const (
	// throttleAt and easeAt are shares of the target. Tails are rough figures of the
	// last half second, so there is some way between them.
	throttleAt, easeAt = 0.85, 0.6
	// urgentAt is the share from which fillers are nearly stopped at once.
	urgentAt = 1.2
	// throttleBy and urgentBy are what a pace is multiplied by.
	throttleBy, urgentBy = 0.6, 0.2
	// easeBy is added to a pace, in percent of a run's speed.
	easeBy = 10
	// leastPace is the pace, in percent, below which fillers are halted: they keep
	// their memory.
	leastPace = 5
)

// Next returns the pace of fillers beside tasks of which the worst tail is some
// share of its target.
func Next(pace int, worst float64) int {
	switch {
	case worst >= urgentAt:
		pace = int(urgentBy * float64(pace))
	case worst >= throttleAt:
		pace = int(throttleBy * float64(pace))
	case worst < easeAt:
		return min(Full, pace+easeBy)
	}
	if pace < leastPace {
		return 0
	}
	return pace
}
