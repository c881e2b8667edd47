// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"saddlevane/services/slots"

	"gotest.tools/v3/assert"
)

// option is a worker with a sort key.
type option struct{ key, worker, tasks int }

func compareOptions(a, b option) int {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.worker, b.worker))
}

func (o option) allocation() slots.Allocation[int] {
	return slots.Allocation[int]{Worker: o.worker, Tasks: o.tasks}
}

// randomOptions returns n options in random order, of which many have the same key.
func randomOptions(r *rand.Rand, n int) []option {
	options := make([]option, n)
	for i, worker := range r.Perm(n) {
		options[i] = option{key: r.IntN(5), worker: worker, tasks: 1 + r.IntN(4)}
	}
	return options
}

func TestBestWorkersAreThoseOfSortedOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		options := randomOptions(r, r.IntN(40))
		wanted := r.IntN(60)
		inOrder, tasksInOrder := slots.FillInOrder(slots.Sorted(slices.Clone(options), compareOptions, option.allocation), wanted)
		best, tasks := slots.FillBest(options, compareOptions, option.allocation, wanted)
		assert.Equal(t, tasks, tasksInOrder)
		assert.DeepEqual(t, best, inOrder)
	}
}

func TestFewTasksNeedNoSortOfAllWorkers(t *testing.T) {
	const workers, wanted = 1024, 8
	options, compared := randomOptions(rand.New(rand.NewPCG(3, 4)), workers), 0
	_, tasks := slots.FillBest(options, func(a, b option) int {
		compared++
		return compareOptions(a, b)
	}, option.allocation, wanted)
	assert.Equal(t, tasks, wanted)
	// Making a heap takes at most two comparisons per element, each removal two per level.
	assert.Check(t, compared <= 2*workers+2*10*wanted, "%d comparisons for %d tasks and %d workers", compared, wanted, workers)
}
