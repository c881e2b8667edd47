// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/stream"

	"gotest.tools/v3/assert"
)

const (
	// costWindow is the time over which TestTakeoverLeavesFewEndsUnacknowledged compares costs: as long as orders
	// of the earlier holder may be in transit.
	costWindow = 15 * time.Second
	// acknowledgeLimit and maxLateAcknowledgements are the users' bounds: at most a fifth of the ends that workers
	// list go without acknowledgement for longer than that.
	acknowledgeLimit        = 4 * time.Second
	maxLateAcknowledgements = 0.2
)

// takeoverCost is what a cell needs during costWindow.
type takeoverCost struct {
	renewals, logBytes, ends, lateEnds int
}

// String returns the figures for the test's log.
func (c takeoverCost) String() string {
	return fmt.Sprintf("%d renewals, %d bytes in the log, %d ends, %d of them not acknowledged within %v",
		c.renewals, c.logBytes, c.ends, c.lateEnds, acknowledgeLimit)
}

// measureCost runs a world for costWindow and returns what that took.
func (w *world) measureCost() takeoverCost {
	before := takeoverCost{renewals: w.renewalsSent, logBytes: w.jobLogBytes(), ends: w.acknowledgedEnds, lateEnds: w.lateAcknowledgements}
	w.run(costWindow)
	overdue := w.countOverdueEnds()
	return takeoverCost{
		renewals: w.renewalsSent - before.renewals, logBytes: w.jobLogBytes() - before.logBytes,
		ends: w.acknowledgedEnds - before.ends + overdue, lateEnds: w.lateAcknowledgements - before.lateEnds + overdue,
	}
}

// countOverdueEnds returns how many ends workers have listed for more than acknowledgeLimit.
func (w *world) countOverdueEnds() (count int) {
	for _, f := range w.workers {
		for _, e := range f.ended {
			if w.now.Sub(f.endedAt[e.Number]) > acknowledgeLimit {
				count++
			}
		}
	}
	return count
}

// jobLogBytes returns the size of all records that were ever appended to the stream of jobs.
func (w *world) jobLogBytes() (bytes int) {
	for _, r := range w.streams[stream.Jobs].records {
		bytes += len(r.Key) + len(r.Value)
	}
	return bytes
}

// A busy cell is taken over, also while the log is slow. The ends of most workers are acknowledged as before.
func TestTakeoverLeavesFewEndsUnacknowledged(t *testing.T) {
	for _, c := range []struct {
		name        string
		appendDelay time.Duration
	}{
		{name: "calm"},
		{name: "slow log", appendDelay: 300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 1, 3, 60)
			w.waitUntilServing()
			w.noRandomFailures = true
			w.appendDelay = c.appendDelay
			w.submitSteadily(10 * time.Millisecond)
			w.run(3 * time.Second)
			calm := w.measureCost()
			w.killBox(w.holder(), time.Second)
			w.waitUntilServing()
			takeover := w.measureCost()
			t.Logf("before: %v", calm)
			t.Logf("after:  %v", takeover)
			share := float64(takeover.lateEnds) / float64(takeover.ends)
			assert.Check(t, share <= maxLateAcknowledgements, "share of ends acknowledged late: %.3f", share)
			w.requireNoViolations()
		})
	}
}

// submitSteadily submits a small job at intervals.
func (w *world) submitSteadily(interval time.Duration) {
	w.submit(oneStep(fmt.Sprint("steady", len(w.jobIDs)), "quick", 3, false))
	w.after(interval, func() { w.submitSteadily(interval) })
}
