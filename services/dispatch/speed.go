// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"time"
)

// speed is how long tasks take on a worker, against what they are expected to take.
type speed struct {
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

// observe takes how many times as long as expected a task took.
func (p *speed) observe(now time.Time, ratio float64) {
	if now.Sub(p.lastAt) > speedFor {
		p.seen, p.mean = 0, 0
	}
	p.seen++
	p.mean += max(1/p.seen, speedWeight) * (math.Log(ratio) - p.mean)
	p.lastAt = now
}

// slowness orders workers by how slow they are.
type slowness int

// The kinds of slowness.
const (
	usual slowness = iota
	// slow workers are left to tasks that are in no hurry.
	slow
	// avoided ones get tasks last, and no members of gangs, which are as slow as the
	// slowest.
	avoided
)

// slownessOf returns how slow a worker is among all.
func (h *holding) slownessOf(now time.Time, w *worker) slowness {
	p := &w.speed
	if !h.uses(SlowWorkers) {
		return usual
	}
	if p.seen < fewSlowTasks || now.Sub(p.lastAt) > speedFor {
		return usual
	}
	switch by := p.mean - h.learned.fleetSpeed; {
	case by >= avoidBy:
		return avoided
	case by >= slowBy && p.seen >= slowTasks:
		return slow
	default:
		return usual
	}
}

// learnSpeed takes how long a task took on its worker. Members of a gang end
// together, so they tell nothing of one worker.
func (h *holding) learnSpeed(now time.Time, a *attempt) {
	s := a.step
	if s.spec.Gang || s.spec.Service || a.adopted || a.resumed || a.state != running {
		return
	}
	ratio := max(now.Sub(a.since), leastTime).Seconds() / max(h.expect(s), leastTime).Seconds()
	a.worker.speed.observe(now, ratio)
	h.learned.fleetSpeed += fleetWeight * (math.Log(ratio) - h.learned.fleetSpeed)
}
