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

// workerEntry returns the platform's entry of one incarnation of a worker.
func workerEntry(name string, born int64) order.Worker {
	return order.Worker{Incarnation: order.Incarnation{Name: name, BornUnixMilli: born}, Address: name, Pool: pool, Capacity: workerCapacity}
}

// answeredBy returns the answer as if another incarnation of the worker had sent it.
func answeredBy(e exchange.RenewEnded, born int64) exchange.RenewEnded {
	e.Report.Incarnation.BornUnixMilli = born
	return e
}

// startOneTask submits a job of one task and returns the order that starts it.
func (d *harness) startOneTask() exchange.StartRun {
	d.t.Helper()
	return effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))[0]
}

// startSucceeds ends the call of a start with the answer that it was carried out.
func (d *harness) startSucceeds(s exchange.StartRun) []exchange.Effect {
	return d.handle(exchange.StartEnded{Worker: s.Worker, Epoch: 1, Run: s.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
}

// persist confirms the appends in effects and those that follow, and returns all effects.
func (d *harness) persist(effects []exchange.Effect) []exchange.Effect {
	d.confirmAnyAppend(effects)
	all := append(effects, d.advance(20*time.Millisecond)...)
	d.confirmAnyAppend(all)
	return append(all, d.advance(20*time.Millisecond)...)
}

// startsWithin advances the time while all appends succeed and all workers answer, and returns the
// starts.
func (d *harness) startsWithin(span time.Duration, renewals map[string]exchange.Renew) (starts []exchange.StartRun) {
	d.t.Helper()
	for end := d.now.Add(span); d.now.Before(end); {
		effects := d.runFor(20*time.Millisecond, renewals, nil)
		effects = append(effects, d.confirmAnyAppend(effects)...)
		starts = append(starts, effectsOf[exchange.StartRun](effects)...)
	}
	return starts
}

// otherWorker returns the name of the worker, v or w, that did not get the start.
func otherWorker(s exchange.StartRun) string {
	if s.Worker.Name == "v" {
		return "w"
	}
	return "v"
}

func TestTaskThatSuccessorMayStartIsNotStartedElsewhere(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered bool
		started  bool
	}{
		{"start unanswered, received by the successor", false, true},
		{"start unanswered, not received by any incarnation", false, false},
		{"start answered by an unknown incarnation", true, true},
		{"start answered by the earlier incarnation", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, renewals := newHolder(t, workerEntry("v", 1000), workerEntry("w", 1000))
			start := d.startOneTask()
			if c.answered {
				d.startSucceeds(start)
			}
			renewal := renewals[start.Worker.Name]
			effects := d.persist(d.handle(answeredBy(renewAnswer(renewal), 700)))
			assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 0)
			second := effectsOf[exchange.Renew](effects)[0]
			assert.Equal(t, second.Worker, order.Incarnation{Name: start.Worker.Name, BornUnixMilli: 700})
			assert.Check(t, second.Order.Fence > start.Order.Fence, "orders meant for the earlier incarnation must be refused from now on")
			assert.Equal(t, second.Order.LeaseEnd, order.WorkerClock(0), "its clock is not known yet")
			if c.started {
				effects = d.persist(d.handle(renewAnswer(second, start.Order.Run)))
				assert.Equal(t, len(effectsOf[exchange.StartRun](effects))+len(effectsOf[exchange.StopRun](effects)), 0)
				return
			}
			renewals[start.Worker.Name] = second
			again := d.startsWithin(2*time.Second, renewals)
			assert.Check(t, len(again) > 0)
			assert.Check(t, again[0].Order.Number > start.Order.Number)
		})
	}
}

func TestTasksReportedByEarlierIncarnationAreRestarted(t *testing.T) {
	d, renewals := newHolder(t, workerEntry("v", 1000), workerEntry("w", 1000))
	start := d.startOneTask()
	d.startSucceeds(start)
	d.runFor(time.Second, renewals, map[string][]order.Run{start.Worker.Name: {start.Order.Run}})
	renewals[start.Worker.Name] = effectsOf[exchange.Renew](d.handle(answeredBy(renewAnswer(renewals[start.Worker.Name]), 2000)))[0]
	again := d.startsWithin(2*time.Second, renewals)
	assert.Check(t, len(again) > 0)
	assert.Equal(t, again[0].Worker.Name, otherWorker(start), "the later incarnation is not listed yet")
}

func TestSuccessReportedByEarlierIncarnationCounts(t *testing.T) {
	d, renewals := newHolder(t, workerEntry("v", 1000), workerEntry("w", 1000))
	start := d.startOneTask()
	d.startSucceeds(start)
	late := renewals[start.Worker.Name]
	next := d.renewalTimesOut(late)
	d.persist(d.handle(answeredBy(renewAnswer(next), 2000)))
	d.persist(d.handle(doneAnswer(late, start.Order.Run)))
	effects := d.handle(exchange.StateAsked{Call: 9, Job: "j"})
	assert.Equal(t, effectsOf[exchange.Reply](effects)[0].Answer.State, job.Succeeded)
}

func TestAnswerToOrderForEarlierIncarnationIsIgnored(t *testing.T) {
	d, renewals := newHolder(t, workerEntry("v", 1000), workerEntry("w", 1000))
	start := d.startOneTask()
	d.persist(d.handle(answeredBy(renewAnswer(renewals[start.Worker.Name]), 2000)))
	for _, a := range []order.Answer{{Outcome: order.WrongIncarnation}, {Outcome: order.Refused, Reason: order.Fenced}, {Outcome: order.CarriedOut}} {
		d.handle(exchange.StartEnded{Worker: start.Worker, Epoch: 1, Run: start.Order.Run, Fence: start.Order.Fence, Answer: a})
		d.handle(exchange.StopEnded{Worker: start.Worker, Epoch: 1, Run: start.Order.Run, Fence: start.Order.Fence, Answer: a})
	}
	assert.Check(t, d.core.IsServing(d.now), "a refusal by a later incarnation does not mean that it has seen a later holder")
}

func TestEntryOfOtherIncarnationTriggersRenewalAndBlocksStarts(t *testing.T) {
	d, renewals := newHolder(t, workerEntry("w", 1000))
	listed := func(born int64) []exchange.Effect {
		return d.handle(exchange.WorkersRead{Listing: order.Listing{Present: []order.Worker{workerEntry("w", born)}}})
	}
	sent := effectsOf[exchange.Renew](listed(400))
	assert.Equal(t, len(sent), 1, "the renewal in flight was sent before the entry was read")
	assert.Equal(t, sent[0].Order.MaxWait, job.Milliseconds(0))
	assert.Check(t, sent[0].Order.Fence > renewals["w"].Order.Fence, "a later incarnation may exist")
	assert.Equal(t, len(effectsOf[exchange.Renew](listed(400))), 0, "a renewal is already in flight")
	assert.Equal(t, len(effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))), 0)
	d.handle(renewAnswer(renewals["w"]))
	assert.Equal(t, len(effectsOf[exchange.StartRun](d.advance(20*time.Millisecond))), 0, "the answer is to a renewal sent before the entry was read")
	started := effectsOf[exchange.StartRun](d.persist(d.handle(renewAnswer(sent[0]))))
	assert.Equal(t, len(started), 1, "the entry was outdated")
	assert.Equal(t, len(effectsOf[exchange.Renew](listed(400))), 0, "an outdated entry must not cause another renewal")
}

// lastAcknowledged advances the time while worker w reports the given runs, and returns the highest
// number of an end that is acknowledged to it.
func (d *harness) lastAcknowledged(renewals map[string]exchange.Renew, running ...order.Run) (number int64) {
	d.t.Helper()
	for range 20 {
		effects := d.runFor(20*time.Millisecond, renewals, map[string][]order.Run{"w": running})
		effects = append(effects, d.confirmAnyAppend(effects)...)
		for _, r := range effectsOf[exchange.Renew](effects) {
			number = max(number, r.Order.Acknowledged)
		}
	}
	return number
}

func TestNoEndIsAcknowledgedWhileSuccessorMayHaveEndedTask(t *testing.T) {
	d, renewals := newHolder(t, workerEntry("w", 1000))
	first := d.startOneTask()
	d.startSucceeds(first)
	d.lastAcknowledged(renewals, first.Order.Run)
	second := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("k", "quick", 1, false)))
	assert.Equal(t, len(second), 1)
	d.now = d.now.Add(100 * time.Millisecond)
	effects := d.handle(doneAnswer(renewals["w"], first.Order.Run))
	renewals["w"] = effectsOf[exchange.Renew](append(effects, d.persist(effects)...))[0]
	assert.Equal(t, d.lastAcknowledged(renewals), int64(0), "the second start has not been reported yet")
	d.startSucceeds(second[0])
	assert.Equal(t, d.lastAcknowledged(renewals, second[0].Order.Run), int64(1))
}

// TestNoEndIsAcknowledgedWhileSuccessorMayCarryOutCopyOfStart reports a run whose start was ordered twice.
// The other copy may still be on its way and reach a later incarnation, which could end the run.
func TestNoEndIsAcknowledgedWhileSuccessorMayCarryOutCopyOfStart(t *testing.T) {
	d, renewals := newHolder(t, workerEntry("w", 1000))
	first := d.startOneTask()
	d.startSucceeds(first)
	d.lastAcknowledged(renewals, first.Order.Run)
	second := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("k", "quick", 1, false)))
	assert.Equal(t, len(second), 1)
	again := effectsOf[exchange.StartRun](d.startAnswered(second[0], order.Unknown))
	assert.Equal(t, len(again), 1)
	d.startSucceeds(again[0])
	d.now = d.now.Add(100 * time.Millisecond)
	effects := d.handle(doneAnswer(renewals["w"], first.Order.Run))
	renewals["w"] = effectsOf[exchange.Renew](append(effects, d.persist(effects)...))[0]
	assert.Equal(t, d.lastAcknowledged(renewals, second[0].Order.Run), int64(0), "a later incarnation may have ended the second run")
	acknowledged := int64(0)
	for range 40 {
		acknowledged = max(acknowledged, d.lastAcknowledged(renewals, second[0].Order.Run))
	}
	assert.Equal(t, acknowledged, int64(1), "no copy of the order can be carried out any more")
}

func TestRestartOfRecordedWorkerIsDetectedByItsAnswer(t *testing.T) {
	d := newHarness(t)
	fence := d.claimCell(time.Second)
	d.handle(exchange.AppendEnded{Purpose: exchange.ForJournal, Number: fence.Number})
	d.handle(exchange.WorkersRead{Listing: order.Listing{Complete: true, Present: []order.Worker{workerEntry("w", 2000)}}})
	renewals := effectsOf[exchange.Renew](d.handle(exchange.JobsLoaded{Epoch: 1, Records: []stream.Record{jobrecords.WorkerRecord(workerEntry("w", 1000))}}))
	assert.Equal(t, len(renewals), 1)
	next := effectsOf[exchange.Renew](d.handle(answeredBy(renewAnswer(renewals[0]), 2000)))
	assert.Equal(t, len(next), 1)
	effects := d.persist(d.handle(renewAnswer(next[0])))
	assert.Equal(t, len(effectsOf[exchange.StartRun](append(effects, d.submitAndLog(oneStep("j", "quick", 1, false))...))), 1)
}

// A new holder restores a run on an unresponsive worker from the log, that worker restarts, and
// another worker reports a later run of the same task. The later run must continue as the only one.
func TestRunMovedToSuccessorYieldsToLaterRunOfItsTask(t *testing.T) {
	run := order.Run{Task: job.TaskID{StepID: job.StepID{Job: "j"}}, Number: 3}
	later := run
	later.Number = 5
	d, renewals := newSuccessor(t, []stream.Record{
		logged(oneStep("j", "quick", 1, false)),
		jobrecords.UnresponsiveWorkerRecord(workerEntry("w", 1000), jobrecords.UnresponsiveState{LeaseLeft: 5000, Runs: []order.Run{run}}),
		jobrecords.WorkerRecord(workerEntry("v", 1000)),
	}, workerEntry("v", 1000), workerEntry("w", 2000))
	effects := d.handle(answeredBy(renewAnswer(renewals["w"]), 2000))
	effects = append(effects, d.handle(renewAnswer(renewals["v"], later))...)
	assert.Equal(t, len(effectsOf[exchange.StopRun](effects)), 0, "the later run must continue")
	assert.Equal(t, len(d.startsWithin(time.Second, renewals)), 0, "the task must not be started again")
}

func TestLateAnswerOfOtherIncarnationReplacesCurrentOne(t *testing.T) {
	d, renewals := newHolder(t, workerEntry("w", 1000))
	late := renewals["w"]
	d.renewalTimesOut(late)
	effects := d.handle(answeredBy(renewAnswer(late), 400))
	next := effectsOf[exchange.Renew](effects)
	assert.Equal(t, len(next), 1)
	assert.Equal(t, next[0].Worker, order.Incarnation{Name: "w", BornUnixMilli: 400}, "the renewal was sent when the other incarnation was the known one")
}
