// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package advicecalls

import (
	"math"
	"time"

	"saddlevane/models/job"
)

const (
	// gangCandidateFactor is how many slots on eligible workers should be known for each task of a
	// gang, so that it does not have to wait for particular workers. The factor grows by
	// gangCandidateGrowth for each second that the gang has waited.
	gangCandidateFactor = 2
	gangCandidateGrowth = 0.5
	// maxGangCandidateFactor limits the grown factor, and maxAmpleCapacityCandidateFactor does so while
	// much of the workers' capacity is free: no other step needs the advice calls then.
	maxGangCandidateFactor          = 3.5
	maxAmpleCapacityCandidateFactor = 12
	// askFactor is how many slots on suitable workers a request for advice should be expected to
	// find for each unplaced task.
	askFactor = 1.5
	// minSlotsPerWorker is the number of slots for which a named worker without free capacity
	// counts, because it may have some soon.
	minSlotsPerWorker = 0.3
	// maxWorkersAsked is the maximum number of workers about which advice is requested for the
	// unplaced tasks of one step at a time.
	maxWorkersAsked = 60
)

// WantedSlots returns the number of task slots on eligible workers that should be known for a gang of
// some tasks that has waited for some time. Ample is set while much of the workers' capacity is free.
func WantedSlots(tasks int, waited time.Duration, ample bool) float64 {
	factor := gangCandidateFactor + gangCandidateGrowth*max(0, waited.Seconds())
	maxFactor := maxGangCandidateFactor
	if ample {
		maxFactor = maxAmpleCapacityCandidateFactor
	}
	return min(factor, maxFactor) * float64(tasks)
}

// WorkersForSlots returns the number of workers to name so that the missing slots can be expected on
// the suitable ones, where the largest worker has slotsPerWorker when empty.
func WorkersForSlots(q *job.Advice, missing float64, slotsPerWorker int, suitableShare float64) int {
	suitableSlots := float64(max(1, slotsPerWorker)) * suitableShare
	return max(MinWorkersPerCall(q), int(math.Ceil(missing/suitableSlots)))
}

// Naming counts the workers that a request for advice names, until it can be expected to find enough
// capacity for the unplaced tasks of a step.
type Naming struct {
	minWorkers, named int
	missing           float64
}

// NewNaming returns the count for a request that names no worker yet. Known is the number of workers
// about which the step has advice.
func NewNaming(q *job.Advice, unplacedTasks, known int, suitableShare float64) Naming {
	return Naming{minWorkers: MinWorkersPerLaterCall(q, known), missing: askFactor * float64(unplacedTasks) / suitableShare}
}

// IsEnough reports whether the request names enough workers.
func (n *Naming) IsEnough() bool {
	return n.named == maxWorkersAsked || n.named >= n.minWorkers && n.missing <= 0
}

// Add counts a named worker with capacity for some tasks of the step.
func (n *Naming) Add(freeSlots int) {
	n.named++
	n.missing -= max(minSlotsPerWorker, float64(freeSlots))
}

// EqualCalls returns how many workers each call names at most if a request for advice on at least one worker
// is made in as few calls as possible, all of about the same size.
func EqualCalls(workers int) int {
	calls := (workers + MaxWorkersPerCall - 1) / MaxWorkersPerCall
	return (workers + calls - 1) / calls
}
