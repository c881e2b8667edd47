// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"saddlevane/models/order"
	"saddlevane/models/resource"

	"gotest.tools/v3/assert"
)

// maxTransit is how long orders stay in transit in these tests. The users' protocol says "seconds".
const maxTransit = 8 * time.Second

// holdFirst returns a function that keeps the first order of a kind in transit.
func holdFirst(kind orderKind) func(*transitOrder) bool {
	held := false
	return func(o *transitOrder) bool {
		if held || o.kind != kind {
			return false
		}
		held = true
		return true
	}
}

// holdKind returns a function that keeps all orders of a kind in transit.
func holdKind(kind orderKind) func(*transitOrder) bool {
	return func(o *transitOrder) bool { return o.kind == kind }
}

// holdNone keeps no order in transit.
func holdNone(*transitOrder) bool { return false }

// doneBesideCopy returns a cell whose worker has done the task of job j after a repeated start, while the
// first copy of the start is still in transit, and the copy.
func doneBesideCopy(t *testing.T) (*deliveryCell, *transitOrder) {
	t.Helper()
	c := newDeliveryCell(t, "w")
	c.holds = holdFirst(startOrder)
	c.submit("j")
	c.runUntil(2*time.Second, "the repeated start is carried out", func() bool { return len(c.starts) == 1 })
	c.run(time.Second)
	return c, c.take(startOrder)
}

// gangBesideCopy returns a cell whose workers v and w run a gang after a repeated start on w, while the first copy of
// that start is still in transit, and the copy.
func gangBesideCopy(t *testing.T) (*deliveryCell, *transitOrder) {
	t.Helper()
	c := newDeliveryCell(t, "v", "w")
	c.holds = func(o *transitOrder) bool { return o.kind == startOrder && o.worker.Name == "w" && len(c.held) == 0 }
	c.workers["v"].runTime, c.workers["w"].runTime = time.Second, 600*time.Millisecond
	s := oneStep("j", "quick", 2, true)
	s.Steps[0].PerWorker = 1
	s.Steps[0].Need.Processors = 40 * resource.Processor
	c.submitJob(s)
	c.runUntil(2*time.Second, "the repeated start is carried out", func() bool { return len(c.starts) == 2 })
	return c, c.take(startOrder)
}

// deliverToUnreachedIncarnation restarts worker w and delivers a start to its later incarnation before any
// order of the holder.
func (c *deliveryCell) deliverToUnreachedIncarnation(start *transitOrder) {
	c.t.Helper()
	c.holds = func(*transitOrder) bool { return true }
	c.restart("w", 2000)
	c.run(50 * time.Millisecond)
	c.deliver(start)
	c.run(time.Second)
}

// The task was done by a repeated start. The worker restarts, and the copy of the start reaches the later
// incarnation before any order of the holder has.
func TestCopyOfStartOfDoneTaskIsNotCarriedOutByIncarnationWithoutOrders(t *testing.T) {
	c, start := doneBesideCopy(t)
	c.deliverToUnreachedIncarnation(start)
	c.requireNoLoss()
}

// The same, after the later incarnation has answered a renewal that was sent to the earlier one. The renewal with
// the raised fence number is late.
func TestCopyOfStartOfDoneTaskIsNotCarriedOutAfterFirstAnswerOfLaterIncarnation(t *testing.T) {
	c, start := doneBesideCopy(t)
	c.holds = holdKind(renewalOrder)
	c.runUntil(10*time.Second, "a renewal is in transit", func() bool { return len(c.held) > 0 })
	c.restart("w", 2000)
	c.deliver(c.take(renewalOrder))
	c.runUntil(3*time.Second, "the next renewal is in transit", func() bool { return len(c.held) > 0 })
	assert.Check(t, c.held[0].fence > start.fence)
	c.run(20 * time.Millisecond)
	c.deliver(start)
	c.run(time.Second)
	c.requireNoLoss()
}

// The copy arrives after the order with the raised fence number.
func TestCopyOfStartOfDoneTaskIsRefusedUnderRaisedFence(t *testing.T) {
	c, start := doneBesideCopy(t)
	c.restart("w", 2000)
	c.run(2 * time.Second)
	c.deliver(start)
	c.run(time.Second)
	c.requireNoLoss()
	assert.Equal(t, len(c.starts), 1)
}

// The copy is that of the start of one member of a gang, and the worker of another member reports the success.
func TestCopyOfStartOfMemberIsNotCarriedOutAfterGangIsDone(t *testing.T) {
	c, start := gangBesideCopy(t)
	// The success of the member on v is reported first.
	c.holds = func(o *transitOrder) bool { return o.kind == renewalOrder && o.worker.Name == "w" }
	c.run(1500 * time.Millisecond)
	c.holds = holdNone
	c.restart("w", 2000)
	c.deliver(start)
	c.run(time.Second)
	c.requireNoLoss()
}

// No start of the first run is answered. The later incarnation reports that it does not have the run, the task is done
// by a second run on another worker, and the first worker restarts once more. The incarnation that then receives
// a copy of the first run's start has seen no fence number.
func TestStartOfLostRunIsNotCarriedOutBySecondLaterIncarnation(t *testing.T) {
	c := newDeliveryCell(t, "v", "w")
	c.holds = holdKind(startOrder)
	c.submit("j")
	c.run(500 * time.Millisecond)
	start := c.take(startOrder)
	c.holds = holdNone
	c.restart(start.worker.Name, 2000)
	c.runUntil(3*time.Second, "the task is started elsewhere", func() bool { return len(c.starts) > 0 })
	assert.Check(t, c.starts[0].run.Number > start.run.Number)
	c.run(2 * time.Second)
	c.restart(start.worker.Name, 3000)
	c.deliver(start)
	c.run(time.Second)
	c.requireNoLoss()
}

// The first answer of a later incarnation lists a run that the holder counts as lost. The renewal with the raised fence
// number is late, and another worker becomes available.
func TestRunInFirstAnswerOfLaterIncarnationIsNotStartedElsewhere(t *testing.T) {
	c := newDeliveryCell(t, "v")
	c.workers["v"].runTime = time.Minute
	c.holds = holdKind(startOrder)
	c.submit("j")
	c.run(500 * time.Millisecond)
	start := c.take(startOrder)
	c.holds = holdNone
	c.restart("v", 2000)
	c.run(500 * time.Millisecond)
	c.holds = holdKind(renewalOrder)
	c.runUntil(10*time.Second, "a renewal is in transit", func() bool { return len(c.held) > 1 })
	c.restart("v", 3000)
	c.deliver(start)
	c.deliver(c.take(renewalOrder))
	c.run(1100 * time.Millisecond)
	isOrdered := func(o *transitOrder) bool { return o.worker.BornUnixMilli == 3000 }
	assert.Check(t, slices.ContainsFunc(c.sent, isOrdered), "the holder must have the first answer")
	c.holds = func(o *transitOrder) bool { return o.kind == renewalOrder && o.worker.Name == "v" }
	c.workers["w"] = &deliveryWorker{c: c, runTime: time.Minute}
	c.workers["w"].begin(order.Incarnation{Name: "w", BornUnixMilli: 1000})
	c.listWorkers()
	c.run(3 * time.Second)
	if len(c.besideStarts) > 0 {
		c.printEvents()
	}
	assert.Check(t, len(c.besideStarts) == 0, "started although the holder knows of another run: %v", c.besideStarts)
}

// acknowledgementInTransit returns a cell in which the renewal that acknowledges the end of job j's task is in
// transit, and the renewal. The worker that has done the task has not restarted yet.
func acknowledgementInTransit(t *testing.T) (*deliveryCell, *transitOrder) {
	t.Helper()
	c := newDeliveryCell(t, "w")
	isHeld := false
	c.holds = func(o *transitOrder) bool {
		if isHeld || o.acknowledged == 0 {
			return false
		}
		isHeld = true
		return true
	}
	c.submit("j")
	c.runUntil(20*time.Second, "a renewal that acknowledges the end is in transit", func() bool { return len(c.held) > 0 })
	return c, c.take(renewalOrder)
}

// endOfLaterIncarnation has the later incarnation end the task of job k as its end 1 and then receive the
// renewal that acknowledges end 1 of the earlier one, and requires that the success of k is not lost.
func (c *deliveryCell) endOfLaterIncarnation(acknowledgement *transitOrder) {
	c.t.Helper()
	c.holds = holdKind(renewalOrder)
	c.run(400 * time.Millisecond)
	c.deliver(acknowledgement)
	c.run(20 * time.Millisecond)
	c.holds = holdNone
	c.listWorkers()
	c.run(maxTransit)
	c.requireNoLoss()
}

// The start is ordered while the holder still waits for the answer to the renewal.
func TestEndOfLaterIncarnationIsNotLostToAcknowledgementInTransit(t *testing.T) {
	c, acknowledgement := acknowledgementInTransit(t)
	c.holds = holdKind(renewalOrder)
	c.restart("w", 2000)
	c.submit("k")
	c.endOfLaterIncarnation(acknowledgement)
}

// The holder knows that the renewal got no answer, and the earlier incarnation has answered a later renewal. The
// restart closes no connection, so the holder does not notice it at once.
func TestEndOfLaterIncarnationIsNotLostToUnansweredAcknowledgement(t *testing.T) {
	c, acknowledgement := acknowledgementInTransit(t)
	c.run(3 * time.Second)
	assert.Check(t, acknowledgement.isOver)
	c.restartSilently("w", 2000)
	c.submit("k")
	c.endOfLaterIncarnation(acknowledgement)
}

// The end was reported to the earlier holder, whose copy of the start is in transit; the later holder
// acknowledges it.
func TestCopyOfStartOfEarlierHolderIsNotCarriedOutAfterLaterHolderAcknowledgedEnd(t *testing.T) {
	c := newDeliveryCell(t, "w")
	c.holds = holdFirst(startOrder)
	c.submit("j")
	c.runUntil(2*time.Second, "the repeated start is carried out", func() bool { return len(c.starts) == 1 })
	start := c.take(startOrder)
	c.takeOver()
	c.run(2 * time.Second)
	c.deliverToUnreachedIncarnation(start)
	c.requireNoLoss()
}

// A start and the acknowledgement of an earlier holder are in transit and reach the later incarnation before any
// order of the later holder does.
func TestEndOfLaterIncarnationIsNotLostToAcknowledgementOfEarlierHolder(t *testing.T) {
	c, acknowledgement := acknowledgementInTransit(t)
	c.holds = holdKind(startOrder)
	c.submit("k")
	c.run(500 * time.Millisecond)
	if len(c.held) == 0 {
		return // The holder sends no start while the acknowledgement is in transit.
	}
	start := c.take(startOrder)
	c.takeOver()
	c.run(500 * time.Millisecond)
	c.holds = holdKind(renewalOrder)
	c.restartSilently("w", 2000)
	c.deliver(start)
	c.endOfLaterIncarnation(acknowledgement)
}

// The acknowledgement of an earlier holder is in transit. The later holder starts a task on the later incarnation,
// which has seen its fence number.
func TestAcknowledgementOfEarlierHolderIsRefusedByLaterIncarnation(t *testing.T) {
	c, acknowledgement := acknowledgementInTransit(t)
	c.takeOver()
	c.holds = holdKind(renewalOrder)
	c.restartSilently("w", 2000)
	c.submit("k")
	c.endOfLaterIncarnation(acknowledgement)
	assert.Equal(t, len(c.starts), 2, "the task of k must have run once")
}

// An acknowledgement is sent while a start is in transit, under the same fence number. Both reach a later
// incarnation that no other order has reached.
func TestEndOfLaterIncarnationIsNotLostToAcknowledgementSentAfterStart(t *testing.T) {
	c := newDeliveryCell(t, "w")
	c.submit("j")
	c.runUntil(3*time.Second, "the end is reported", func() bool { return len(c.reported) > 0 })
	c.holds = func(o *transitOrder) bool { return o.kind == startOrder || o.acknowledged > 0 }
	c.run(50 * time.Millisecond) // The start is ordered just before the next renewal.
	c.submit("k")
	c.run(100 * time.Millisecond)
	isAcknowledgement := func(o *transitOrder) bool { return o.acknowledged > 0 }
	if !slices.ContainsFunc(c.held, isAcknowledgement) {
		return // The holder acknowledges nothing while the start is in transit.
	}
	acknowledgement, start := c.take(renewalOrder), c.take(startOrder)
	c.holds = holdKind(renewalOrder)
	c.restartSilently("w", 2000)
	c.deliver(start)
	c.endOfLaterIncarnation(acknowledgement)
}
