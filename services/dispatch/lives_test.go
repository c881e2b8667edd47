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
	"saddlevane/services/kept"

	"gotest.tools/v3/assert"
)

// workerEntry is an entry of a worker's life.
func workerEntry(name string, born int64) order.Worker {
	return order.Worker{Incarnation: order.Incarnation{Name: name, BornUnixMilli: born}, Address: name, Pool: pool, Capacity: workerCapacity}
}

// answeredBy makes an answer that of another life of the same worker.
func answeredBy(e exchange.RenewEnded, born int64) exchange.RenewEnded {
	e.Report.Incarnation.BornUnixMilli = born
	return e
}

// startOneTask has a job of one task started, and returns its start.
func (d *harness) startOneTask() exchange.StartRun {
	d.t.Helper()
	return effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))[0]
}

// startSucceeds ends the call of a start that was carried out.
func (d *harness) startSucceeds(s exchange.StartRun) []exchange.Effect {
	return d.handle(exchange.StartEnded{Worker: s.Worker, Epoch: 1, Run: s.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
}

// persist returns what comes of some effects once the log has kept what there is.
func (d *harness) persist(effects []exchange.Effect) []exchange.Effect {
	d.confirmAnyAppend(effects)
	all := append(effects, d.advance(20*time.Millisecond)...)
	d.confirmAnyAppend(all)
	return append(all, d.advance(20*time.Millisecond)...)
}

// startsWithin lets time pass while the log keeps all and workers answer, and returns the starts.
func (d *harness) startsWithin(span time.Duration, looks map[string]exchange.Renew) (starts []exchange.StartRun) {
	d.t.Helper()
	for end := d.now.Add(span); d.now.Before(end); {
		effects := d.runFor(20*time.Millisecond, looks, nil)
		effects = append(effects, d.confirmAnyAppend(effects)...)
		starts = append(starts, effectsOf[exchange.StartRun](effects)...)
	}
	return starts
}

// otherWorker returns the name of the other of two workers.
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
		begun    bool
	}{
		{"its start had no answer, and the later life got it", false, true},
		{"its start had no answer, and no life got it", false, false},
		{"its start was answered, by which life is not known", true, true},
		{"its start was answered by the earlier life", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, looks := newHolder(t, workerEntry("v", 1000), workerEntry("w", 1000))
			start := d.startOneTask()
			if c.answered {
				d.startSucceeds(start)
			}
			look := looks[start.Worker.Name]
			effects := d.persist(d.handle(answeredBy(renewAnswer(look), 700)))
			assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 0)
			second := effectsOf[exchange.Renew](effects)[0]
			assert.Equal(t, second.Worker, order.Incarnation{Name: start.Worker.Name, BornUnixMilli: 700})
			assert.Check(t, second.Order.Fence > start.Order.Fence, "what was meant for the earlier life is refused from then on")
			assert.Equal(t, second.Order.LeaseEnd, order.WorkerClock(0), "its clock is not known yet")
			if c.begun {
				effects = d.persist(d.handle(renewAnswer(second, start.Order.Run)))
				assert.Equal(t, len(effectsOf[exchange.StartRun](effects))+len(effectsOf[exchange.StopRun](effects)), 0)
				return
			}
			looks[start.Worker.Name] = second
			again := d.startsWithin(2*time.Second, looks)
			assert.Check(t, len(again) > 0)
			assert.Check(t, again[0].Order.Number > start.Order.Number)
		})
	}
}

func TestTasksReportedByEarlierIncarnationAreRestarted(t *testing.T) {
	d, looks := newHolder(t, workerEntry("v", 1000), workerEntry("w", 1000))
	start := d.startOneTask()
	d.startSucceeds(start)
	d.runFor(time.Second, looks, map[string][]order.Run{start.Worker.Name: {start.Order.Run}})
	looks[start.Worker.Name] = effectsOf[exchange.Renew](d.handle(answeredBy(renewAnswer(looks[start.Worker.Name]), 2000)))[0]
	again := d.startsWithin(2*time.Second, looks)
	assert.Check(t, len(again) > 0)
	assert.Equal(t, again[0].Worker.Name, otherWorker(start), "the later life is not listed yet")
}

func TestSuccessReportedByEarlierIncarnationCounts(t *testing.T) {
	d, looks := newHolder(t, workerEntry("v", 1000), workerEntry("w", 1000))
	start := d.startOneTask()
	d.startSucceeds(start)
	late := looks[start.Worker.Name]
	next := d.renewalTimesOut(late)
	d.persist(d.handle(answeredBy(renewAnswer(next), 2000)))
	d.persist(d.handle(doneAnswer(late, start.Order.Run)))
	effects := d.handle(exchange.StateAsked{Call: 9, Job: "j"})
	assert.Equal(t, effectsOf[exchange.Reply](effects)[0].Answer.State, job.Succeeded)
}

func TestAnswerToOrderForEarlierIncarnationIsIgnored(t *testing.T) {
	d, looks := newHolder(t, workerEntry("v", 1000), workerEntry("w", 1000))
	start := d.startOneTask()
	d.persist(d.handle(answeredBy(renewAnswer(looks[start.Worker.Name]), 2000)))
	for _, a := range []order.Answer{{Outcome: order.WrongIncarnation}, {Outcome: order.Refused, Reason: order.Fenced}, {Outcome: order.CarriedOut}} {
		d.handle(exchange.StartEnded{Worker: start.Worker, Epoch: 1, Run: start.Order.Run, Answer: a})
		d.handle(exchange.StopEnded{Worker: start.Worker, Epoch: 1, Run: start.Order.Run, Answer: a})
	}
	assert.Check(t, d.core.IsServing(d.now), "a later life that refuses such an order has seen no later holder")
}

func TestEntryOfOtherIncarnationTriggersRenewalAndBlocksStarts(t *testing.T) {
	d, looks := newHolder(t, workerEntry("w", 1000))
	listed := func(born int64) []exchange.Effect {
		return d.handle(exchange.WorkersRead{Listing: order.Listing{Present: []order.Worker{workerEntry("w", born)}}})
	}
	asked := effectsOf[exchange.Renew](listed(400))
	assert.Equal(t, len(asked), 1, "the look under way was made before the entry was read")
	assert.Equal(t, asked[0].Order.MaxWait, job.Milliseconds(0))
	assert.Check(t, asked[0].Order.Fence > looks["w"].Order.Fence, "a later life may be there")
	assert.Equal(t, len(effectsOf[exchange.Renew](listed(400))), 0, "the answer is awaited")
	assert.Equal(t, len(effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))), 0)
	d.handle(renewAnswer(looks["w"]))
	assert.Equal(t, len(effectsOf[exchange.StartRun](d.advance(20*time.Millisecond))), 0, "that answer is of before")
	started := effectsOf[exchange.StartRun](d.persist(d.handle(renewAnswer(asked[0]))))
	assert.Equal(t, len(started), 1, "the entry was old")
	assert.Equal(t, len(effectsOf[exchange.Renew](listed(400))), 0, "and is no reason any more")
}

// lastAcknowledged lets time pass in which one worker answers that it runs some tasks, and returns the
// last end that it is asked to forget.
func (d *harness) lastAcknowledged(looks map[string]exchange.Renew, running ...order.Run) (last int64) {
	d.t.Helper()
	for range 20 {
		effects := d.runFor(20*time.Millisecond, looks, map[string][]order.Run{"w": running})
		effects = append(effects, d.confirmAnyAppend(effects)...)
		for _, r := range effectsOf[exchange.Renew](effects) {
			last = max(last, r.Order.Acknowledged)
		}
	}
	return last
}

func TestNoEndIsAcknowledgedWhileSuccessorMayHaveEndedTask(t *testing.T) {
	d, looks := newHolder(t, workerEntry("w", 1000))
	first := d.startOneTask()
	d.startSucceeds(first)
	d.lastAcknowledged(looks, first.Order.Run)
	second := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("k", "quick", 1, false)))
	assert.Equal(t, len(second), 1)
	d.now = d.now.Add(100 * time.Millisecond)
	effects := d.handle(doneAnswer(looks["w"], first.Order.Run))
	looks["w"] = effectsOf[exchange.Renew](append(effects, d.persist(effects)...))[0]
	assert.Equal(t, d.lastAcknowledged(looks), int64(0), "the second start was not told of yet")
	d.startSucceeds(second[0])
	assert.Equal(t, d.lastAcknowledged(looks, second[0].Order.Run), int64(1))
}

func TestRestartOfRecordedWorkerIsDetectedByItsAnswer(t *testing.T) {
	d := newHarness(t)
	fence := d.claimCell(time.Second)
	d.handle(exchange.AppendEnded{Purpose: exchange.ForJournal, Number: fence.Number})
	d.handle(exchange.WorkersRead{Listing: order.Listing{Complete: true, Present: []order.Worker{workerEntry("w", 2000)}}})
	looks := effectsOf[exchange.Renew](d.handle(exchange.JobsLoaded{Epoch: 1, Records: []stream.Record{kept.WorkerRecord(workerEntry("w", 1000))}}))
	assert.Equal(t, len(looks), 1)
	next := effectsOf[exchange.Renew](d.handle(answeredBy(renewAnswer(looks[0]), 2000)))
	assert.Equal(t, len(next), 1)
	effects := d.persist(d.handle(renewAnswer(next[0])))
	assert.Equal(t, len(effectsOf[exchange.StartRun](append(effects, d.submitAndLog(oneStep("j", "quick", 1, false))...))), 1)
}

// A later holder is told by the log of a run on a silent worker, and by another worker of a
// later run of the same task.
func TestRunMovedToSuccessorYieldsToLaterRunOfItsTask(t *testing.T) {
	d := newHarness(t)
	fence := d.claimCell(time.Second)
	d.handle(exchange.AppendEnded{Purpose: exchange.ForJournal, Number: fence.Number})
	d.handle(exchange.WorkersRead{Listing: order.Listing{Complete: true, Present: []order.Worker{workerEntry("v", 1000), workerEntry("w", 2000)}}})
	s := oneStep("j", "quick", 1, false)
	run := order.Run{Task: job.TaskID{StepID: job.StepID{Job: "j"}}, Number: 3}
	later := run
	later.Number = 5
	records := []stream.Record{
		kept.Submission{Queue: config().Queues["quick"], Submission: s, Accepted: 1}.Record(),
		kept.UnresponsiveWorkerRecord(workerEntry("w", 1000), kept.UnresponsiveState{LeaseLeft: 5000, Runs: []order.Run{run}}), kept.WorkerRecord(workerEntry("v", 1000)),
	}
	for i := range records {
		records[i].Offset = int64(i)
	}
	looks := map[string]exchange.Renew{}
	for _, r := range effectsOf[exchange.Renew](d.handle(exchange.JobsLoaded{Epoch: 1, Records: records})) {
		looks[r.Worker.Name] = r
	}
	effects := d.handle(answeredBy(renewAnswer(looks["w"]), 2000))
	effects = append(effects, d.handle(renewAnswer(looks["v"], later))...)
	assert.Equal(t, len(effectsOf[exchange.StopRun](effects)), 0, "the later run goes on")
	assert.Equal(t, len(d.startsWithin(time.Second, looks)), 0, "and is the only one")
}

func TestLateAnswerOfOtherIncarnationReplacesCurrentOne(t *testing.T) {
	d, looks := newHolder(t, workerEntry("w", 1000))
	late := looks["w"]
	d.renewalTimesOut(late)
	effects := d.handle(answeredBy(renewAnswer(late), 400))
	next := effectsOf[exchange.Renew](effects)
	assert.Equal(t, len(next), 1)
	assert.Equal(t, next[0].Worker, order.Incarnation{Name: "w", BornUnixMilli: 400}, "the call was made while the other was known")
}
