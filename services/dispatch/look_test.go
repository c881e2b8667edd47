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
	d, looks := holding(t, order.Worker{Life: order.Life{Name: "w"}, Address: "w", Pool: pool, Capacity: fullSize})
	starts := only[exchange.StartRun](d.submits(oneStep("j", "quick", 1, false)))
	assert.Equal(t, len(starts), 1)
	run := starts[0].Order.Run
	d.now = d.now.Add(-15 * time.Millisecond)
	d.handle(exchange.StartEnded{Worker: order.Life{Name: "w"}, Epoch: 1, Run: run, Answer: order.Answer{Fate: order.Carried}})
	d.now = d.now.Add(40 * time.Millisecond)
	effects := d.handle(looked(looks["w"]))
	effects = append(effects, d.later(20*time.Millisecond)...)
	assert.Equal(t, len(only[exchange.StartRun](effects)), 0, "the task is started again beside its first run")

	next := only[exchange.Renew](effects)
	assert.Equal(t, len(next), 1)
	effects = append(d.handle(looked(next[0])), d.later(20*time.Millisecond)...)
	assert.Equal(t, len(only[exchange.StartRun](effects)), 1, "a later look shows that the worker no longer has it")
}
