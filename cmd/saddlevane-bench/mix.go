// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"math/rand/v2"

	"saddlevane/models/resource"
)

// taskShape is the resource need of a task and the percentage of tasks that have it.
type taskShape struct {
	need    resource.Vector
	percent int
}

// mix is the workload of one deployment and the capacity of its workers. The shapes are invented,
// following typical workloads: short scans and scoring shards next to large renders.
type mix struct {
	name     string
	capacity resource.Vector
	shapes   []taskShape
}

// vector returns a vector of processors in thousandths and memory in GiB.
func vector(millis resource.Millis, gib int64) resource.Vector {
	return resource.Vector{Processors: millis, Memory: resource.Bytes(gib) * resource.GiB}
}

// mixes holds the workloads that the packing is measured with.
var mixes = []mix{
	{"Jordan", vector(60_000, 130), []taskShape{
		{vector(500, 1), 30}, {vector(2_000, 4), 40}, {vector(4_000, 16), 15}, {vector(8_000, 8), 10}, {vector(16_000, 40), 5},
	}},
	{"Lakeshore", vector(60_000, 260), []taskShape{
		{vector(1_000, 6), 50}, {vector(4_000, 8), 20}, {vector(2_000, 20), 15}, {vector(10_000, 40), 10}, {vector(20_000, 30), 5},
	}},
}

// draw returns the need of a random task.
func (m mix) draw(r *rand.Rand) resource.Vector {
	n := r.IntN(100)
	for _, s := range m.shapes {
		if n -= s.percent; n < 0 {
			return s.need
		}
	}
	return m.shapes[0].need
}

// bound returns the share of each resource that an ideal packing of the mix would reserve. The
// scarcer resource is reserved completely.
func (m mix) bound() (processors, memory float64) {
	var p, b float64
	for _, s := range m.shapes {
		p += float64(s.percent) * float64(s.need.Processors)
		b += float64(s.percent) * float64(s.need.Memory)
	}
	p /= float64(m.capacity.Processors)
	b /= float64(m.capacity.Memory)
	scarcest := max(p, b)
	return p / scarcest, b / scarcest
}
