// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package delays

import (
	"slices"
	"time"
)

// Done is when a step was done, and what delayed it.
type Done struct {
	At     time.Time
	Delays Totals
	// After has the indexes of the steps that it depends on.
	After []int
}

// AddChain adds the delays along the chain of steps that were done last: the last of all, the last of
// those it depends on, and so on.
func (t Totals) AddChain(steps []Done) {
	for last := lastDone(steps, nil); last >= 0; last = lastDone(steps, steps[last].After) {
		for cause, delay := range steps[last].Delays {
			t[cause] += delay
		}
		if len(steps[last].After) == 0 {
			return
		}
	}
}

// lastDone returns the index of the step that was done last among those with the given indexes or, if
// indexes is nil, among all. It returns -1 if there are none.
func lastDone(steps []Done, indexes []int) int {
	last := -1
	for i, s := range steps {
		if indexes != nil && !slices.Contains(indexes, i) {
			continue
		}
		if last < 0 || s.At.After(steps[last].At) {
			last = i
		}
	}
	return last
}
