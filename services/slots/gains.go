// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import (
	"cmp"
	"slices"
)

// Gains returns what a step gains on a worker by stopping more and more victims, in their order. Before
// the first stop, the worker has capacity for the given number of tasks. The function stop returns the
// capacity once one more victim has stopped, and the work lost by that. The cost for each task gained
// does not decrease from one result to the next.
func Gains[W, A any](worker W, tasks int, victims []A, stop func(A) (tasks int, lost float64)) []Preemption[W, A] {
	var all []Preemption[W, A]
	next := Preemption[W, A]{Allocation: Allocation[W]{Worker: worker}}
	minCost := 0.0
	for _, v := range victims {
		n, lost := stop(v)
		next.Victims = append(next.Victims, v)
		next.Cost += lost
		if n > tasks {
			next.Tasks = n - tasks
			next.Cost = max(minCost, next.Cost/float64(next.Tasks))
			minCost = next.Cost
			all = append(all, next)
			tasks = n
			next = Preemption[W, A]{Allocation: Allocation[W]{Worker: worker}}
		}
	}
	return all
}

// ChooseToEmpty returns the workers with the most free capacity that, once empty, have capacity for the
// wanted number of tasks. It returns false if all of them together do not. The functions return for how
// many tasks a worker has capacity now and when it is empty. ChooseToEmpty sorts the given slice.
func ChooseToEmpty[W any](workers []W, wanted int, free, whenEmpty func(W) int) ([]W, bool) {
	slices.SortStableFunc(workers, func(a, b W) int { return cmp.Compare(free(b), free(a)) })
	tasks := 0
	var chosen []W
	for _, w := range workers {
		if tasks >= wanted {
			break
		}
		tasks += whenEmpty(w)
		chosen = append(chosen, w)
	}
	return chosen, tasks >= wanted
}

// Add adds tasks on a worker to allocations and returns the result, which has each worker once.
func Add[W comparable](allocations []Allocation[W], worker W, tasks int) []Allocation[W] {
	if i := slices.IndexFunc(allocations, func(a Allocation[W]) bool { return a.Worker == worker }); i >= 0 {
		allocations[i].Tasks += tasks
		return allocations
	}
	return append(allocations, Allocation[W]{Worker: worker, Tasks: tasks})
}
