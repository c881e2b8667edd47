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

// timing are the times of the boxes in these tests.
var timing = authority.Settings{RenewInterval: 100 * time.Millisecond, HoldFor: 400 * time.Millisecond, ClaimAfter: 500 * time.Millisecond, OutsiderClaimAfter: 3 * time.Second}

// namingRecords returns the record of a claim of box "a" that names candidates.
func namingRecords(t *testing.T, renewal int64, candidates ...string) []stream.Record {
	t.Helper()
	value, err := json.Marshal(struct {
		claim.Claim
		Candidates []string `json:"candidates"`
	}{claim.Claim{Epoch: formerEpoch, Box: "a", Incarnation: "1", Address: "a", Renewal: renewal}, candidates})
	assert.NilError(t, err)
	return []stream.Record{{Key: "holder", Value: value}}
}

// claimsAfter returns how long after the last renewal a box claims while it reads nothing new.
func claimsAfter(t *testing.T, box string, candidates ...string) time.Duration {
	t.Helper()
	a := authority.New(timing, claim.Member{Box: box, Incarnation: "1", Address: box})
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	a.ApplyFirst(start, namingRecords(t, 1, candidates...), 1)
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
		a.Apply(now, nil, 1)
		if a.Tick(now) != nil {
			return now.Sub(start)
		}
	}
	t.Fatal("the box does not claim")
	return 0
}

func TestOutsidersClaimAfterAllCandidates(t *testing.T) {
	assert.Assert(t, claimsAfter(t, "b", "a", "b") < time.Second)
	assert.Assert(t, claimsAfter(t, "b") < time.Second, "without names all boxes are candidates")
	late := claimsAfter(t, "c", "a", "b")
	assert.Assert(t, late >= timing.OutsiderClaimAfter && late < timing.OutsiderClaimAfter+time.Second, "%v", late)
}

// A holder that depends on the pledges of the candidates stops before an outsider may claim.
func TestPledgesOfCandidatesLastUntilOutsidersMayClaim(t *testing.T) {
	for _, areAll := range []bool{true, false} {
		a := authority.New(timing, claim.Member{Box: "a", Incarnation: "1", Address: "a"})
		now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		a.ApplyFirst(now, nil, 0)
		now = now.Add(time.Second)
		a.Propose([]string{"a", "b"})
		first := a.Tick(now)
		assert.Assert(t, first != nil && a.AppendEnded(now, first.Claim.Renewal, 0, nil))
		logged := now
		for now.Before(logged.Add(10 * time.Second)) {
			now = now.Add(100 * time.Millisecond)
			a.RecordPledges(now, a.Epoch(), areAll)
		}
		if areAll {
			assert.Assert(t, a.IsHolder(now))
			continue
		}
		until := a.HoldsUntil().Sub(logged)
		assert.Assert(t, until > 2*time.Second && until < timing.OutsiderClaimAfter, "%v", until)
	}
}

// The boxes that may be candidates include those of a renewal whose answer is lost.
func TestPossibleCandidatesIncludeUnconfirmedRenewals(t *testing.T) {
	a := authority.New(timing, claim.Member{Box: "a", Incarnation: "1", Address: "a"})
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	a.ApplyFirst(now, nil, 0)
	now = now.Add(time.Second)
	a.Propose([]string{"a", "b"})
	first := a.Tick(now)
	a.AppendEnded(now, first.Claim.Renewal, 0, nil)
	assert.DeepEqual(t, a.PossibleCandidates(), []string{"a", "b"})
	a.Propose([]string{"a", "c"})
	second := a.Tick(now.Add(timing.RenewInterval))
	assert.Assert(t, second != nil)
	assert.DeepEqual(t, a.PossibleCandidates(), []string{"a", "b", "c"})
	a.AppendEnded(now.Add(timing.RenewInterval), second.Claim.Renewal, 1, nil)
	assert.DeepEqual(t, a.PossibleCandidates(), []string{"a", "c"})
}

// A box that reads the claims through another one does not claim: it does not know whether the log
// answers it.
func TestBoxThatReadsThroughAnotherDoesNotClaim(t *testing.T) {
	a := authority.New(timing, claim.Member{Box: "b", Incarnation: "1", Address: "b"})
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	a.ApplyFirst(now, namingRecords(t, 1, "a", "c"), 1)
	a.SetRelayed(true)
	assert.Assert(t, !a.MustReadLog(now))
	now = now.Add(time.Minute)
	a.Apply(now, nil, 1)
	assert.Assert(t, a.MustReadLog(now), "it may claim now, so it has to read the log itself")
	assert.Assert(t, a.Tick(now) == nil)
	a.SetRelayed(false)
	a.Apply(now, nil, 1)
	assert.Assert(t, a.Tick(now) != nil)
}
