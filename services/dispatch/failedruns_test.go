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

// failingWorkers are two workers on which each run of a first task fails, and all others are stopped.
type failingWorkers struct {
	*harness
	renewals map[string]exchange.Renew
	ends     int64
}

// newFailingWorkers returns the workers of a holder whose queue "quick" has a number of attempts.
func newFailingWorkers(t *testing.T, attempts int) *failingWorkers {
	t.Helper()
	d, renewals := newHolder(t,
		order.Worker{Incarnation: order.Incarnation{Name: "v"}, Address: "v", Pool: pool, Capacity: workerCapacity},
		order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	c := config()
	q := c.Queues["quick"]
	q.Attempts = attempts
	c.Queues["quick"] = q
	c.Version++
	d.handle(exchange.ConfigRead{Config: c})
	return &failingWorkers{harness: d, renewals: renewals}
}

// runToEnd submits a job and returns the line about its end.
func (f *failingWorkers) runToEnd(s job.Submission) exchange.LogEvent {
	f.t.Helper()
	effects := f.submitAndLog(s)
	for range 1000 {
		for _, e := range effectsOf[exchange.LogEvent](effects) {
			if e.Message == "job ended" {
				return e
			}
		}
		effects = append(f.endRuns(effects), f.advance(20*time.Millisecond)...)
		f.confirmClaimRenewal(effects)
		effects = append(effects, f.confirmAnyAppend(effects)...)
	}
	f.t.Fatal("the end of the job is not logged")
	return exchange.LogEvent{}
}

// endRuns confirms the starts among some effects, reports the ends of their runs and returns the effects.
func (f *failingWorkers) endRuns(effects []exchange.Effect) []exchange.Effect {
	ends := map[string][]order.End{}
	for _, s := range effectsOf[exchange.StartRun](effects) {
		f.handle(exchange.StartEnded{Worker: s.Worker, Epoch: 1, Run: s.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
		status := order.Stopped
		if s.Order.Run.Task.Index == 0 {
			status = order.Failed
		}
		f.ends++
		ends[s.Worker.Name] = append(ends[s.Worker.Name], order.End{Number: f.ends, Run: s.Order.Run, Status: status})
	}
	var after []exchange.Effect
	for _, name := range []string{"v", "w"} {
		answer := renewAnswer(f.renewals[name])
		answer.Report.Ended = ends[name]
		answered := f.handle(answer)
		for _, r := range effectsOf[exchange.Renew](answered) {
			f.renewals[r.Worker.Name] = r
		}
		after = append(after, answered...)
	}
	return after
}

// fieldsOf returns the fields of a log line by name.
func fieldsOf(e exchange.LogEvent) map[string]any {
	fields := map[string]any{}
	for _, f := range e.Fields {
		fields[f.Name] = f.Value
	}
	return fields
}

// TestFailedJobNamesTaskAndRunsThatCounted guards the line from which operators learn why a job is shown
// as failed. It said 'a task failed too often', and neither which task nor which of its runs.
func TestFailedJobNamesTaskAndRunsThatCounted(t *testing.T) {
	for _, tt := range []struct {
		name     string
		attempts int
		job      job.Submission
		want     string
	}{
		{"task", 2, oneStep("j", "quick", 1, false), "task j.0.0.0 failed 2 times (2 allowed), in runs 1000000000, 1000000001"},
		{"once", 1, oneStep("j", "quick", 1, false), "task j.0.0.0 failed 1 times (1 allowed), in runs 1000000000"},
		{"many runs", 6, oneStep("j", "quick", 1, false), "task j.0.0.0 failed 6 times (6 allowed), last in runs 1000000003, 1000000004, 1000000005"},
		{"gang", 2, oneStep("j", "quick", 2, true), "gang j.0.0 failed 2 times (2 allowed), in runs 1000000000, 1000000001"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			line := newFailingWorkers(t, tt.attempts).runToEnd(tt.job)
			assert.Check(t, line.Warning, "the line is no warning")
			fields := fieldsOf(line)
			assert.Equal(t, fields["outcome"], "failed")
			assert.Equal(t, fields["reason"], tt.want)
		})
	}
}
