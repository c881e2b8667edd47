// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package speeds

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// group is the tasks of a step that ran on the same worker.
type group struct {
	worker string
	tasks  float64
	// sum is the sum of the logarithms of the run times in seconds, longest the largest of them.
	sum, longest float64
	// work and precision are the logarithm of the work of one task by this worker's speed, and the
	// inverse of its variance.
	work, precision float64
}

// groupByWorker groups runs by worker, in the order of the workers' names.
func groupByWorker(runs []Run) []group {
	sorted := slices.SortedStableFunc(slices.Values(runs), func(a, b Run) int { return cmp.Compare(a.Worker, b.Worker) })
	var groups []group
	for _, r := range sorted {
		took := math.Log(max(r.Took, minTime).Seconds())
		if last := len(groups) - 1; last < 0 || groups[last].worker != r.Worker {
			groups = append(groups, group{worker: r.Worker, longest: took})
		}
		g := &groups[len(groups)-1]
		g.tasks++
		g.sum += took
		g.longest = max(g.longest, took)
	}
	return groups
}

// formatRange returns a speed and its range of one standard deviation.
func formatRange(log, deviation float64) string {
	return fmt.Sprintf("%.2f (%.2f-%.2f)", math.Exp(log), math.Exp(log-deviation), math.Exp(log+deviation))
}
