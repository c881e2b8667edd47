// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package ordered iterates over maps in a deterministic order and compares values that have no
// natural order. The reducer must make the same decisions whenever it is given the same events,
// and Go's own map order is random.
package ordered

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Map iterates over the entries of m in ascending order of their keys. Entries that are removed
// during the iteration are skipped.
func Map[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return MapFunc(m, cmp.Compare[K])
}

// MapFunc iterates over the entries of m in the order of compare. Entries that are removed
// during the iteration are skipped.
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
