// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import "saddlevane/models/resource"

// Weights say what a placement prefers. Lower scores are better.
type Weights struct {
	// Tight prefers workers that the task nearly fills.
	Tight float64
	// Balance prefers workers whose processors and memory then run out together.
	Balance float64
}

// DefaultWeights are the weights that `make bench-decisions` favours.
func DefaultWeights() Weights { return Weights{Tight: 1, Balance: 4} }

// Score rates placing need on n; lower is better.
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
