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

// A worker answers a renewal before a start order reaches it, so its report does not list the run.
// A holder that is late may handle the answer to the start with a time before that at which the
// renewal was sent, so the times do not show that the report is older than the run. The task must
// not be started a second time.
func TestRenewalSentBeforeStartDoesNotProveAbsence(t *testing.T) {
	d, renewals := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	starts := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))
	assert.Equal(t, len(starts), 1)
	run := starts[0].Order.Run
	d.now = d.now.Add(-15 * time.Millisecond)
	d.handle(exchange.StartEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: run, Answer: order.Answer{Outcome: order.CarriedOut}})
	d.now = d.now.Add(40 * time.Millisecond)
	effects := d.handle(renewAnswer(renewals["w"]))
	effects = append(effects, d.advance(20*time.Millisecond)...)
	assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 0, "the task was started again although its first run may exist")

	next := effectsOf[exchange.Renew](effects)
	assert.Equal(t, len(next), 1)
	effects = append(d.handle(renewAnswer(next[0])), d.advance(20*time.Millisecond)...)
	assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 1, "a later renewal shows that the worker no longer has it")
}
