// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/order"
)

// Two copies of a start were ordered by an earlier holder, and the first is in transit. The later holder adopts the run
// from a report and acknowledges the end of another one. The copy and the acknowledgement reach a later incarnation.
func TestEndOfCopyOfAdoptedRunIsNotLostToAcknowledgement(t *testing.T) {
	c := newDeliveryCell(t, "w")
	c.workers["w"].runTime = time.Minute
	c.holds = holdFirst(startOrder)
	c.submit("k")
	c.runUntil(2*time.Second, "the repeated start is carried out", func() bool { return len(c.starts) == 1 })
	start := c.take(startOrder)
	c.takeOver()
	c.submit("j")
	c.runUntil(time.Second, "the other task runs", func() bool { return len(c.starts) == 2 })
	c.holds = func(o *transitOrder) bool { return o.acknowledged > 0 }
	c.workers["w"].endRun(c.starts[1].run, order.Done)
	c.run(time.Second)
	if len(c.held) == 0 {
		return // The holder acknowledges nothing while a copy may arrive.
	}
	acknowledgement := c.take(renewalOrder)
	c.workers["w"].runTime = 200 * time.Millisecond
	c.holds = holdKind(renewalOrder)
	c.restartSilently("w", 2000)
	c.deliver(start)
	c.endOfLaterIncarnation(acknowledgement)
}
