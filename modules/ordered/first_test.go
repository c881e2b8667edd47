// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ordered_test

import (
	"cmp"
	"math/rand"
	"slices"
	"testing"

	"saddlevane/modules/ordered"

	"gotest.tools/v3/assert"
)

func TestFirstReturnsTheSameAsSorting(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 200 {
		values := rng.Perm(rng.Intn(40))
		n := rng.Intn(50)
		want := slices.Sorted(slices.Values(values))
		want = want[:min(n, len(want))]
		got := ordered.First(slices.Values(values), n, cmp.Compare[int])
		assert.Assert(t, slices.Equal(got, want), "%v: %v, want %v", values, got, want)
	}
}
