// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package pace decides how fast the tasks may work that fill idle processors, by what they
// do to the tasks that serve beside them.
package pace

// Full is the pace, in percent of a run's speed, that is not held back.
const Full = 100

const (
	// throttleAt and raiseAt are shares of the target. Tails are rough figures of the
	// last half second, so there is some way between them.
	throttleAt, raiseAt = 0.85, 0.6
	// urgentThrottleAt is the share from which fillers are nearly stopped at once.
	urgentThrottleAt = 1.2
	// throttleBy and urgentThrottleBy are what a pace is multiplied by.
	throttleBy, urgentThrottleBy = 0.6, 0.2
	// raiseBy is added to a pace, in percent of a run's speed.
	raiseBy = 10
	// minPace is the pace, in percent, below which fillers are halted: they keep
	// their memory.
	minPace = 5
)

// Next returns the pace of fillers beside tasks of which the worst tail is some
// share of its target.
func Next(pace int, worst float64) int {
	switch {
	case worst >= urgentThrottleAt:
		pace = int(urgentThrottleBy * float64(pace))
	case worst >= throttleAt:
		pace = int(throttleBy * float64(pace))
	case worst < raiseAt:
		return min(Full, pace+raiseBy)
	}
	if pace < minPace {
		return 0
	}
	return pace
}
