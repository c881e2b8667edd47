// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package authority_test

import (
	"encoding/json"
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/stream"
	"saddlevane/services/authority"

	"gotest.tools/v3/assert"
)

// formerEpoch is the epoch of another box's claim.
const formerEpoch = 4

// claimRecords returns a claim as the log has it.
func claimRecords(t *testing.T, c claim.Claim) []stream.Record {
	t.Helper()
	value, err := json.Marshal(c)
	assert.NilError(t, err)
	return []stream.Record{{Key: "holder", Value: value}}
}

// newClaimingBox returns a box that has just sent a claim in place of another box's, the
// claim, and when.
func newClaimingBox(t *testing.T) (*authority.Authority, *authority.ClaimAppend, time.Time) {
	t.Helper()
	s := authority.Settings{RenewInterval: 100 * time.Millisecond, HoldFor: 400 * time.Millisecond, ClaimAfter: 500 * time.Millisecond}
	a := authority.New(s, claim.Member{Box: "b", Incarnation: "1", Domain: "a", Address: "b"})
	now := time.Now()
	a.ApplyFirst(now, claimRecords(t, claim.Claim{Epoch: formerEpoch, Box: "a", Incarnation: "1", Address: "a", Renewal: 1}), 1)
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		a.Apply(now, nil, 1)
		if claimed := a.Tick(now); claimed != nil {
			return a, claimed, now
		}
	}
	t.Fatal("the box does not claim")
	return nil, nil, now
}

// Symptom: two boxes hold the cell at once for up to the time of a pledge.
//
// Sequence: a box claims the cell, and the log takes the claim but its answer is lost; the
// claim is made again and answered that the stream has moved. Before the box reads its own
// claim, the former holder, which the log does not answer, asks it not to claim.
//
// Cause: the box promised it, since no append of its own was under way any more.
//
// What settled it: reading the code when claims came to be made again.
func TestBoxWithUnconfirmedClaimRefusesPledge(t *testing.T) {
	a, claimed, now := newClaimingBox(t)
	a.AppendEnded(now, claimed.Claim.Renewal, 0, &stream.EndMismatchError{End: 2})
	assert.Check(t, !a.Pledge(now, formerEpoch), "it promised not to claim after it has")

	a.Apply(now, claimRecords(t, claimed.Claim), 2)
	assert.Check(t, a.IsHolder(now), "a claim whose repeat was answered 'moved' is in the log")
}

func TestBoxPledgesAfterItsClaimIsRejected(t *testing.T) {
	a, claimed, now := newClaimingBox(t)
	a.AppendEnded(now, claimed.Claim.Renewal, 0, &stream.EndMismatchError{End: 2})
	renewed := claim.Claim{Epoch: formerEpoch, Box: "a", Incarnation: "1", Address: "a", Renewal: 2}
	a.Apply(now, claimRecords(t, renewed), 2)
	assert.Check(t, !a.IsHolder(now))
	assert.Check(t, a.Pledge(now, formerEpoch), "another record has the place of its claim")
}
