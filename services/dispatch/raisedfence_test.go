// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"
	"saddlevane/models/resource"

	"gotest.tools/v3/assert"
)

// listOutdated delivers an entry of an incarnation of the worker that has ended before the known one began, so
// that the holder raises the worker's fence number.
func (c *deliveryCell) listOutdated(name string) {
	c.post(exchange.WorkersRead{Listing: order.Listing{Present: []order.Worker{workerEntry(name, 400)}}})
}

// countSent returns how many orders of a kind were sent to a worker.
func (c *deliveryCell) countSent(kind orderKind, worker string) (count int) {
	for _, o := range c.sent {
		if o.kind == kind && o.worker.Name == worker {
			count++
		}
	}
	return count
}

// The start of a gang's member is in transit while the holder raises the worker's fence number because of an outdated
// entry. The worker refuses the start, which the holder can send again.
func TestRefusalUnderRaisedFenceStopsNoOtherMemberOfGang(t *testing.T) {
	c := newDeliveryCell(t, "v", "w")
	c.workers["v"].runTime, c.workers["w"].runTime = time.Minute, time.Minute
	c.holds = func(o *transitOrder) bool { return o.kind == startOrder && o.worker.Name == "w" && len(c.held) == 0 }
	s := oneStep("j", "quick", 2, true)
	s.Steps[0].PerWorker = 1
	s.Steps[0].Need.Processors = 40 * resource.Processor
	c.submitJob(s)
	c.runUntil(time.Second, "the start of a member is in transit", func() bool { return len(c.held) > 0 })
	start := c.take(startOrder)
	c.holds = holdNone
	c.listOutdated("w")
	c.run(100 * time.Millisecond)
	c.deliver(start)
	c.run(2 * time.Second)
	if c.countSent(stopOrder, "v") > 0 {
		c.printEvents()
	}
	assert.Equal(t, c.countSent(stopOrder, "v"), 0, "stops of the other member")
	assert.Equal(t, len(c.workers["w"].runs), 1)
}

// A renewal is in transit while the holder raises the worker's fence number, and is refused after that.
func TestWorkerThatRefusesEarlierFenceIsNotUnresponsive(t *testing.T) {
	c := newDeliveryCell(t, "w")
	c.holds = holdFirst(renewalOrder)
	c.runUntil(6*time.Second, "a renewal is in transit", func() bool { return len(c.held) > 0 })
	renewal := c.take(renewalOrder)
	c.listOutdated("w")
	c.run(100 * time.Millisecond)
	c.deliver(renewal)
	c.run(50 * time.Millisecond)
	assert.Check(t, c.core.IsServing(c.now))
	c.submit("j")
	c.run(50 * time.Millisecond)
	assert.Equal(t, len(c.starts), 1, "a worker that is unresponsive gets no starts")
}

// A later holder has ordered a worker whose fence number the earlier holder has raised. A refused start shows that,
// before the waiting renewal is answered.
func TestLaterHolderIsNoticedByWorkerWithRaisedFence(t *testing.T) {
	c := newDeliveryCell(t, "w")
	c.listOutdated("w")
	c.run(2*time.Second + partialWait/2) // The waiting renewal is not about to be answered.
	c.workers["w"].fence = 2_000_000
	c.submit("j")
	c.runUntil(100*time.Millisecond, "the holder has stepped down", func() bool { return !c.core.IsServing(c.now) })
}

// A worker refuses the number that it had before it was raised. The holder has forgotten the raised number, since
// the worker was gone for a long time, and has not been replaced.
func TestHolderDoesNotStepDownWhenWorkerReturnsThatWasGoneForLong(t *testing.T) {
	c := newDeliveryCell(t, "v", "w")
	c.listOutdated("w")
	c.run(2 * time.Second)
	c.holds = func(o *transitOrder) bool { return o.worker.Name == "w" }
	c.post(exchange.WorkersRead{Listing: order.Listing{Removed: []string{"w"}}})
	c.run(90 * time.Second)
	c.holds = holdNone
	c.listWorkers()
	c.run(time.Second)
	if !c.core.IsServing(c.now) {
		c.printEvents()
	}
	assert.Check(t, c.core.IsServing(c.now), "the holder has stepped down although there is no later one")
}
