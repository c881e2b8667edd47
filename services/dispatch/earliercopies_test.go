// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// In these tests start orders are in transit longer than what they were ordered by or for: a holder, an attempt, an
// incarnation.

// requireNoLossAfterRestart restarts the worker that a start is on the way to, which carries it out before it
// receives any other order, and requires that nothing is lost or started again.
func (c *deliveryCell) requireNoLossAfterRestart(start *transitOrder, born int64) {
	c.t.Helper()
	c.restart(start.worker.Name, born)
	c.deliver(start)
	c.run(time.Second)
	c.requireNoLoss()
}

// requireEndIsKept restarts worker w, which carries out a start and then receives the acknowledgement that is in
// transit, and requires that the end of the start is not lost. The holder may have sent no acknowledgement.
func (c *deliveryCell) requireEndIsKept(start *transitOrder) {
	c.t.Helper()
	if len(c.held) == 0 {
		return
	}
	acknowledgement := c.take(renewalOrder)
	c.holds = holdKind(renewalOrder)
	c.restartSilently("w", 2000)
	c.deliver(start)
	c.endOfLaterIncarnation(acknowledgement)
}

// Another holder takes over before it has appended anything, so the log has only what the first one knew.
func TestCopyOfStartIsNotCarriedOutAfterTwoTakeoversInARow(t *testing.T) {
	c := newDeliveryCell(t, "w")
	c.holds = holdFirst(startOrder)
	c.submit("j")
	c.runUntil(2*time.Second, "the repeated start is carried out", func() bool { return len(c.starts) == 1 })
	start := c.take(startOrder)
	c.holds = holdKind(renewalOrder)
	c.takeOver()
	c.holds = holdNone
	c.takeOver()
	c.run(2 * time.Second)
	c.deliverToUnreachedIncarnation(start)
	c.requireNoLoss()
}

// The copy is that of the start of one member of a gang. The worker of another member reports the success to the
// later holder, which learns nothing from the worker that the copy is on the way to.
func TestCopyOfStartOfMemberIsNotCarriedOutAfterLaterHolderAcknowledgedGang(t *testing.T) {
	c, start := gangBesideCopy(t)
	c.holds = func(o *transitOrder) bool { return o.kind == renewalOrder && o.worker.Name == "w" }
	c.takeOver()
	c.run(1500 * time.Millisecond)
	c.holds = holdNone
	c.restart("w", 2000)
	c.deliver(start)
	c.run(time.Second)
	c.requireNoLoss()
}

// No copy of the start has been carried out when the later holder takes over, so the worker does not report the run.
// It acknowledges the end of the next run of the task; the acknowledgement and the start are late.
func TestEndOfUnreportedStartOfEarlierHolderIsNotLostToAcknowledgement(t *testing.T) {
	c := newDeliveryCell(t, "w")
	c.holds = holdKind(startOrder)
	c.submit("j")
	c.run(300 * time.Millisecond)
	start := c.take(startOrder)
	c.held = nil
	c.holds = func(o *transitOrder) bool { return o.acknowledged > 0 }
	c.takeOver()
	c.run(2 * time.Second)
	c.requireEndIsKept(start)
}

// The run of the task was ordered by an earlier holder and lost; the task is done by a run of the later one.
func TestStartOfEarlierHolderIsNotCarriedOutAfterTaskWasDoneElsewhere(t *testing.T) {
	c := newDeliveryCell(t, "v", "w")
	c.holds = holdKind(startOrder)
	c.submit("j")
	c.run(300 * time.Millisecond)
	start := c.take(startOrder)
	c.holds = holdNone
	c.takeOver()
	c.run(3 * time.Second)
	assert.Assert(t, len(c.starts) == 1, "the task must have run")
	c.requireNoLossAfterRestart(start, 2000)
}

// The earlier holder has recorded that the job has ended. It keeps the end unacknowledged because of the start.
func TestStartOfEarlierHolderIsNotCarriedOutAfterJobHasEnded(t *testing.T) {
	c := newDeliveryCell(t, "v", "w")
	c.holds = holdKind(startOrder)
	c.submit("j")
	c.run(500 * time.Millisecond)
	start := c.take(startOrder)
	c.holds = holdNone
	c.restart(start.worker.Name, 2000)
	c.runUntil(3*time.Second, "the task is started elsewhere", func() bool { return len(c.starts) > 0 })
	c.run(time.Second)
	c.takeOver()
	c.run(2 * time.Second)
	c.requireNoLossAfterRestart(start, 3000)
}

// The earlier holder is lost before the log names the start.
func TestStartOfHolderThatIsLostBeforeItsRecordIsNotCarriedOutAfterTaskWasDone(t *testing.T) {
	c := newDeliveryCell(t, "v", "w")
	c.holds = holdKind(startOrder)
	c.submit("j")
	c.run(50 * time.Millisecond)
	start := c.take(startOrder)
	c.holds = holdNone
	c.takeOver()
	c.run(3 * time.Second)
	assert.Assert(t, len(c.starts) == 1, "the task must have run")
	c.requireNoLossAfterRestart(start, 2000)
}

// Within one claim: the worker restarts, and its later incarnation answers before the call of the start has ended
// without an answer. The task is done elsewhere, and the worker restarts once more.
func TestStartUnansweredAfterRestartIsNotCarriedOutBySecondLaterIncarnation(t *testing.T) {
	c := newDeliveryCell(t, "v", "w")
	c.holds = holdKind(startOrder)
	c.submit("j")
	c.run(50 * time.Millisecond)
	start := c.take(startOrder)
	c.holds = holdNone
	c.restart(start.worker.Name, 2000)
	c.listWorkers()
	c.runUntil(3*time.Second, "the task is started elsewhere", func() bool { return len(c.starts) > 0 })
	c.run(2 * time.Second)
	c.requireNoLossAfterRestart(start, 3000)
}

// Within one claim: no copy of a start is carried out, the worker reports that it does not have the run, and the
// holder acknowledges the end of another task there. The acknowledgement and a copy of the start are late.
func TestEndOfStartThatWorkerDoesNotReportIsNotLostToAcknowledgement(t *testing.T) {
	c := newDeliveryCell(t, "w")
	c.holds = holdKind(startOrder)
	c.submit("j")
	c.run(2 * time.Second)
	start := c.take(startOrder)
	c.held = nil
	c.holds = func(o *transitOrder) bool { return o.acknowledged > 0 }
	c.submit("k")
	c.run(3 * time.Second)
	c.requireEndIsKept(start)
}
