// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package rendezvous implements rendezvous hashing: it assigns keys to names so that removing a
// name reassigns only the keys of that name.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Pick returns the name with the highest weight for key, or "" if names is empty. The order of
// names does not matter.
func Pick(key string, names []string) string {
	best, bestWeight := "", uint64(0)
	for _, name := range names {
		w := weight(key, name)
		if best == "" || w > bestWeight || (w == bestWeight && name < best) {
			best, bestWeight = name, w
		}
	}
	return best
}

func weight(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
