// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package advicecalls_test

import (
	"fmt"
	"slices"
	"testing"

	"saddlevane/services/advicecalls"

	"gotest.tools/v3/assert"
)

func TestRotationYieldsWorkersWithCapacityFirst(t *testing.T) {
	workers := []int{0, 1, 2, 3, 4, 5, 6, 7}
	isSkipped := func(w int) bool { return w == 3 }
	freeSlots := func(w int) int { return w % 2 * w }
	var order []int
	for w, n := range advicecalls.Rotated("step", workers, isSkipped, freeSlots) {
		assert.Equal(t, n, freeSlots(w))
		order = append(order, w)
	}
	assert.Equal(t, len(order), 7)
	assert.Check(t, !slices.Contains(order, 3))
	isFull := func(w int) bool { return freeSlots(w) == 0 }
	firstFull := slices.IndexFunc(order, isFull)
	assert.Equal(t, firstFull, 3)
	assert.Check(t, !slices.ContainsFunc(order[firstFull:], func(w int) bool { return !isFull(w) }))
}

func TestRotationStartsDependOnTheStep(t *testing.T) {
	workers := []int{0, 1, 2, 3, 4, 5, 6, 7}
	starts := map[int]bool{}
	for i := range 100 {
		for w := range advicecalls.Rotated(fmt.Sprint("step ", i), workers, func(int) bool { return false }, func(int) int { return 1 }) {
			starts[w] = true
			break
		}
	}
	assert.Equal(t, len(starts), len(workers))
}

func TestRotationOfNoWorkersYieldsNothing(t *testing.T) {
	for range advicecalls.Rotated("step", nil, func(int) bool { return false }, func(int) int { return 1 }) {
		t.Fatal("a worker was yielded")
	}
}
