// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
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

// wholeWorkerJob returns a job of one task that needs the whole capacity of a worker and is
// estimated to run for 4 s. It is on time if it ends within 6.25 s, and it writes checkpoints.
func wholeWorkerJob(id string) job.Submission {
	s := oneStep(id, "quick", 1, false)
	s.Steps[0].Need = workerCapacity
	s.Steps[0].Estimate = 4000
	s.Steps[0].Checkpoints = true
	return s
}

// runningTask is a harness with one worker on which one task runs.
type runningTask struct {
	*harness
	renewal exchange.Renew
	run     order.Run
}

// newRunningTask starts the task of a job on the only worker and confirms the start.
func newRunningTask(t *testing.T, s job.Submission) *runningTask {
	t.Helper()
	return newRunningTaskOn(newHarness(t), s)
}

// newRunningTaskOn does the same as newRunningTask for the harness d.
func newRunningTaskOn(d *harness, s job.Submission) *runningTask {
	d.t.Helper()
	d, renewals := newHolderOn(d, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	start := effectsOf[exchange.StartRun](d.submitAndLog(s))[0]
	d.handle(exchange.StartEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: start.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
	return &runningTask{harness: d, renewal: renewals["w"], run: start.Order.Run}
}

// advanceWithProgress advances the time, after which the worker reports the task's progress in
// percent, and returns the effects of the report.
func (w *runningTask) advanceWithProgress(passed time.Duration, progress int) []exchange.Effect {
	for end := w.now.Add(passed); w.now.Before(end); {
		effects := w.advance(100 * time.Millisecond)
		w.confirmClaimRenewal(effects)
		w.confirmAnyAppend(effects)
	}
	answer := renewAnswer(w.renewal)
	answer.Report.Running = []order.Running{{Run: w.run, Progress: progress}}
	effects := w.handle(answer)
	for _, r := range effectsOf[exchange.Renew](effects) {
		w.renewal = r
	}
	return effects
}

// submitCompetitor submits another job that needs the whole worker and returns the stop orders.
func (w *runningTask) submitCompetitor(id string) []exchange.StopRun {
	effects := w.confirmAnyAppend(w.handle(exchange.Submitted{Call: 2, Submission: wholeWorkerJob(id)}))
	for range 3 {
		effects = append(effects, w.advance(100*time.Millisecond)...)
		effects = append(effects, w.confirmAnyAppend(effects)...)
	}
	return effectsOf[exchange.StopRun](effects)
}

func TestStepAboutToEndOnTimeIsNotPreempted(t *testing.T) {
	w := newRunningTask(t, wholeWorkerJob("j"))
	for i := range 8 {
		w.advanceWithProgress(400*time.Millisecond, 10*(i+1))
	}
	// After 3.2 s a fifth of the work is left. If the task were started again, it would be late.
	assert.Equal(t, len(w.submitCompetitor("k")), 0)
}

func TestLateStepIsPreemptedForOnTimeStep(t *testing.T) {
	w := newRunningTask(t, wholeWorkerJob("j"))
	for i := range 8 {
		w.advanceWithProgress(400*time.Millisecond, 3*(i+1))
	}
	// At this speed the task ends in 10 s.
	stops := w.submitCompetitor("k")
	assert.Check(t, len(stops) > 0 && stops[0].Order.Run == w.run, "%v", stops)
}

func TestTaskAboutToEndIsNotPreempted(t *testing.T) {
	w := newRunningTask(t, wholeWorkerJob("j"))
	for i := range 24 {
		w.advanceWithProgress(400*time.Millisecond, 4*(i+1))
	}
	// The task is late and ends within 0.4 s, so a stop would not free its capacity any sooner.
	assert.Equal(t, len(w.submitCompetitor("k")), 0)
}

// runToEnd lets the task of w run for 8 s, ends it, and returns the fields of the line about the job's end.
func (w *runningTask) runToEnd() map[string]any {
	w.t.Helper()
	for i := range 10 {
		w.advanceWithProgress(800*time.Millisecond, 9*(i+1))
	}
	done := renewAnswer(w.renewal)
	done.Report.Ended = []order.End{{Number: 1, Run: w.run, Status: order.Done}}
	for _, n := range effectsOf[exchange.LogEvent](w.handle(done)) {
		if n.Message != "job ended" {
			continue
		}
		fields := map[string]any{}
		for _, f := range n.Fields {
			fields[f.Name] = f.Value
		}
		return fields
	}
	w.t.Fatal("the end of the job is not logged")
	return nil
}

func TestJobWhoseOwnWorkIsLongIsNotLoggedAsLate(t *testing.T) {
	fields := newRunningTask(t, wholeWorkerJob("j")).runToEnd()
	// The work is 8 s and not 4 s as estimated, so the objective is 12 s.
	assert.Equal(t, fields["late"], false)
	assert.Check(t, !strings.Contains(fmt.Sprint(fields["delays"]), "slow run"), "%v", fields["delays"])
	objective, err := time.ParseDuration(fmt.Sprint(fields["objective"]))
	assert.NilError(t, err)
	assert.Check(t, objective > 12*time.Second && objective < 13*time.Second, "%v", objective)
}

func TestJobThatIsLateOnSlowWorkerLogsItsDelays(t *testing.T) {
	d := newHarness(t)
	// The mean of both workers is 3 times as fast as w.
	d.records = []stream.Record{jobrecords.SpeedsRecord(map[string][2]int{"w": {-1100, 0}, "other": {1100, 0}})}
	fields := newRunningTaskOn(d, wholeWorkerJob("j")).runToEnd()
	// The work is 8 s divided by 3, and the objective is 4.3 s.
	assert.Equal(t, fields["late"], true)
	assert.Check(t, strings.Contains(fmt.Sprint(fields["delays"]), "slow run:5."), "%v", fields["delays"])
	objective, err := time.ParseDuration(fmt.Sprint(fields["objective"]))
	assert.NilError(t, err)
	assert.Check(t, objective > 4*time.Second && objective < 4500*time.Millisecond, "%v", objective)
}

func TestLongRunIsNotTreatedAsStalled(t *testing.T) {
	w := newRunningTask(t, wholeWorkerJob("j"))
	var stops []exchange.StopRun
	for i := range 30 {
		// One percent takes 0.8 s, so the whole run takes 80 s.
		stops = append(stops, effectsOf[exchange.StopRun](w.advanceWithProgress(400*time.Millisecond, (i+1)/2))...)
	}
	assert.Equal(t, len(stops), 0)
}

func TestRunWithoutProgressIsStopped(t *testing.T) {
	w := newRunningTask(t, wholeWorkerJob("j"))
	var stops []exchange.StopRun
	for i := range 8 {
		stops = append(stops, effectsOf[exchange.StopRun](w.advanceWithProgress(400*time.Millisecond, min(20, 10*(i+1))))...)
	}
	assert.Check(t, len(stops) > 0)
}
