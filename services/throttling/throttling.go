// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package throttling decides how fast filler tasks, which use idle processors, may run. It throttles them
// according to the tail latency of the service tasks on the same worker.
package throttling

// Full is the pace of fillers that are not throttled, in percent of their full speed.
const Full = 100

const (
	// throttleAt is the ratio of tail latency to its target from which fillers are throttled,
	// and raiseAt the ratio below which their pace is raised. The gap between them is needed
	// because tail latencies are rough estimates over the last 0.5 s.
	throttleAt, raiseAt = 0.85, 0.6
	// urgentThrottleAt is the ratio from which the pace is cut to urgentThrottleBy at once.
	urgentThrottleAt = 1.2
	// throttleBy and urgentThrottleBy are the factors by which the pace is reduced.
	throttleBy, urgentThrottleBy = 0.6, 0.2
	// raiseBy is how much the pace is raised at a time, in percent of full speed.
	raiseBy = 10
	// minPace is the pace in percent of full speed below which fillers are paused. They keep
	// their memory while paused.
	minPace = 5
)

// Next returns the next pace of the fillers on a worker, given their present pace and the highest
// ratio of tail latency to target among the service tasks on the worker. The result is 0 if the
// fillers are to be paused.
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
