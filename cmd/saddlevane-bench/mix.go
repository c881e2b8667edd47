// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"math/rand/v2"

	"saddlevane/models/resource"
)

// taskShape is a size of task and how common it is.
type taskShape struct {
	need    resource.Vector
	percent int
}

// mix is a workload of one deployment. The shapes are made up after the brief's
// workloads: short scans and shards of scoring beside large renders.
type mix struct {
	name     string
	capacity resource.Vector
	shapes   []taskShape
}

func vector(millis resource.Millis, gib int64) resource.Vector {
	return resource.Vector{Processors: millis, Memory: resource.Bytes(gib) * resource.GiB}
}

var mixes = []mix{
	{"Jordan", vector(60_000, 130), []taskShape{
		{vector(500, 1), 30}, {vector(2_000, 4), 40}, {vector(4_000, 16), 15}, {vector(8_000, 8), 10}, {vector(16_000, 40), 5},
	}},
	{"Lakeshore", vector(60_000, 260), []taskShape{
		{vector(1_000, 6), 50}, {vector(4_000, 8), 20}, {vector(2_000, 20), 15}, {vector(10_000, 40), 10}, {vector(20_000, 30), 5},
	}},
}

func (m mix) draw(r *rand.Rand) resource.Vector {
	n := r.IntN(100)
	for _, s := range m.shapes {
		if n -= s.percent; n < 0 {
			return s.need
		}
	}
	return m.shapes[0].need
}

// bound is the most of each resource that any packing of the mix could reserve:
// whichever resource runs out first, if nothing were lost.
func (m mix) bound() (processors, memory float64) {
	var p, b float64
	for _, s := range m.shapes {
		p += float64(s.percent) * float64(s.need.Processors)
		b += float64(s.percent) * float64(s.need.Memory)
	}
	p /= float64(m.capacity.Processors)
	b /= float64(m.capacity.Memory)
	most := max(p, b)
	return p / most, b / most
}
