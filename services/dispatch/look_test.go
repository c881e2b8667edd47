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

// TestRenewalSentBeforeStartDoesNotProveAbsence: the worker answered the look before
// the start reached it, and the holder, which was late, heard of both at once and
// with a time from before the look was sent.
func TestRenewalSentBeforeStartDoesNotProveAbsence(t *testing.T) {
	d, looks := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	starts := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))
	assert.Equal(t, len(starts), 1)
	run := starts[0].Order.Run
	d.now = d.now.Add(-15 * time.Millisecond)
	d.handle(exchange.StartEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: run, Answer: order.Answer{Outcome: order.CarriedOut}})
	d.now = d.now.Add(40 * time.Millisecond)
	effects := d.handle(renewAnswer(looks["w"]))
	effects = append(effects, d.advance(20*time.Millisecond)...)
	assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 0, "the task is started again beside its first run")

	next := effectsOf[exchange.Renew](effects)
	assert.Equal(t, len(next), 1)
	effects = append(d.handle(renewAnswer(next[0])), d.advance(20*time.Millisecond)...)
	assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 1, "a later look shows that the worker no longer has it")
}
