// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package admission

import (
	"time"

	"saddlevane/models/resource"
)

// amounts holds processors in thousandths, bytes of memory and accelerators, or each of them per
// second.
type amounts [3]float64

// amountsOf returns a vector as amounts.
func amountsOf(v resource.Vector) amounts {
	return amounts{float64(v.Processors), float64(v.Memory), float64(v.Accelerators)}
}

// add adds factor times o.
func (a *amounts) add(o amounts, factor float64) {
	for i := range a {
		a[i] += factor * o[i]
	}
}

// class is the part of the order of the plan that a job belongs to. All jobs within their share go
// before those beyond it.
type class struct {
	beyondShare bool
	priority    int
}

// isAfter reports whether steps of class c are placed after those of class o or beside them.
func (c class) isAfter(o class) bool {
	if c.beyondShare != o.beyondShare {
		return c.beyondShare
	}
	return c.priority >= o.priority
}

// Pool sums up the workers of a pool and the steps that run or wait there.
type Pool struct {
	free, ending amounts
	waiting      map[class]amounts
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{waiting: map[class]amounts{}} }

// AddFree adds the capacity of a worker that is neither in use nor committed. Resources of which
// more is committed than free are ignored.
func (p *Pool) AddFree(free resource.Vector) { p.free.add(amountsOf(free.Max(resource.Vector{})), 1) }

// AddRunning adds tasks that run and usually take runTime. Over time, the capacity of a task comes
// free once per run time.
func (p *Pool) AddRunning(need resource.Vector, runTime time.Duration) {
	if runTime > 0 {
		p.ending.add(amountsOf(need), 1/runTime.Seconds())
	}
}

// AddWaiting adds tasks that wait to be placed.
func (p *Pool) AddWaiting(need resource.Vector, priority int, beyondShare bool) {
	p.addWaiting(amountsOf(need), class{beyondShare, priority})
}

func (p *Pool) addWaiting(need amounts, c class) {
	sum := p.waiting[c]
	sum.add(need, 1)
	p.waiting[c] = sum
}

// ahead returns what waits before a new job of a class.
func (p *Pool) ahead(c class) amounts {
	var sum amounts
	for other, need := range p.waiting {
		if c.isAfter(other) {
			sum.add(need, 1)
		}
	}
	return sum
}
