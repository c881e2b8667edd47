// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"

	"gotest.tools/v3/assert"
)

func TestWorkersWhoseEntriesExpiredInLogOutageStayInUse(t *testing.T) {
	d, renewals := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	d.handle(exchange.ClaimsRead{Failure: "down"})
	d.handle(exchange.ClaimsRead{First: true, Next: d.nextOffset})
	d.handle(exchange.WorkersRead{Listing: order.Listing{Complete: true}})
	starts := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))
	assert.Equal(t, len(starts), 1, "the entry may only have expired")
	d.handle(exchange.StartEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: starts[0].Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})

	d.answerRenewals(2500*time.Millisecond, renewals)
	assert.Equal(t, d.submitAndCountStarts(oneStep("k", "quick", 1, false), 2, renewals), 0, "a worker whose entry has not returned must not be used")
}

func TestUnlistedWorkerGetsNoNewTasks(t *testing.T) {
	d, renewals := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	d.answerRenewals(3*time.Second, renewals)
	assert.Check(t, d.submitAndCountStarts(oneStep("j", "quick", 1, false), 1, renewals) > 0)
	d.handle(exchange.WorkersRead{Listing: order.Listing{Removed: []string{"w"}}})
	assert.Equal(t, d.submitAndCountStarts(oneStep("k", "quick", 1, false), 2, renewals), 0)
}
