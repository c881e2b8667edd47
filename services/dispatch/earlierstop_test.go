// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A stop is still in transit when it is repeated under a raised fence number. The worker refuses the first one.
func TestHolderDoesNotStepDownWhenEarlierOfTwoStopsIsRefused(t *testing.T) {
	s := settings()
	s.OrderTimeout = time.Second // More than the time until a stop is repeated.
	c := newDeliveryCellWith(t, s, "w")
	c.workers["w"].runTime = time.Minute
	c.submit("j")
	c.runUntil(time.Second, "the task runs", func() bool { return len(c.starts) == 1 })
	c.run(100 * time.Millisecond)
	c.holds = holdKind(stopOrder)
	c.cancel("j")
	c.runUntil(100*time.Millisecond, "the stop is in transit", func() bool { return len(c.held) > 0 })
	earlier := c.take(stopOrder)
	c.listOutdated("w")
	c.runUntil(900*time.Millisecond, "the repeated stop is in transit", func() bool { return len(c.held) > 0 })
	assert.Check(t, c.held[0].fence > earlier.fence)
	c.deliver(earlier)
	c.run(20 * time.Millisecond)
	if !c.core.IsServing(c.now) {
		c.printEvents()
	}
	assert.Check(t, c.core.IsServing(c.now), "the holder has stepped down although there is no later one")
}
