// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package authority

import (
	"slices"

	"saddlevane/models/claim"
	"saddlevane/modules/ordered"
)

// Boxes holds the entry boxes that have announced themselves, by name.
type Boxes map[string]claim.Member

// Largest returns the largest of self and the known boxes. Among boxes of equal size it
// returns self, or else the first by name.
func (b Boxes) Largest(self claim.Member) claim.Member {
	best := self
	for _, m := range ordered.Map(b) {
		if m.Size > best.Size {
			best = m
		}
	}
	return best
}

// LargestAt returns the largest box at one of the addresses, or the zero Member if no
// known box has such an address.
func (b Boxes) LargestAt(addresses []string) (best claim.Member) {
	for _, m := range ordered.Map(b) {
		if slices.Contains(addresses, m.Address) && (best.Box == "" || m.Size > best.Size) {
			best = m
		}
	}
	return best
}

// OtherAddresses returns the addresses of all boxes except self, sorted.
func (b Boxes) OtherAddresses(self claim.Member) []string {
	var all []string
	for _, m := range b {
		if m.Box != self.Box {
			all = append(all, m.Address)
		}
	}
	slices.Sort(all)
	return all
}

// IsMuchLarger reports whether m is at least twice the size of than, and should hold the
// cell in its place. Authority.IsSmall applies the same factor.
func IsMuchLarger(m, than claim.Member) bool { return 2*than.Size <= m.Size }
