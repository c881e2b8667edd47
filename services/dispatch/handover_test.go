// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/exchange"
)

func TestPlannedStopUnderLoadDoesNotWaitForEnds(t *testing.T) {
	w := newServingWorld(t, 51, 3, 8)
	for i := range 120 {
		s := oneStep(fmt.Sprint("j", i), "quick", 3, false)
		s.Steps[0].Estimate = 300
		w.after(time.Duration(i)*25*time.Millisecond, func() { w.submit(s) })
	}
	w.run(1500 * time.Millisecond)
	w.appendDelay = 200 * time.Millisecond
	w.run(500 * time.Millisecond)
	first := w.holder()
	first.post(exchange.Stop{})
	// At most two appends to the journal are waited for: the one in flight and one with jobs
	// submitted before. Half of the grace period of the stop is 750 ms.
	w.waitUntil(600*time.Millisecond, "the box has handed the cell over", func() bool { return !first.core.IsServing(w.now) })
	w.appendDelay = 0
	w.waitUntil(30*time.Second, "the jobs have ended", w.allEnded)
	w.requireNoViolations()
}
