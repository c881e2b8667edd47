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

// The box that held the cell was paused for 0.97 s, by chance while it made a plan. Then it
// placed nothing for 4 s, while all workers stood idle and 48 steps waited, and jobs accepted
// before were late by 10 s and more:
//
//	40 load of the process  longest_plan=1.013578959s plans_took=1.07317961s
//	40 state of the cell    plans=100 free=1  processors=48 steps_on_time=11 steps_late=1
//	42 state of the cell    plans=100 free=96 processors=96 steps_on_time=34 steps_late=14
//	44 state of the cell    plans=101
//
// The cause: plans may take a fifth of the time, by how long they took, so the next one waited
// for four times the pause.
func TestPauseDuringPlanDoesNotDelayNextPlan(t *testing.T) {
	d, looks := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	pause := time.Second
	d.now = d.now.Add(pause)
	d.handle(exchange.Decided{Took: pause})
	// As for any job that comes to an idle cell.
	assert.Equal(t, d.submitAndCountStarts(oneStep("j", "quick", 1, false), 1, looks), 1)
}
