// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"
	"saddlevane/models/stream"
	"saddlevane/services/jobrecords"

	"gotest.tools/v3/assert"
)

// maxListedEnds is how many ends the workers of these tests list in a report.
const maxListedEnds = 4

// newLimitedHarness returns a harness whose workers list maxListedEnds ends in a report.
func newLimitedHarness(t *testing.T) *harness {
	t.Helper()
	s := settings()
	s.MaxListedEnds = maxListedEnds
	return newHarnessWith(t, s)
}

// listingWorker simulates the only worker of a harness: it lists the first ends that are not
// acknowledged.
type listingWorker struct {
	d       *harness
	renewal exchange.Renew
	running []order.Run
	ended   []order.End
	// logDown leaves appends unanswered; pendingAppends are those.
	logDown        bool
	pendingAppends []exchange.Effect
	// starts counts the orders to start each run of a task.
	starts       map[job.TaskID]int
	acknowledged int64
}

// end ends all runs successfully.
func (l *listingWorker) end() {
	for _, r := range l.running {
		l.ended = append(l.ended, order.End{Number: int64(len(l.ended)) + 1, Run: r, Status: order.Done})
	}
	l.running = nil
}

// report returns the worker's answer to the pending renewal.
func (l *listingWorker) report() exchange.RenewEnded {
	e := renewAnswer(l.renewal, l.running...)
	rest := l.ended[l.acknowledged:]
	e.Report.Ended = rest[:min(maxListedEnds, len(rest))]
	return e
}

// run advances the time while the worker answers, starts what is ordered, and ends its runs after
// each round if endsRuns is set.
func (l *listingWorker) run(span time.Duration, endsRuns bool) {
	l.d.t.Helper()
	for end := l.d.now.Add(span); l.d.now.Before(end); {
		effects := l.d.advance(20 * time.Millisecond)
		l.d.confirmClaimRenewal(effects)
		if l.renewal.Renewal != 0 {
			answer := l.report()
			l.renewal = exchange.Renew{}
			effects = append(effects, l.d.handle(answer)...)
		}
		l.apply(effects)
		if endsRuns {
			l.end()
		}
	}
}

// apply carries out the effects, and those that follow them.
func (l *listingWorker) apply(effects []exchange.Effect) {
	l.d.t.Helper()
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		switch e := e.(type) {
		case exchange.Renew:
			l.renewal = e
			l.acknowledged = max(l.acknowledged, e.Order.Acknowledged)
		case exchange.StartRun:
			l.starts[e.Order.Task]++
			l.running = append(l.running, e.Order.Run)
			effects = append(effects, l.d.startSucceeds(e)...)
		case exchange.Append:
			if e.Purpose != exchange.ForJournal {
				continue
			}
			if l.logDown {
				l.pendingAppends = append(l.pendingAppends, e)
				continue
			}
			effects = append(effects, l.d.handle(exchange.AppendEnded{Purpose: e.Purpose, Number: e.Number})...)
		}
	}
}

// logReturns answers the appends that were made while the log was down.
func (l *listingWorker) logReturns() {
	l.logDown = false
	pending := l.pendingAppends
	l.pendingAppends = nil
	l.apply(pending)
}

// requireEachStarted fails the test unless each of the tasks of job j was started as often as
// wanted and the job has succeeded.
func (l *listingWorker) requireEachStarted(tasks, times int) {
	l.d.t.Helper()
	for i := range tasks {
		if n := l.starts[job.TaskID{StepID: job.StepID{Job: "j"}, Index: i}]; n != times {
			l.d.t.Errorf("task %d was started %d times, want %d", i, n, times)
		}
	}
	state := l.d.handle(exchange.StateAsked{Call: 9, Job: "j"})
	assert.Equal(l.d.t, effectsOf[exchange.Reply](state)[0].Answer.State, job.Succeeded)
}

// While the log is away, more runs end on a worker than a report lists. Those that it does not list
// have ended as well and must not be started again.
func TestTaskWhoseEndIsBeyondTheListIsNotStartedAgain(t *testing.T) {
	d, renewals := newHolderOn(newLimitedHarness(t), workerEntry("w", 1000))
	l := &listingWorker{d: d, renewal: renewals["w"], starts: map[job.TaskID]int{}}
	s := oneStep("j", "quick", 12, false)
	s.Steps[0].Need = resource.Vector{Processors: 32 * resource.Processor, Memory: 8 * resource.GiB}
	l.apply(d.submitAndLog(s))
	l.logDown = true
	l.run(3*time.Second, true)
	l.logReturns()
	l.run(5*time.Second, true)
	l.requireEachStarted(12, 1)
}

// inheritedEnds returns a harness whose core has taken the cell over, with the only worker on which
// all 12 tasks of a job have ended under an earlier holder.
func inheritedEnds(t *testing.T, workerRecord func(order.Worker, []order.Run) stream.Record) *listingWorker {
	t.Helper()
	s := oneStep("j", "quick", 12, false)
	l := &listingWorker{starts: map[job.TaskID]int{}}
	for i := range 12 {
		l.running = append(l.running, order.Run{Task: job.TaskID{StepID: job.StepID{Job: "j"}, Index: i}, Number: 3})
	}
	record := workerRecord(workerEntry("w", 1000), l.running)
	l.end()
	d, renewals := newSuccessorOn(newLimitedHarness(t), []stream.Record{logged(s), record}, workerEntry("w", 1000))
	l.d, l.renewal = d, renewals["w"]
	return l
}

// A new holder must not take a worker's first report for the whole when it lists as many ends as a
// report can hold.
func TestNewHolderWaitsForEndsBeyondTheList(t *testing.T) {
	l := inheritedEnds(t, func(w order.Worker, _ []order.Run) stream.Record { return jobrecords.WorkerRecord(w) })
	l.run(3*time.Second, false)
	l.requireEachStarted(12, 0)
}

// The new holder knows the runs from the log's record of a worker that did not answer. Runs that no
// report names must not keep it from acknowledging ends for ever, since the worker lists no others
// before that.
func TestRecordedRunsBeyondTheListDoNotBlockAcknowledgements(t *testing.T) {
	l := inheritedEnds(t, func(w order.Worker, runs []order.Run) stream.Record {
		return jobrecords.UnresponsiveWorkerRecord(w, jobrecords.UnresponsiveState{LeaseLeft: 6000, Runs: runs})
	})
	l.run(40*time.Second, false)
	l.requireEachStarted(12, 0)
}

// The log is away twice while many short tasks end. No worker fails or restarts, so each task must be
// started exactly once, also across a takeover.
func TestEachTaskStartsOnceWhileMoreEndThanAReportLists(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		w := newWorld(t, 61, 3, 3)
		w.maxListedEnds, w.noRandomFailures = 20, true
		for _, b := range w.boxes {
			b.start()
		}
		w.waitUntilServing()
		for i := range 60 {
			s := oneStep(fmt.Sprint("j", i), "quick", 8, false)
			s.Steps[0].Estimate = 100
			w.submit(s)
		}
		for range 2 {
			w.run(300 * time.Millisecond)
			w.dropsJournalAppends = true
			w.run(1200 * time.Millisecond)
			if b := w.holder(); takeover && b != nil {
				b.kill()
				w.after(2*time.Second, b.start)
			}
			w.dropsJournalAppends = false
		}
		w.waitUntil(60*time.Second, "the jobs have ended", w.allEnded)
		w.requireNoViolations()
		for task, n := range w.starts {
			if n != 1 {
				t.Errorf("takeover %v: %v was started %d times", takeover, task, n)
			}
		}
	}
}
