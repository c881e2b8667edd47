// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"

	"gotest.tools/v3/assert"
)

// doneAnswer returns the answer to a renewal at whose worker a run has ended successfully.
func doneAnswer(r exchange.Renew, run order.Run) exchange.RenewEnded {
	e := renewAnswer(r)
	e.Report.Ended = []order.End{{Number: 1, Run: run, Status: order.Done}}
	return e
}

// renewalTimesOut ends a renewal with a timeout and returns the next one.
func (d *harness) renewalTimesOut(r exchange.Renew) exchange.Renew {
	d.t.Helper()
	effects := d.handle(exchange.RenewEnded{Worker: r.Worker, Epoch: r.Epoch, Renewal: r.Renewal, Answer: order.Answer{Outcome: order.Unknown}})
	effects = append(effects, d.advance(200*time.Millisecond)...)
	d.confirmAnyAppend(effects)
	next := effectsOf[exchange.Renew](effects)
	assert.Equal(d.t, len(next), 1)
	return next[0]
}

// The holder's link is congested, so answers take 1.5 s while renewals time out after 1.2 s. If
// only the answer to the renewal in flight counts, each end that the worker reports is dropped
// until its lease expires, and the task is started again elsewhere. With 120 workers and a link of
// 2 Mbit/s, 42 tasks ran up to four times to their successful end. Ends are numbered and stay
// valid, so those in late answers must count as well.
func TestEndInLateAnswerCounts(t *testing.T) {
	d, renewals := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	start := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))[0]
	d.handle(exchange.StartEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: start.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
	d.renewalTimesOut(renewals["w"])
	effects := d.handle(doneAnswer(renewals["w"], start.Order.Run))
	d.confirmAnyAppend(append(effects, d.advance(20*time.Millisecond)...))
	effects = d.handle(exchange.StateAsked{Call: 9, Job: "j"})
	assert.Equal(t, effectsOf[exchange.Reply](effects)[0].Answer.State, job.Succeeded)
}

// A late answer is older than the renewal in flight: runs that it lists may have ended since, and
// others may have started.
func TestLateAnswerIsUsedForEndsOnly(t *testing.T) {
	d, renewals := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	start := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))[0]
	d.handle(exchange.StartEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: start.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
	second := d.renewalTimesOut(renewals["w"])
	third := d.renewalTimesOut(second)
	effects := d.handle(renewAnswer(second))
	effects = append(effects, d.advance(20*time.Millisecond)...)
	assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 0, "an empty report that is late proves nothing")
	orphan := order.Run{Task: job.TaskID{StepID: job.StepID{Job: "gone"}}, Number: 1}
	effects = d.handle(renewAnswer(second, orphan))
	assert.Equal(t, len(effectsOf[exchange.StopRun](effects)), 0, "the run in a late report may have ended")
	effects = d.handle(renewAnswer(third))
	// Nothing may be started on a worker that was unresponsive until the log has a record that it
	// answers.
	d.confirmAppend(append(effects, d.advance(20*time.Millisecond)...))
	effects = d.advance(20 * time.Millisecond)
	assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 1, "the answer to the renewal in flight shows that the run is gone")
}

// A refused submission means that the job has not run. Submitting a known job again must not be
// refused, because that job may have run.
func TestOverloadedHolderRefusesOnlyUnknownJobs(t *testing.T) {
	d := oneWorker(t)
	d.submitAndLog(oneStep("known", "quick", 1, false))
	again := d.handle(exchange.Submitted{Call: 7, Submission: oneStep("known", "quick", 1, false), RetryAfter: 2 * time.Second})
	assert.Equal(t, effectsOf[exchange.Reply](again)[0].Answer.Outcome, exchange.OK)
	fresh := d.handle(exchange.Submitted{Call: 8, Submission: oneStep("new", "quick", 1, false), RetryAfter: 2 * time.Second})
	reply := effectsOf[exchange.Reply](fresh)[0].Answer
	assert.Equal(t, reply.Outcome, exchange.Unavailable)
	assert.Equal(t, reply.RetryAfter.Duration(), 2*time.Second)
	state := d.handle(exchange.StateAsked{Call: 9, Job: "new"})
	assert.Equal(t, effectsOf[exchange.Reply](state)[0].Answer.Outcome, exchange.NoJob)
}
