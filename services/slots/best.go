// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots

import "slices"

// FillBest allocates like FillInOrder to candidates in the order of compare. It sorts them only as far
// as they get tasks. It reorders candidates.
func FillBest[C, W any](candidates []C, compare func(a, b C) int, allocation func(C) Allocation[W], wanted int) (allocated []Allocation[W], tasks int) {
	for i := len(candidates)/2 - 1; i >= 0; i-- {
		siftDown(candidates, i, compare)
	}
	for tasks != wanted && len(candidates) > 0 {
		a := allocation(candidates[0])
		a.Tasks = min(a.Tasks, wanted-tasks)
		allocated = append(allocated, a)
		tasks += a.Tasks
		last := len(candidates) - 1
		candidates[0] = candidates[last]
		candidates = candidates[:last]
		siftDown(candidates, 0, compare)
	}
	return allocated, tasks
}

// Sorted returns the allocations of candidates in the order of compare. It sorts them.
func Sorted[C, W any](candidates []C, compare func(a, b C) int, allocation func(C) Allocation[W]) []Allocation[W] {
	slices.SortFunc(candidates, compare)
	allocations := make([]Allocation[W], len(candidates))
	for i, c := range candidates {
		allocations[i] = allocation(c)
	}
	return allocations
}

// siftDown restores the order of a heap, with the least element first, of which only element i may be
// greater than those below it.
func siftDown[C any](heap []C, i int, compare func(a, b C) int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(heap); child++ {
			if compare(heap[child], heap[least]) < 0 {
				least = child
			}
		}
		if least == i {
			return
		}
		heap[i], heap[least] = heap[least], heap[i]
		i = least
	}
}
