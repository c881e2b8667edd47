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
	d, looks := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	d.handle(exchange.ClaimsRead{Failure: "down"})
	d.handle(exchange.ClaimsRead{First: true, Next: d.nextOffset})
	d.handle(exchange.WorkersRead{Listing: order.Listing{Complete: true}})
	starts := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))
	assert.Equal(t, len(starts), 1, "the entry may only have lapsed")
	d.handle(exchange.StartEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: starts[0].Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})

	d.answerRenewals(2500*time.Millisecond, looks)
	assert.Equal(t, d.submitAndCountStarts(oneStep("k", "quick", 1, false), 2, looks), 0, "an entry that has not come back is gone")
}

func TestUnlistedWorkerGetsNoNewTasks(t *testing.T) {
	d, looks := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	d.answerRenewals(3*time.Second, looks)
	assert.Check(t, d.submitAndCountStarts(oneStep("j", "quick", 1, false), 1, looks) > 0)
	d.handle(exchange.WorkersRead{Listing: order.Listing{Removed: []string{"w"}}})
	assert.Equal(t, d.submitAndCountStarts(oneStep("k", "quick", 1, false), 2, looks), 0)
}
