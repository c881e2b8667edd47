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

// doneAnswer is the answer to a look at a worker on which a run has ended well.
func doneAnswer(r exchange.Renew, run order.Run) exchange.RenewEnded {
	e := renewAnswer(r)
	e.Report.Ended = []order.End{{Number: 1, Run: run, Status: order.Done}}
	return e
}

// renewalTimesOut ends a look that ran out of its time, and returns the next one.
func (d *harness) renewalTimesOut(r exchange.Renew) exchange.Renew {
	d.t.Helper()
	effects := d.handle(exchange.RenewEnded{Worker: r.Worker, Epoch: r.Epoch, Renewal: r.Renewal, Answer: order.Answer{Outcome: order.Unknown}})
	effects = append(effects, d.advance(200*time.Millisecond)...)
	d.confirmAnyAppend(effects)
	next := effectsOf[exchange.Renew](effects)
	assert.Equal(d.t, len(next), 1)
	return next[0]
}

// Symptom: a task ran up to four times, each time to its good end, although its worker
// had listed each end in the answer to a look (42 tasks in one play of 120 workers under
// a holder with a link of 2 Mbit/s).
//
// Sequence: the holder's link is full, so an answer takes 1.5 s; the look runs out after
// 1.2 s; the next look is asked for; the answer to the first comes and is not taken; the
// same happens to all that follow until the lease has run out, and the task is started
// elsewhere.
//
// Cause: only the answer to the look under way counted, and ends that others told of
// were dropped, although ends have numbers and stay true.
//
// What settled it: the worker's lines `does not answer` without `answers again` between
// the end of the run and the next start, on a day without any disturbance.
func TestEndInLateAnswerCounts(t *testing.T) {
	d, looks := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	start := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))[0]
	d.handle(exchange.StartEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: start.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
	d.renewalTimesOut(looks["w"])
	effects := d.handle(doneAnswer(looks["w"], start.Order.Run))
	d.confirmAnyAppend(append(effects, d.advance(20*time.Millisecond)...))
	effects = d.handle(exchange.StateAsked{Call: 9, Job: "j"})
	assert.Equal(t, effectsOf[exchange.Reply](effects)[0].Answer.State, job.Succeeded)
}

// A late answer is from before the look under way: what ran by then may have ended, and
// what did not may have begun.
func TestLateAnswerIsUsedForEndsOnly(t *testing.T) {
	d, looks := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	start := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))[0]
	d.handle(exchange.StartEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: start.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
	second := d.renewalTimesOut(looks["w"])
	third := d.renewalTimesOut(second)
	effects := d.handle(renewAnswer(second))
	effects = append(effects, d.advance(20*time.Millisecond)...)
	assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 0, "an empty list that came late is no proof")
	stray := order.Run{Task: job.TaskID{StepID: job.StepID{Job: "gone"}}, Number: 1}
	effects = d.handle(renewAnswer(second, stray))
	assert.Equal(t, len(effectsOf[exchange.StopRun](effects)), 0, "what ran by then may have ended")
	effects = d.handle(renewAnswer(third))
	// Nothing starts on a worker that was silent before the log has it that it answers.
	d.confirmAppend(append(effects, d.advance(20*time.Millisecond)...))
	effects = d.advance(20 * time.Millisecond)
	assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 1, "the look under way is one")
}

// A refusal says that the job has not run; one that is known may have.
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
