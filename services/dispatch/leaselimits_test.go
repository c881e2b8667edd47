// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/services/jobrecords"

	"gotest.tools/v3/assert"
)

// renewAnswerClock is the reading of the worker's clock in answers from renewAnswer.
const renewAnswerClock = 1000

// newHolderWithUnresponsiveWorker returns a reducer that holds the cell with worker w, which the log names as
// unresponsive with a run and with a lease that can last for leaseLeft. It also returns the run and the pending renewal.
func newHolderWithUnresponsiveWorker(t *testing.T, leaseLeft time.Duration) (*harness, order.Run, exchange.Renew) {
	t.Helper()
	run := order.Run{Task: job.TaskID{StepID: job.StepID{Job: "j"}}, Number: 3}
	state := jobrecords.UnresponsiveState{LeaseLeft: job.Milliseconds(leaseLeft.Milliseconds()), Runs: []order.Run{run}}
	records := []stream.Record{logged(oneStep("j", "quick", 1, false)), jobrecords.UnresponsiveWorkerRecord(workerEntry("w", 1000), state)}
	d, renewals := newSuccessor(t, records, workerEntry("w", 1000))
	return d, run, renewals["w"]
}

// nextRenewal returns the renewal that must be among some effects.
func nextRenewal(t *testing.T, effects []exchange.Effect) exchange.Renew {
	t.Helper()
	renewals := effectsOf[exchange.Renew](effects)
	assert.Equal(t, len(renewals), 1)
	return renewals[0]
}

// grantedLease returns how long a renewal extends the lease, if it was sent right after an answer from renewAnswer.
func grantedLease(r exchange.Renew) time.Duration {
	return time.Duration(r.Order.LeaseEnd-renewAnswerClock) * time.Millisecond
}

// The next holder waits for as long as the log says. A worker that answers again gets no longer lease until the log
// names it as answering, and is asked again while that one lasts.
func TestLeaseIsNotExtendedBeyondWhatLogSaysOfWorker(t *testing.T) {
	const leaseLeft = 1500 * time.Millisecond
	d, run, first := newHolderWithUnresponsiveWorker(t, leaseLeft)
	effects := d.handle(renewAnswer(first, run))
	second := nextRenewal(t, effects)
	assert.Check(t, grantedLease(second) < leaseLeft, "%v", grantedLease(second))
	assert.Check(t, grantedLease(second) > leaseLeft/2, "%v", grantedLease(second))
	assert.Check(t, second.Order.MaxWait.Duration() <= grantedLease(second)/3, "%v", second.Order.MaxWait.Duration())
	d.confirmAppend(append(effects, d.advance(20*time.Millisecond)...))
	third := nextRenewal(t, d.handle(renewAnswer(second, run)))
	assert.Equal(t, grantedLease(third), lease)
}

// The worker restarts after it was recorded as unresponsive, and the later incarnation has the run. Its lease is
// limited by the record of the earlier one.
func TestLeaseOfLaterIncarnationIsLimitedByRecordOfEarlierOne(t *testing.T) {
	const leaseLeft = 1500 * time.Millisecond
	d, run, first := newHolderWithUnresponsiveWorker(t, leaseLeft)
	second := nextRenewal(t, d.handle(answeredBy(renewAnswer(first), 2000)))
	assert.Equal(t, second.Order.LeaseEnd, order.WorkerClock(0), "its clock is not known yet")
	effects := d.handle(renewAnswer(second, run))
	third := nextRenewal(t, effects)
	assert.Check(t, grantedLease(third) < leaseLeft, "%v", grantedLease(third))
	d.confirmAppend(append(effects, d.advance(20*time.Millisecond)...))
	assert.Equal(t, grantedLease(nextRenewal(t, d.handle(renewAnswer(third, run)))), lease)
}

// A start is repeated after its worker was recorded as unresponsive. The order extends the lease of all runs there, by
// no longer than the record says.
func TestRepeatedStartDoesNotExtendLeaseBeyondWhatLogSays(t *testing.T) {
	d, renewals := newHolder(t, workerEntry("w", 1000))
	first := d.startOneTask()
	orderedAt := d.now
	second := d.renewalTimesOut(renewals["w"])
	effects := d.handle(exchange.RenewEnded{Worker: second.Worker, Epoch: second.Epoch, Renewal: second.Renewal, Answer: order.Answer{Outcome: order.Unknown}})
	recorded := findAppend(append(effects, d.advance(500*time.Millisecond)...), exchange.ForJournal)
	assert.Assert(t, recorded != nil)
	workers := jobrecords.Decode(recorded.Append.Records).Workers
	assert.Equal(t, len(workers), 1)
	leaseLeft := workers[0].Unresponsive.LeaseLeft
	repeated := effectsOf[exchange.StartRun](d.startUnanswered(first))
	assert.Equal(t, len(repeated), 1)
	clock := first.Order.LeaseEnd - order.WorkerClock(lease.Milliseconds()) + order.WorkerClock(d.now.Sub(orderedAt).Milliseconds())
	assert.Check(t, repeated[0].Order.LeaseEnd <= clock+order.WorkerClock(leaseLeft), "until %v at %v, %v left", repeated[0].Order.LeaseEnd, clock, leaseLeft)
	assert.Check(t, repeated[0].Order.LeaseEnd > clock, "the worker must not refuse the start as late")
}
