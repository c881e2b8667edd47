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
	seen, mean float64
	// lastAt is when the last of them ended.
	lastAt time.Time
}

const (
	// speedWeight is the least weight of one task among those before: one task says
	// little, since its work may differ by half from what is expected.
	speedWeight = 0.1
	// fleetWeight is that among the tasks of all workers.
	fleetWeight = 0.01
	// speedFor is how long a worker's speed is believed after its last task, so that a
	// slow one is tried again.
	speedFor = 10 * time.Second
	// slowTasks is how many tasks show that a worker is slow, fewSlowTasks how many
	// that it is so slow that it is avoided.
	slowTasks, fewSlowTasks = 10, 3
	// slowBy and avoidBy are the logarithms of how many times as long tasks take on
	// such workers: 1.15 and 2.2.
	slowBy, avoidBy = 0.14, 0.79
)

// Observe takes how many times as long as expected a task took.
func (p *Speed) Observe(now time.Time, ratio float64) {
	if now.Sub(p.lastAt) > speedFor {
		p.seen, p.mean = 0, 0
	}
	p.seen++
	p.mean += max(1/p.seen, speedWeight) * (math.Log(ratio) - p.mean)
	p.lastAt = now
}

// Slowness orders workers by how slow they are.
type Slowness int

// The kinds of slowness.
const (
	Usual Slowness = iota
	// Slow workers are left to tasks that are in no hurry.
	Slow
	// Avoided ones get tasks last, and no members of gangs, which are as slow as the
	// slowest.
	Avoided
)

// Among returns how slow the worker is among all, whose mean is given.
func (p *Speed) Among(now time.Time, fleet float64) Slowness {
	if p.seen < fewSlowTasks || now.Sub(p.lastAt) > speedFor {
		return Usual
	}
	switch by := p.mean - fleet; {
	case by >= avoidBy:
		return Avoided
	case by >= slowBy && p.seen >= slowTasks:
		return Slow
	default:
		return Usual
	}
}

// Fleet returns the mean of all workers after a task of one of them.
func Fleet(mean, ratio float64) float64 { return mean + fleetWeight*(math.Log(ratio)-mean) }
