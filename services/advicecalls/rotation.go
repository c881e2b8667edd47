// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package advicecalls

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// Rotated yields the workers that are not to be skipped, and how many tasks of a step each has capacity
// for: workers with capacity first. The iteration starts at an index derived from the step's ID, so that
// steps waiting at the same time ask for different workers.
func Rotated[W any](stepID string, workers []W, skip func(W) bool, freeSlots func(W) int) iter.Seq2[W, int] {
	return func(yield func(W, int) bool) {
		if len(workers) == 0 {
			return
		}
		start := int(xxhash.Sum64String(stepID) % uint64(len(workers)))
		var full []W
		for i := range workers {
			w := workers[(start+i)%len(workers)]
			if skip(w) {
				continue
			}
			if n := freeSlots(w); n == 0 {
				full = append(full, w)
			} else if !yield(w, n) {
				return
			}
		}
		for _, w := range full {
			if !yield(w, 0) {
				return
			}
		}
	}
}
