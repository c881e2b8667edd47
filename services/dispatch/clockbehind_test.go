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

// newSuccessor returns a harness whose core has taken the cell over from an earlier holder that left
// records, with some listed workers, and the pending renewal of each worker by name.
func newSuccessor(t *testing.T, records []stream.Record, workers ...order.Worker) (*harness, map[string]exchange.Renew) {
	t.Helper()
	return newSuccessorOn(newHarness(t), records, workers...)
}

// newSuccessorOn returns what newSuccessor does for the harness d.
func newSuccessorOn(d *harness, records []stream.Record, workers ...order.Worker) (*harness, map[string]exchange.Renew) {
	d.t.Helper()
	fence := d.claimCell(time.Second)
	d.handle(exchange.AppendEnded{Purpose: exchange.ForJournal, Number: fence.Number})
	d.handle(exchange.WorkersRead{Listing: order.Listing{Complete: true, Present: workers}})
	for i := range records {
		records[i].Offset = int64(i)
	}
	renewals := map[string]exchange.Renew{}
	for _, r := range effectsOf[exchange.Renew](d.handle(exchange.JobsLoaded{Epoch: 1, Records: records})) {
		renewals[r.Worker.Name] = r
	}
	return d, renewals
}

// logged returns the record of an accepted job.
func logged(s job.Submission) stream.Record {
	return jobrecords.Submission{Queue: config().Queues[s.Queue], Submission: s, Accepted: 1}.Record()
}

// dueAfter returns a job with one instance that falls due after some time by the clock of the
// harness, and the run of its only task that an earlier holder has started.
func dueAfter(wait time.Duration) (job.Submission, order.Run) {
	s := oneStep("j", "quick", 1, false)
	s.Repeat = job.Repeat{Times: 1, FirstUnixMilli: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).Add(wait).UnixMilli(), Interval: 1000}
	return s, order.Run{Task: job.TaskID{StepID: job.StepID{Job: "j"}}, Number: 3}
}

// ticksUntilDue advances the time by 5 s while appends succeed and the worker's renewals are answered
// with the runs, and returns all effects.
func (d *harness) ticksUntilDue(renewals map[string]exchange.Renew, running map[string][]order.Run) (all []exchange.Effect) {
	d.t.Helper()
	for end := d.now.Add(5 * time.Second); d.now.Before(end); {
		effects := d.runFor(20*time.Millisecond, renewals, running)
		effects = append(effects, d.confirmAnyAppend(effects)...)
		all = append(all, effects...)
	}
	return all
}

// The holder's clock is behind that of the earlier holder, which has started an instance and logged
// nothing of it. The end of its task must not be acknowledged without effect.
func TestDoneTaskOfInstanceNotDueYetIsNotStartedAgain(t *testing.T) {
	s, run := dueAfter(3 * time.Second)
	d, renewals := newSuccessor(t, []stream.Record{logged(s), jobrecords.WorkerRecord(workerEntry("w", 1000))}, workerEntry("w", 1000))
	effects := d.handle(doneAnswer(renewals["w"], run))
	for _, r := range effectsOf[exchange.Renew](effects) {
		renewals["w"] = r
	}
	effects = append(effects, d.confirmAnyAppend(effects)...)
	effects = append(effects, d.ticksUntilDue(renewals, nil)...)
	for _, start := range effectsOf[exchange.StartRun](effects) {
		t.Errorf("%v starts again as run %d after its end was reported", start.Order.Task, start.Order.Number)
	}
	state := d.handle(exchange.StateAsked{Call: 9, Job: "j"})
	assert.Equal(t, effectsOf[exchange.Reply](state)[0].Answer.State, job.Succeeded)
}

func TestRunOfInstanceNotDueYetIsNotStopped(t *testing.T) {
	s, run := dueAfter(3 * time.Second)
	d, renewals := newSuccessor(t, []stream.Record{logged(s), jobrecords.WorkerRecord(workerEntry("w", 1000))}, workerEntry("w", 1000))
	effects := d.handle(renewAnswer(renewals["w"], run))
	for _, r := range effectsOf[exchange.Renew](effects) {
		renewals["w"] = r
	}
	effects = append(effects, d.ticksUntilDue(renewals, map[string][]order.Run{"w": {run}})...)
	assert.Equal(t, len(effectsOf[exchange.StopRun](effects)), 0)
	assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 0)
}

// The earlier holder has recorded that the run may be active on a worker that does not answer.
func TestRunOfInstanceNotDueYetOnUnresponsiveWorkerIsNotStartedElsewhere(t *testing.T) {
	s, run := dueAfter(3 * time.Second)
	d, renewals := newSuccessor(t, []stream.Record{
		logged(s), jobrecords.WorkerRecord(workerEntry("v", 1000)),
		jobrecords.UnresponsiveWorkerRecord(workerEntry("w", 1000), jobrecords.UnresponsiveState{LeaseLeft: 6000, Runs: []order.Run{run}}),
	}, workerEntry("v", 1000), workerEntry("w", 1000))
	delete(renewals, "w")
	assert.Equal(t, len(effectsOf[exchange.StartRun](d.ticksUntilDue(renewals, nil))), 0)
}
