// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"
	"saddlevane/models/resource"

	"gotest.tools/v3/assert"
)

// lostTaskOnLaterIncarnation returns a cell in which a copy of the start of job j's task runs on an incarnation of
// worker w that no order has reached. The run counts as lost, since the incarnation before reported that it does
// not have it. The task waits, since w is leaving and worker v is full until busyTime after the run began.
func lostTaskOnLaterIncarnation(t *testing.T, busyTime time.Duration) *deliveryCell {
	t.Helper()
	c := newDeliveryCell(t, "v", "w")
	whole := oneStep("k", "quick", 1, false)
	whole.Steps[0].Need.Processors = 64 * resource.Processor
	c.workers["v"].runTime = time.Hour
	c.workers["w"].runTime = time.Hour
	c.holds = func(o *transitOrder) bool { return o.kind == startOrder && o.worker.Name == "w" && len(c.held) == 0 }
	c.submitJob(whole)
	c.run(100 * time.Millisecond)
	occupied := c.starts[0].worker.Name
	assert.Equal(t, occupied, "v")
	c.submit("j")
	c.runUntil(2*time.Second, "the repeated start is carried out", func() bool { return len(c.starts) == 2 })
	start := c.take(startOrder)
	c.holds = holdNone
	c.run(time.Second)
	c.restart("w", 2000)
	c.listLeaving("w")
	c.runUntil(2*time.Second, "the later incarnation has reported that it does not have the run", func() bool {
		return slices.ContainsFunc(c.sent, func(o *transitOrder) bool { return o.worker.BornUnixMilli == 2000 && o.maxWait > 0 })
	})
	c.holds = holdKind(renewalOrder)
	c.restartSilently("w", 3000)
	c.deliver(start)
	assert.Equal(t, len(c.workers["w"].runs), 1)
	c.workers["v"].runs[c.starts[0].run] = c.now.Add(busyTime)
	return c
}

// listLeaving delivers the list of workers, in which one of them is leaving.
func (c *deliveryCell) listLeaving(name string) {
	l := order.Listing{Complete: true}
	for _, listed := range []string{"v", "w"} {
		entry := workerEntry(listed, c.workers[listed].incarnation.BornUnixMilli)
		entry.Leaving = listed == name
		l.Present = append(l.Present, entry)
	}
	c.post(exchange.WorkersRead{Listing: l})
}

// requireNoRunBeside fails the test if the task of job j was started on v while it runs on w.
func (c *deliveryCell) requireNoRunBeside() {
	c.t.Helper()
	beside := slices.ContainsFunc(c.starts, func(s carriedOutStart) bool { return s.worker.Name == "v" && s.run.Task.Job == "j" })
	if beside {
		c.printEvents()
	}
	assert.Check(c.t, !beside, "the task was started on v while it runs on w")
	assert.Equal(c.t, len(c.workers["w"].runs), 1, "the run on w must go on")
}

// The run is reported before the task can be started elsewhere. Stops are late.
func TestTaskIsNotStartedBesideReportedRunThatCountedAsLost(t *testing.T) {
	c := lostTaskOnLaterIncarnation(t, time.Second)
	c.listLeaving("w")
	c.holds = holdKind(stopOrder)
	c.run(3 * time.Second)
	c.requireNoRunBeside()
}

// The first answer of the later incarnation reports the run. The next renewal is in transit when the task could be
// started elsewhere.
func TestTaskIsNotStartedBesideRunInFirstAnswerOfLaterIncarnation(t *testing.T) {
	c := lostTaskOnLaterIncarnation(t, time.Second)
	c.listLeaving("w")
	c.runUntil(time.Second, "a renewal is in transit", func() bool { return len(c.held) > 0 })
	c.holds = func(o *transitOrder) bool { return o.kind == renewalOrder && o.worker.Name == "w" }
	for len(c.held) > 0 {
		c.deliver(c.take(renewalOrder))
	}
	c.run(1500 * time.Millisecond)
	c.requireNoRunBeside()
}

// The run is reported while the start of a later run elsewhere is unanswered.
func TestUnansweredStartIsNotRepeatedBesideReportedRun(t *testing.T) {
	c := lostTaskOnLaterIncarnation(t, 100*time.Millisecond)
	c.holds = func(o *transitOrder) bool { return o.kind == startOrder || o.worker.Name == "w" }
	c.runUntil(time.Second, "the start of a later run is in transit", func() bool {
		return slices.ContainsFunc(c.held, func(o *transitOrder) bool { return o.kind == startOrder })
	})
	c.take(startOrder)
	c.holds = holdKind(stopOrder)
	c.listLeaving("w")
	c.run(3 * time.Second)
	c.requireNoRunBeside()
}
