// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"saddlevane/models/resource"
	"saddlevane/services/placement"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func init() {
	if os.Getenv("SADDLEVANE_FREE_SEEDS") == "" {
		_ = flag.Set("rapid.seed", "1")
	}
}

func TestBestFindsFittingWorkerIfAny(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := func(label string, most int64) resource.Vector {
			return resource.Vector{
				Processors: resource.Millis(rapid.Int64Range(0, most).Draw(t, label)),
				Memory:     resource.Bytes(rapid.Int64Range(0, most).Draw(t, label)),
			}
		}
		var x placement.Index
		var nodes []*placement.Node
		for i := range rapid.IntRange(1, 200).Draw(t, "workers") {
			capacity := amount("capacity", 64_000).Plus(resource.Vector{Processors: 1, Memory: 1})
			n := placement.NewNode(fmt.Sprint(i), "r", capacity)
			nodes = append(nodes, n)
			x.Add(n)
		}
		for range 50 {
			need := amount("need", 64_000)
			n := x.Best(need, func(*placement.Node) float64 { return 0 })
			fits := false
			for _, other := range nodes {
				fits = fits || need.Fits(other.Free())
			}
			assert.Equal(t, n != nil, fits)
			if n == nil {
				continue
			}
			assert.Check(t, need.Fits(n.Free()))
			n.Reserve(need)
			assert.Check(t, !n.Free().IsNegative())
			if rapid.Bool().Draw(t, "release") {
				n.Release(need)
			}
		}
	})
}

func TestRemovedWorkerIsNotFound(t *testing.T) {
	var x placement.Index
	n := placement.NewNode("w", "r", resource.Vector{Processors: 4000, Memory: resource.GiB})
	x.Add(n)
	x.Remove(n)
	assert.Equal(t, x.Len(), 0)
	assert.Check(t, x.Best(resource.Vector{Processors: 1}, func(*placement.Node) float64 { return 0 }) == nil)
}

func TestTighterWorkerIsPreferred(t *testing.T) {
	var x placement.Index
	need := resource.Vector{Processors: 1000, Memory: resource.GiB}
	for i := range 40 {
		n := placement.NewNode(fmt.Sprint(i), "r", resource.Vector{Processors: 16_000, Memory: 16 * resource.GiB})
		x.Add(n)
		if i == 20 {
			n.Reserve(resource.Vector{Processors: 14_000, Memory: 14 * resource.GiB})
		}
	}
	w := placement.DefaultWeights()
	best := x.Best(need, func(n *placement.Node) float64 { return w.Score(n, need) })
	assert.Equal(t, best.Name(), "20")
}
