// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"

	"gotest.tools/v3/assert"
)

func TestStaleAppendDoesNotConfirmNewFence(t *testing.T) {
	d := newHarness(t)
	first := d.claimCell(time.Second)
	d.readClaim(claim.Claim{Epoch: 2, Box: "b", Incarnation: "b1"})
	second := d.confirmClaim(d.readClaim(claim.Claim{Epoch: 2, Box: "b", Incarnation: "b1", Released: true}))
	effects := d.handle(exchange.AppendEnded{Purpose: exchange.ForJournal, Number: first.Number})
	assert.Check(t, !hasLoadJobs(effects), "the jobs are read before the fence is in the log")
	effects = d.handle(exchange.AppendEnded{Purpose: exchange.ForJournal, Number: second.Number})
	assert.Check(t, hasLoadJobs(effects))
}

func TestHolderWithoutOtherBoxesAsksForNoPledges(t *testing.T) {
	d := newHarness(t)
	d.claimCell(time.Second)
	d.handle(exchange.ClaimsRead{Failure: "down"})
	for range 10 {
		for _, e := range d.advance(100 * time.Millisecond) {
			_, asked := e.(exchange.AskPledges)
			assert.Check(t, !asked)
		}
	}
}
