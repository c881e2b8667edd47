// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import "saddlevane/models/resource"

// Weights hold the preferences of a placement. Lower scores are better.
type Weights struct {
	// Tight is the weight of the resources that stay free: with it, workers that the task nearly
	// fills are preferred.
	Tight float64
	// Balance is the weight of the imbalance that remains: with it, workers whose processors and
	// memory are then used in equal proportions are preferred.
	Balance float64
}

// DefaultWeights returns the weights that gave the best results in benchmarks.
func DefaultWeights() Weights { return Weights{Tight: 1, Balance: 4} }

// Score rates the placement of need on n. Lower is better.
func (w Weights) Score(n *Node, need resource.Vector) float64 {
	left := n.free.Minus(need)
	processors := fraction(int64(left.Processors), int64(n.capacity.Processors))
	memory := fraction(int64(left.Memory), int64(n.capacity.Memory))
	return w.Tight*(processors+memory)/2 + w.Balance*max(processors-memory, memory-processors)
}

// fraction returns a/b, or 0 if b is not positive.
func fraction(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}
