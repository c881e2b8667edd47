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

// A worker refuses each run of a task as one that has ended, and never reports the end. Without
// a limit the holder would start the task in an endless loop.
func TestRefusedStartsAreRateLimited(t *testing.T) {
	d, renewals := newHolder(t, workerEntry("w", 1000))
	waiting := []exchange.StartRun{d.startOneTask()}
	starts := 0
	for end := d.now.Add(10 * time.Second); d.now.Before(end); {
		var next []exchange.StartRun
		for _, s := range waiting {
			starts++
			next = append(next, effectsOf[exchange.StartRun](d.handle(exchange.StartEnded{
				Worker: s.Worker, Epoch: 1, Run: s.Order.Run, Answer: order.Answer{Outcome: order.Refused, Reason: order.StaleRun},
			}))...)
		}
		waiting = append(next, d.startsWithin(20*time.Millisecond, renewals)...)
	}
	assert.Check(t, starts <= 15, "%d starts in 10 s", starts)
}
