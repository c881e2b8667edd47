// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package authority_test

import (
	"fmt"
	"slices"
	"testing"

	"saddlevane/models/claim"
	"saddlevane/services/authority"

	"gotest.tools/v3/assert"
)

func TestLargestBoxIsSelected(t *testing.T) {
	box := func(name string, size int64) claim.Member {
		return claim.Member{Box: name, Address: "at-" + name, Size: size}
	}
	boxes := authority.Boxes{"a": box("a", 1), "b": box("b", 4), "c": box("c", 3), "d": box("d", 4)}
	assert.Equal(t, boxes.Largest(box("a", 1)).Box, "b")
	assert.Equal(t, boxes.Largest(box("d", 4)).Box, "d", "no box is larger")
	assert.Equal(t, boxes.LargestAt([]string{"at-a", "at-c"}).Box, "c")
	assert.Equal(t, boxes.LargestAt(nil).Box, "")
	assert.DeepEqual(t, boxes.OtherAddresses(box("b", 4)), []string{"at-a", "at-c", "at-d"})
	assert.Check(t, authority.IsMuchLarger(boxes["b"], box("x", 2)) && !authority.IsMuchLarger(boxes["c"], box("x", 2)))
}

// The candidates are bounded in number, and spread over domains and sizes.
func TestCandidatesAreSpreadOverDomainsAndSizes(t *testing.T) {
	boxes := authority.Boxes{}
	for i := range 60 {
		m := claim.Member{Box: fmt.Sprintf("b%02d", i), Domain: fmt.Sprintf("d%d", i%3), Size: 192}
		if i < 9 {
			m.Size = 1600
		}
		boxes[m.Box] = m
	}
	self := boxes["b00"]
	none := func(string) bool { return false }
	names := boxes.Candidates(self, none)
	assert.Equal(t, len(names), authority.MaxCandidates)
	assert.Assert(t, slices.Contains(names, "b00"))
	domains, small := map[string]int{}, 0
	for _, name := range names {
		domains[boxes[name].Domain]++
		if boxes[name].Size == 192 {
			small++
		}
	}
	assert.Equal(t, len(domains), 3)
	assert.Assert(t, small >= 3, "%d small boxes among %v", small, names)
	avoided := names[5]
	assert.Assert(t, !slices.Contains(boxes.Candidates(self, func(box string) bool { return box == avoided }), avoided))
	assert.DeepEqual(t, authority.Boxes{}.Candidates(self, none), []string{"b00"})
}
