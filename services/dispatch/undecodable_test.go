// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/services/jobrecords"

	"gotest.tools/v3/assert"
)

// undecodable returns the record of an accepted job that only another release can decode.
func undecodable(id string) stream.Record {
	return stream.Record{Key: "s/" + id, Value: []byte(`{"job":{"id":"` + id + `","steps":"later format"}}`)}
}

// firstRun returns a run of the first task of a job.
func firstRun(id job.ID) order.Run {
	return order.Run{Task: job.TaskID{StepID: job.StepID{Job: id}}, Number: 3}
}

// appended returns the records that are appended to the stream of jobs by some effects.
func appended(effects []exchange.Effect) (all []stream.Record) {
	for _, a := range effectsOf[exchange.Append](effects) {
		if a.Purpose == exchange.ForJournal {
			all = append(all, a.Append.Records...)
		}
	}
	return all
}

// acknowledged returns the highest number of an end that some effects acknowledge.
func acknowledged(effects []exchange.Effect) (number int64) {
	for _, r := range effectsOf[exchange.Renew](effects) {
		number = max(number, r.Order.Acknowledged)
	}
	return number
}

// An end of a job whose record this release cannot decode is acknowledged only once the log has it, and
// a release that can decode the job applies it.
func TestDoneTaskOfUndecodableJobIsNotStartedAgain(t *testing.T) {
	d, renewals := newSuccessor(t, []stream.Record{undecodable("j"), jobrecords.WorkerRecord(workerEntry("w", 1000))}, workerEntry("w", 1000))
	effects := d.handle(doneAnswer(renewals["w"], firstRun("j")))
	effects = append(effects, d.advance(20*time.Millisecond)...)
	assert.Equal(t, acknowledged(effects), int64(0), "the log does not have the end yet")
	kept := appended(effects)
	d.confirmAnyAppend(effects)
	assert.Equal(t, acknowledged(d.advance(500*time.Millisecond)), int64(1), "later ends of the worker must not wait for ever")

	s := oneStep("j", "quick", 2, false)
	records := append([]stream.Record{logged(s)}, kept...)
	d, renewals = newSuccessor(t, append(records, jobrecords.WorkerRecord(workerEntry("w", 1000))), workerEntry("w", 1000))
	starts := d.startsWithin(time.Second, renewals)
	assert.Check(t, len(starts) > 0)
	for _, start := range starts {
		assert.Equal(t, start.Order.Task.Index, 1, "only the other task may be started")
	}
	end := renewAnswer(renewals["w"])
	end.Report.Ended = []order.End{{Number: 2, Run: starts[0].Order.Run, Status: order.Done}}
	effects = d.handle(end)
	effects = append(effects, d.advance(20*time.Millisecond)...)
	dropped := slices.ContainsFunc(appended(effects), func(r stream.Record) bool { return strings.HasPrefix(r.Key, "e/") && r.IsTombstone() })
	assert.Check(t, dropped, "the record of the end is dropped with the job")
}

func TestRunOfUndecodableJobIsNotStopped(t *testing.T) {
	d, renewals := newSuccessor(t, []stream.Record{undecodable("j"), jobrecords.WorkerRecord(workerEntry("w", 1000))}, workerEntry("w", 1000))
	effects := d.handle(renewAnswer(renewals["w"], firstRun("j")))
	for _, r := range effectsOf[exchange.Renew](effects) {
		renewals["w"] = r
	}
	effects = append(effects, d.ticksUntilDue(renewals, map[string][]order.Run{"w": {firstRun("j")}})...)
	assert.Equal(t, len(effectsOf[exchange.StopRun](effects)), 0)
	// What the run uses is not known.
	assert.Equal(t, len(effectsOf[exchange.StartRun](append(effects, d.submitAndLog(oneStep("k", "quick", 1, false))...))), 0)
}

// The next holder may be able to decode the job, and must know then what may still run.
func TestRecordedRunOfUndecodableJobStaysRecorded(t *testing.T) {
	d, renewals := newSuccessor(t, []stream.Record{
		undecodable("j"),
		jobrecords.UnresponsiveWorkerRecord(workerEntry("w", 1000), jobrecords.UnresponsiveState{LeaseLeft: 6000, Runs: []order.Run{firstRun("j")}}),
	}, workerEntry("w", 1000))
	var records []stream.Record
	renewal := renewals["w"]
	for end := d.now.Add(4 * time.Second); d.now.Before(end); {
		effects := d.handle(exchange.RenewEnded{Worker: renewal.Worker, Epoch: renewal.Epoch, Renewal: renewal.Renewal, Answer: order.Answer{Outcome: order.Unknown}})
		effects = append(effects, d.advance(200*time.Millisecond)...)
		d.confirmClaimRenewal(effects)
		d.confirmAnyAppend(effects)
		records = append(records, appended(effects)...)
		for _, r := range effectsOf[exchange.Renew](effects) {
			renewal = r
		}
	}
	state := jobrecords.Decode(records)
	assert.Equal(t, len(state.Workers), 1)
	assert.Assert(t, state.Workers[0].Unresponsive != nil)
	assert.DeepEqual(t, state.Workers[0].Unresponsive.Runs, []order.Run{firstRun("j")})
}

// A job that the log has is neither replaced by a repeated submission nor said not to exist.
func TestUndecodableJobIsNeitherReplacedNorDenied(t *testing.T) {
	for _, record := range []stream.Record{undecodable("j"), {Key: "p/j", Value: []byte("{")}} {
		d, _ := newSuccessor(t, []stream.Record{record})
		effects := d.handle(exchange.Submitted{Call: 1, Submission: oneStep("j", "quick", 1, false)})
		assert.Equal(t, len(appended(append(effects, d.advance(20*time.Millisecond)...))), 0)
		assert.Equal(t, effectsOf[exchange.Reply](effects)[0].Answer.Outcome, exchange.MaybeDone)
		for _, e := range []exchange.Event{exchange.StateAsked{Call: 2, Job: "j"}, exchange.CancelAsked{Call: 3, Job: "j"}} {
			assert.Equal(t, effectsOf[exchange.Reply](d.handle(e))[0].Answer.Outcome, exchange.Unavailable)
		}
	}
}

// The record of a worker cannot be decoded, so that what an earlier holder has started there is known
// only once the worker reports or its lease has expired.
func TestTaskThatMayRunOnWorkerWithUndecodableRecordIsNotStarted(t *testing.T) {
	for _, listed := range []bool{true, false} {
		workers := []order.Worker{workerEntry("v", 1000)}
		if listed {
			workers = append(workers, workerEntry("w", 1000))
		}
		d, renewals := newSuccessor(t, []stream.Record{
			logged(oneStep("j", "quick", 1, false)), jobrecords.WorkerRecord(workerEntry("v", 1000)), {Key: "w/w", Value: []byte(`{"Pool":7}`)},
		}, workers...)
		silent := renewals["w"]
		delete(renewals, "w")
		assert.Equal(t, len(d.startsWithin(lease/2, renewals)), 0, "listed: %v", listed)
		if listed {
			d.handle(exchange.RenewEnded{Worker: silent.Worker, Epoch: silent.Epoch, Renewal: silent.Renewal, Answer: order.Answer{Outcome: order.Unknown}})
		}
		assert.Equal(t, len(d.startsWithin(lease, renewals)), 1, "listed: %v", listed)
	}
}

func TestRunOnWorkerWithUndecodableRecordIsAdopted(t *testing.T) {
	d, renewals := newSuccessor(t, []stream.Record{logged(oneStep("j", "quick", 1, false)), {Key: "w/w", Value: []byte(`{"Pool":7}`)}}, workerEntry("w", 1000))
	effects := d.handle(renewAnswer(renewals["w"], firstRun("j")))
	state := jobrecords.Decode(appended(append(effects, d.advance(20*time.Millisecond)...)))
	assert.Equal(t, len(state.Workers), 1, "the worker has reported, so its record can be replaced")
	assert.Equal(t, len(effectsOf[exchange.StopRun](effects))+len(effectsOf[exchange.StartRun](effects)), 0)
}
