// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/evacuation"
	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"

	"gotest.tools/v3/assert"
)

// maxStopTime is the longest time from the cancellation of a job until its runs have ended.
const maxStopTime = 3 * time.Second

// cancel cancels a job.
func (c *deliveryCell) cancel(id job.ID) {
	c.lastCall++
	c.perform(c.handle(exchange.CancelAsked{Call: c.lastCall, Job: id}))
}

// A run is being stopped because its job was cancelled when its worker restarts, and a copy of its start reaches
// the later incarnation.
func TestRunOfCancelledJobIsStoppedOnLaterIncarnation(t *testing.T) {
	c := newDeliveryCell(t, "w")
	c.workers["w"].runTime = time.Minute
	c.holds = holdFirst(startOrder)
	c.submit("j")
	c.runUntil(2*time.Second, "the repeated start is carried out", func() bool { return len(c.starts) == 1 })
	c.run(500 * time.Millisecond)
	start := c.take(startOrder)
	c.holds = func(o *transitOrder) bool { return o.kind == stopOrder || o.kind == renewalOrder }
	c.cancel("j")
	c.runUntil(time.Second, "the stop is in transit", func() bool { return len(c.sent) > 0 && c.sent[len(c.sent)-1].kind == stopOrder })
	c.restart("w", 2000)
	c.deliver(start)
	c.listWorkers()
	c.holds = holdNone
	c.run(maxStopTime)
	if len(c.workers["w"].runs) > 0 {
		c.printEvents()
	}
	assert.Check(t, len(c.workers["w"].runs) == 0, "a run of the cancelled job continues")
}

// A copy of the start of a filler and an order that limits its pace reach the later incarnation.
func TestFillerOnLaterIncarnationDoesNotKeepPaceOrderedForEarlierOne(t *testing.T) {
	c := newDeliveryCell(t, "w")
	w := c.workers["w"]
	w.runTime = time.Hour
	c.holds = func(o *transitOrder) bool { return o.kind == startOrder && o.run.Task.Step == 1 && len(c.held) == 0 }
	s := oneStep("j", "quick", 1, false)
	s.Steps[0].Service, s.Steps[0].TailTarget = true, 100
	s.Steps = append(s.Steps, job.Step{Tasks: 1, Need: defaultNeed, Filler: true})
	c.submitJob(s)
	c.runUntil(2*time.Second, "both tasks run", func() bool { return len(c.starts) == 2 })
	start := c.take(startOrder)
	w.tail = 130
	c.holds = holdKind(throttleOrder)
	c.runUntil(5*time.Second, "an order of a lower pace is in transit", func() bool { return len(c.held) > 0 })
	throttle := c.take(throttleOrder)
	w.tail = 10
	c.holds = holdKind(renewalOrder)
	c.restart("w", 2000)
	c.deliver(start)
	c.deliver(throttle)
	c.holds = holdNone
	c.listWorkers()
	c.run(10 * time.Second)
	pace, running := w.paces[start.run]
	if pace != 100 {
		c.printEvents()
	}
	assert.Check(t, running, "the filler must run on the later incarnation")
	assert.Equal(t, pace, 100, "pace in percent of a filler beside serving tasks whose tail latency is low")
}

// The stop of a run of the earlier incarnation reaches the later one, which runs a later run of the task.
func TestStopForEarlierIncarnationEndsNoLaterRun(t *testing.T) {
	c := newDeliveryCell(t, "w")
	c.workers["w"].runTime = 2 * time.Second
	c.submit("j")
	c.run(300 * time.Millisecond)
	first := c.starts[0]
	c.restart("w", 2000)
	c.run(100 * time.Millisecond)
	c.listWorkers()
	c.runUntil(3*time.Second, "the task is started again", func() bool { return len(c.starts) == 2 })
	w := c.workers["w"]
	answer := w.stop(order.Stop{Run: first.run, Fence: 1_000_000})
	assert.Equal(t, answer.Reason, order.Fenced)
	c.run(3 * time.Second)
	assert.Equal(t, len(c.starts), 2)
	c.requireNoLoss()
}

// A domain is evacuated while copies of a start are in transit to one of its workers, which restarts. A run that the
// later incarnation does not report must not be ordered there again.
func TestRunOfEvacuatedDomainIsNotOrderedFromLaterIncarnation(t *testing.T) {
	c := newDeliveryCell(t, "w")
	c.holds = holdFirst(startOrder)
	c.submit("j")
	c.run(50 * time.Millisecond)
	start := c.take(startOrder)
	c.post(exchange.EvacuationsRead{Update: evacuation.Update{Next: 1, Changes: []evacuation.Change{{Domain: deliveryDomain, Requested: true}}}})
	c.run(50 * time.Millisecond)
	c.restart("w", 2000)
	c.listWorkers()
	c.submit("k")
	c.run(3 * time.Second)
	assert.Equal(t, c.countSent(startOrder, "w"), 1, "starts ordered")
	c.deliver(start)
	assert.Equal(t, len(c.starts), 0, "the copy must be refused under the raised fence number")
}

// A copy of a start is carried out by the later incarnation although its run has ended on the earlier one. The holder
// orders a stop, which is late; meanwhile the next run of the task ends elsewhere.
func TestTaskIsNotStartedBesideLateRunThatLaterIncarnationReports(t *testing.T) {
	c := newDeliveryCell(t, "v", "w")
	for _, w := range c.workers {
		w.runTime = time.Minute
	}
	c.holds = holdFirst(startOrder)
	c.submit("j")
	c.runUntil(2*time.Second, "the repeated start is carried out", func() bool { return len(c.starts) == 1 })
	start := c.take(startOrder)
	first := c.workers[start.worker.Name]
	first.endRun(start.run, order.Failed)
	c.runUntil(2*time.Second, "the next run is started", func() bool { return len(c.starts) == 2 })
	second := c.starts[1]
	c.holds = holdKind(stopOrder)
	assert.Check(t, second.worker.Name != start.worker.Name, "a failed task is started on another worker")
	c.restart(start.worker.Name, 2000)
	c.deliver(start)
	// The later incarnation answers the renewal that waits at it, and the one after that.
	c.run(2 * time.Second)
	c.besideStarts = nil
	c.workers[second.worker.Name].endRun(second.run, order.LeaseExpired)
	c.run(time.Second)
	if len(c.besideStarts) > 0 {
		c.printEvents()
	}
	assert.Check(t, len(c.besideStarts) == 0, "started although the holder knows of another run: %v", c.besideStarts)
}
