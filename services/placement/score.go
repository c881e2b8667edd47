// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import "saddlevane/models/resource"

// Weights hold the preferences of a placement. Lower scores are better.
type Weights struct {
	// Tight is the weight of the resources that stay free: it prefers workers that the task nearly
	// fills.
	Tight float64
	// Balance is the weight of the imbalance that remains: it prefers workers whose processors and
	// memory are then used in equal proportions.
	Balance float64
}

// DefaultWeights returns the weights that give the best results in `make bench-decisions`.
func DefaultWeights() Weights { return Weights{Tight: 1, Balance: 4} }

// Score rates the placement of need on n. Lower is better.
func (w Weights) Score(n *Node, need resource.Vector) float64 {
	left := n.free.Minus(need)
	processors := fraction(int64(left.Processors), int64(n.capacity.Processors))
	memory := fraction(int64(left.Memory), int64(n.capacity.Memory))
	return w.Tight*(processors+memory)/2 + w.Balance*max(processors-memory, memory-processors)
}

func fraction(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}
