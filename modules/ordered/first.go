// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ordered

import (
	"iter"
	"slices"
)

// First returns the first n values of a sequence in the order of compare. It is faster than sorting all
// of them if n is small.
func First[T any](values iter.Seq[T], n int, compare func(a, b T) int) []T {
	var first []T
	for v := range values {
		if len(first) == n && (n == 0 || compare(v, first[n-1]) >= 0) {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, v, compare)
		if len(first) == n {
			first = first[:n-1]
		}
		first = slices.Insert(first, i, v)
	}
	return first
}
