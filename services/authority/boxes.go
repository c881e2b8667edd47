// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package authority

import (
	"slices"

	"saddlevane/models/claim"
	"saddlevane/modules/ordered"
)

// Boxes are the boxes that have announced themselves, by name.
type Boxes map[string]claim.Member

// Largest returns the largest box that is known, or one of those not larger than it.
func (b Boxes) Largest(self claim.Member) claim.Member {
	best := self
	for _, m := range ordered.Map(b) {
		if m.Size > best.Size {
			best = m
		}
	}
	return best
}

// LargestAt returns the largest box at some addresses, or none.
func (b Boxes) LargestAt(addresses []string) (best claim.Member) {
	for _, m := range ordered.Map(b) {
		if slices.Contains(addresses, m.Address) && (best.Box == "" || m.Size > best.Size) {
			best = m
		}
	}
	return best
}

// OtherAddresses returns where the other boxes are, in a fixed order.
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

// IsMuchLarger says whether a box is so much larger than another that it should have the cell,
// as Small has it.
func IsMuchLarger(m, than claim.Member) bool { return 2*than.Size <= m.Size }
