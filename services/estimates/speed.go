// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package estimates

import (
	"math"
	"time"
)

// Speed tracks how long tasks take on a worker compared with their expected run times.
type Speed struct {
	// meanLogRatio is the mean of the logarithms of actual by expected run time, over the given
	// number of tasks.
	tasks, meanLogRatio float64
	// lastAt is when the last of these tasks ended.
	lastAt time.Time
}

const (
	// minTaskWeight is the minimum weight of a new task in the mean. It is small because a single
	// task says little: its work may differ by half from what is expected.
	minTaskWeight = 0.1
	// fleetTaskWeight is the weight of a new task in the mean over all workers.
	fleetTaskWeight = 0.01
	// speedValidity is how long the speed of a worker is used after its last task, so that a slow
	// worker is tried again.
	speedValidity = 10 * time.Second
	// minSlowTasks is the number of tasks needed to classify a worker as Slow, and minAvoidedTasks
	// the number needed to classify it as Avoided.
	minSlowTasks, minAvoidedTasks = 10, 3
	// slowLogRatio and avoidedLogRatio are the differences of meanLogRatio from that of all workers
	// from which a worker is Slow or Avoided: its tasks take 1.15 or 2.2 times as long.
	slowLogRatio, avoidedLogRatio = 0.14, 0.79
)

// Observe records the ratio of actual to expected run time of a task that has ended.
func (s *Speed) Observe(now time.Time, ratio float64) {
	if now.Sub(s.lastAt) > speedValidity {
		s.tasks, s.meanLogRatio = 0, 0
	}
	s.tasks++
	s.meanLogRatio += max(1/s.tasks, minTaskWeight) * (math.Log(ratio) - s.meanLogRatio)
	s.lastAt = now
}

// Slowness classifies workers by how slow they are.
type Slowness int

// The classes of slowness.
const (
	Normal Slowness = iota
	// Slow workers are used for tasks that are not urgent.
	Slow
	// Avoided workers get tasks last, and no members of gangs, since a gang is as slow as its
	// slowest member.
	Avoided
)

// Slowness returns the class of the worker. fleet is the mean of meanLogRatio over all workers.
func (s *Speed) Slowness(now time.Time, fleet float64) Slowness {
	if s.tasks < minAvoidedTasks || now.Sub(s.lastAt) > speedValidity {
		return Normal
	}
	switch by := s.meanLogRatio - fleet; {
	case by >= avoidedLogRatio:
		return Avoided
	case by >= slowLogRatio && s.tasks >= minSlowTasks:
		return Slow
	default:
		return Normal
	}
}

// UpdateFleetMean returns the mean over all workers after one more task with the given ratio of
// actual to expected run time.
func UpdateFleetMean(mean, ratio float64) float64 {
	return mean + fleetTaskWeight*(math.Log(ratio)-mean)
}
