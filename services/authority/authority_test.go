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

// formerEpoch is the epoch of the claim that another box held before.
const formerEpoch = 4

// claimRecords returns the record of a claim in the log.
func claimRecords(t *testing.T, c claim.Claim) []stream.Record {
	t.Helper()
	value, err := json.Marshal(c)
	assert.NilError(t, err)
	return []stream.Record{{Key: "holder", Value: value}}
}

// newClaimingBox returns a box that has just sent a claim to replace the claim of another
// box, the claim, and when it was sent.
func newClaimingBox(t *testing.T) (*authority.Authority, *authority.ClaimAppend, time.Time) {
	t.Helper()
	s := authority.Settings{RenewInterval: 100 * time.Millisecond, HoldFor: 400 * time.Millisecond, ClaimAfter: 500 * time.Millisecond, OutsiderClaimAfter: 3 * time.Second}
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
	t.Fatal("the box sends no claim within 2 s")
	return nil, nil, now
}

// TestBoxWithUnconfirmedClaimRefusesPledge guards against two boxes holding the cell at once for up
// to the duration of a pledge. The log appends the claim of a box, but the answer is lost, and the
// retry is answered that the end of the stream has moved. Before the box reads its own claim, the
// former holder, which cannot reach the log, asks for a pledge. The box used to give it, because it
// had no append in flight any more.
func TestBoxWithUnconfirmedClaimRefusesPledge(t *testing.T) {
	a, claimed, now := newClaimingBox(t)
	a.AppendEnded(now, claimed.Claim.Renewal, 0, &stream.EndMismatchError{End: 2})
	assert.Check(t, !a.Pledge(now, formerEpoch), "pledged although its own claim may be in the log")

	a.Apply(now, claimRecords(t, claimed.Claim), 2)
	assert.Check(t, a.IsHolder(now), "not the holder although its claim is in the log")
}

func TestBoxPledgesAfterItsClaimIsRejected(t *testing.T) {
	a, claimed, now := newClaimingBox(t)
	a.AppendEnded(now, claimed.Claim.Renewal, 0, &stream.EndMismatchError{End: 2})
	renewed := claim.Claim{Epoch: formerEpoch, Box: "a", Incarnation: "1", Address: "a", Renewal: 2}
	a.Apply(now, claimRecords(t, renewed), 2)
	assert.Check(t, !a.IsHolder(now))
	assert.Check(t, a.Pledge(now, formerEpoch), "no pledge although another record has the offset of its claim")
}
