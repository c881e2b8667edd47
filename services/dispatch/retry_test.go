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

func TestFailedTaskIsRetriedOnAnotherWorker(t *testing.T) {
	d, renewals := newHolder(t,
		order.Worker{Incarnation: order.Incarnation{Name: "v"}, Address: "v", Pool: pool, Capacity: workerCapacity}, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	first := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))[0]
	d.handle(exchange.StartEnded{Worker: first.Worker, Epoch: 1, Run: first.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
	failed := renewAnswer(renewals[first.Worker.Name])
	failed.Report.Ended = []order.End{{Number: 1, Run: first.Order.Run, Status: order.Failed}}
	again := effectsOf[exchange.StartRun](append(d.handle(failed), d.advance(100*time.Millisecond)...))
	assert.Equal(t, len(again), 1)
	assert.Check(t, again[0].Worker != first.Worker, "both attempts are on %s", first.Worker)
}
