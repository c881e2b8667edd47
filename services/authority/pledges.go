// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package authority

import "slices"

// PledgeAddresses returns the addresses of the boxes whose pledges a holder needs: those of the other
// possible candidates. It returns false if one of them is not among the known boxes.
func (a *Authority) PledgeAddresses(known Boxes) ([]string, bool) {
	names := a.PossibleCandidates()
	if names == nil {
		// The list of boxes has not been read yet if it is empty.
		return known.OtherAddresses(a.self), len(known) > 0
	}
	var addresses []string
	for _, name := range names {
		if name == a.self.Box {
			continue
		}
		m, ok := known[name]
		if !ok {
			return nil, false
		}
		addresses = append(addresses, m.Address)
	}
	return addresses, true
}

// AreAllCandidates reports whether every known box may be a candidate.
func (a *Authority) AreAllCandidates(known Boxes) bool {
	names := a.PossibleCandidates()
	if names == nil {
		return true
	}
	for name := range known {
		if !slices.Contains(names, name) {
			return false
		}
	}
	return true
}
