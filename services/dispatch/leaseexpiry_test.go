// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"
	"saddlevane/services/jobrecords"

	"gotest.tools/v3/assert"
)

// The expiry of a lease was handled again at every sweep while another incarnation of the worker was listed and did
// not answer, and counted as a crash each time.
func TestExpiryOfLeaseCountsAsOneCrash(t *testing.T) {
	d, renewals := newHolder(t, workerEntry("w", 1000))
	effects := d.handle(exchange.WorkersRead{Listing: order.Listing{Present: []order.Worker{workerEntry("w", 2000)}}})
	pending := append(effectsOf[exchange.Renew](effects), renewals["w"])
	recorded := 0
	for range 400 {
		effects := d.advance(50 * time.Millisecond)
		d.confirmClaimRenewal(effects)
		for _, r := range pending {
			effects = append(effects, d.handle(exchange.RenewEnded{Worker: r.Worker, Epoch: r.Epoch, Renewal: r.Renewal, Answer: order.Answer{Outcome: order.Unknown}})...)
		}
		pending = effectsOf[exchange.Renew](effects)
		recorded += countCrashRates(effects)
		d.confirmAnyAppend(effects)
	}
	assert.Equal(t, recorded, 1, "crashes")
}

// countCrashRates returns how many records of the crash rate are appended, one for each crash.
func countCrashRates(effects []exchange.Effect) (count int) {
	a := findAppend(effects, exchange.ForJournal)
	if a == nil {
		return 0
	}
	for _, r := range a.Append.Records {
		if r.Key == jobrecords.CrashRateRecord(nil).Key {
			count++
		}
	}
	return count
}
