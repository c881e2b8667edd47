// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package learned

import (
	"math"
	"time"
)

// Speed is how long tasks take on a worker, against what they are expected to take.
type Speed struct {
	// seen is how many tasks the mean stands for, mean that of the logarithms of how
	// many times as long as expected they took.
	tasks, meanLogRatio float64
	// lastAt is when the last of them ended.
	lastAt time.Time
}

const (
	// minTaskWeight is the least weight of one task among those before: one task says
	// little, since its work may differ by half from what is expected.
	minTaskWeight = 0.1
	// fleetTaskWeight is that among the tasks of all workers.
	fleetTaskWeight = 0.01
	// speedValidity is how long a worker's speed is believed after its last task, so that a
	// slow one is tried again.
	speedValidity = 10 * time.Second
	// minSlowTasks is how many tasks show that a worker is slow, minAvoidedTasks how many
	// that it is so slow that it is avoided.
	minSlowTasks, minAvoidedTasks = 10, 3
	// slowLogRatio and avoidedLogRatio are the logarithms of how many times as long tasks take on
	// such workers: 1.15 and 2.2.
	slowLogRatio, avoidedLogRatio = 0.14, 0.79
)

// Observe takes how many times as long as expected a task took.
func (p *Speed) Observe(now time.Time, ratio float64) {
	if now.Sub(p.lastAt) > speedValidity {
		p.tasks, p.meanLogRatio = 0, 0
	}
	p.tasks++
	p.meanLogRatio += max(1/p.tasks, minTaskWeight) * (math.Log(ratio) - p.meanLogRatio)
	p.lastAt = now
}

// Slowness orders workers by how slow they are.
type Slowness int

// The kinds of slowness.
const (
	Normal Slowness = iota
	// Slow workers are left to tasks that are in no hurry.
	Slow
	// Avoided ones get tasks last, and no members of gangs, which are as slow as the
	// slowest.
	Avoided
)

// Slowness returns how slow the worker is among all, whose mean is given.
func (p *Speed) Slowness(now time.Time, fleet float64) Slowness {
	if p.tasks < minAvoidedTasks || now.Sub(p.lastAt) > speedValidity {
		return Normal
	}
	switch by := p.meanLogRatio - fleet; {
	case by >= avoidedLogRatio:
		return Avoided
	case by >= slowLogRatio && p.tasks >= minSlowTasks:
		return Slow
	default:
		return Normal
	}
}

// UpdateFleetMean returns the mean of all workers after a task of one of them.
func UpdateFleetMean(mean, ratio float64) float64 {
	return mean + fleetTaskWeight*(math.Log(ratio)-mean)
}
