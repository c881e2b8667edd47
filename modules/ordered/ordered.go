// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ordered walks maps in an order that is the same in each run, and compares what has
// no order of its own. The reducer must decide alike whenever it is told alike, and Go's own
// order of maps is random.
package ordered

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Map yields the entries of m by their keys, smallest first. Entries that are
// removed meanwhile are left out.
func Map[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return MapFunc(m, cmp.Compare[K])
}

// MapFunc yields the entries of m in the order of compare.
func MapFunc[K comparable, V any](m map[K]V, compare func(a, b K) int) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.SortedFunc(maps.Keys(m), compare) {
			v, ok := m[k]
			if ok && !yield(k, v) {
				return
			}
		}
	}
}
