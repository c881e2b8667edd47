// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/order"
	"saddlevane/models/resource"

	"gotest.tools/v3/assert"
)

// A worker runs 64 tasks of half a second to one and a half at a time, so that it always has runs that have started since
// its last report. All orders are answered.
func TestEndsOfBusyWorkerAreAcknowledged(t *testing.T) {
	const maxListedTime = 2 * time.Second
	for _, transit := range []time.Duration{2 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(fmt.Sprint("starts in transit for ", transit), func(t *testing.T) {
			c := newDeliveryCell(t, "w")
			w := c.workers["w"]
			c.holds = func(o *transitOrder) bool {
				if o.kind != startOrder {
					return false
				}
				c.after(transit, func() { c.deliver(o) })
				return true
			}
			for i := range 10 {
				s := oneStep(fmt.Sprint("j", i), "quick", 100, false)
				s.Steps[0].Need = resource.Vector{Processors: resource.Processor}
				c.submitJob(s)
			}
			listedAt, seen := map[order.Run]time.Time{}, 0
			var longest time.Duration
			for end := c.now.Add(8 * time.Second); c.now.Before(end); {
				c.tick()
				for ; seen < len(c.starts); seen++ {
					if run := c.starts[seen].run; !w.runs[run].IsZero() {
						w.runs[run] = c.now.Add(time.Duration(500+(seen*7919)%1000) * time.Millisecond)
					}
				}
				for _, e := range w.ended {
					if listedAt[e.Run].IsZero() {
						listedAt[e.Run] = c.now
					}
					longest = max(longest, c.now.Sub(listedAt[e.Run]))
				}
			}
			assert.Check(t, len(c.starts) > 300, "the worker must be busy: %d starts", len(c.starts))
			assert.Check(t, longest <= maxListedTime, "an end was listed for %v, %d are listed now", longest, len(w.ended))
		})
	}
}
