// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package authority_test

import (
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
