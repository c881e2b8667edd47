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

// The next plan waits for four times as long as the last one took, so that plans use at most a fifth
// of the time. When the holder's process was paused for 0.97 s during a plan, the pause counted as
// part of the plan: the holder placed nothing for 4 s, all workers were idle, 48 steps waited, and
// jobs accepted earlier were late by 10 s or more.
func TestPauseDuringPlanDoesNotDelayNextPlan(t *testing.T) {
	d, renewals := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	pause := time.Second
	d.now = d.now.Add(pause)
	d.handle(exchange.Decided{Took: pause})
	// The job starts as soon as it would without the pause.
	assert.Equal(t, d.submitAndCountStarts(oneStep("j", "quick", 1, false), 1, renewals), 1)
}
