// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package authority_test

import (
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/services/authority"

	"gotest.tools/v3/assert"
)

// newNaming returns the authority of box "a" after it has read a claim that names candidates.
func newNaming(t *testing.T, candidates ...string) *authority.Authority {
	t.Helper()
	a := authority.New(timing, claim.Member{Box: "a", Incarnation: "1", Address: "at-a"})
	a.ApplyFirst(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), namingRecords(t, 1, candidates...), 1)
	return a
}

func TestPledgesAreNeededOfOtherCandidatesOnly(t *testing.T) {
	addresses, known := newNaming(t, "a", "b").PledgeAddresses(probedBoxes())
	assert.Assert(t, known)
	assert.DeepEqual(t, addresses, []string{"at-b"})
}

func TestPledgesAreNotAskedWhileACandidateIsUnknown(t *testing.T) {
	_, known := newNaming(t, "a", "b", "unknown").PledgeAddresses(probedBoxes())
	assert.Assert(t, !known)
}

func TestPledgesAreNeededOfAllOtherBoxesWithoutNamedCandidates(t *testing.T) {
	addresses, known := newNaming(t).PledgeAddresses(probedBoxes())
	assert.Assert(t, known)
	assert.DeepEqual(t, addresses, []string{"at-b", "at-c"})
	_, known = newNaming(t).PledgeAddresses(authority.Boxes{})
	assert.Assert(t, !known, "the list of boxes has not been read yet")
}

func TestOutsiderIsNotCountedAsCandidate(t *testing.T) {
	assert.Assert(t, newNaming(t, "a", "b", "c").AreAllCandidates(probedBoxes()))
	assert.Assert(t, !newNaming(t, "a", "b").AreAllCandidates(probedBoxes()))
	assert.Assert(t, newNaming(t).AreAllCandidates(probedBoxes()), "without names all boxes are candidates")
}
