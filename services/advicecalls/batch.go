// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package advicecalls

import (
	"time"

	"saddlevane/models/job"
)

const (
	// MaxWorkersPerCall is the maximum number of workers named in one call. A gang may have
	// several calls in progress.
	MaxWorkersPerCall = 64
	// minWorkersPerCall is the lower bound of the result of MinWorkersPerCall.
	minWorkersPerCall = 4
	// extraTimeShare is how much the named workers may add to the duration of a call, as a
	// share of its fixed part, if fewer workers would be sufficient.
	extraTimeShare = 0.25
)

// MinWorkersPerCall returns the number of workers that a call should name at least, if there are
// that many. They add little to the duration of the call compared with its fixed part, which a
// second call would take again.
func MinWorkersPerCall(q *job.Advice) int {
	if q.TimePerWorker <= 0 {
		return MaxWorkersPerCall
	}
	return min(MaxWorkersPerCall, max(minWorkersPerCall, int(extraTimeShare*float64(q.BaseTime)/float64(q.TimePerWorker))))
}

// minCallsPerStop is how many calls have to take less time than a stop, so that more workers are asked about
// before tasks are stopped.
const minCallsPerStop = 4

// AreFasterThanStops reports whether several calls usually take less time than to stop tasks.
func AreFasterThanStops(q *job.Advice, stopTime time.Duration) bool {
	callTime := q.BaseTime + time.Duration(MinWorkersPerCall(q))*q.TimePerWorker
	return minCallsPerStop*callTime < stopTime
}

// MinWorkersPerLaterCall returns the number of workers that a call should name at least for a step
// that still waits after answers about known workers: as many as are known, as long as the call stays
// brief. A step that finds no capacity is asked about until all workers are known, and each call costs
// the holder a message, an answer and a plan.
func MinWorkersPerLaterCall(q *job.Advice, known int) int {
	least := MinWorkersPerCall(q)
	if q.TimePerWorker <= 0 {
		return least
	}
	brief := int((BriefCall - q.BaseTime) / q.TimePerWorker)
	return max(least, min(known, brief, MaxWorkersPerCall))
}
