// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"

	"gotest.tools/v3/assert"
)

// loss is a way in which a box is lost.
type loss string

const (
	// killed boxes start again after a second, restarted ones at once.
	killed    loss = "killed"
	restarted loss = "restarted"
	// paused boxes go on after some seconds, cut off ones reach neither the log nor other boxes meanwhile.
	paused loss = "paused"
	cutOff loss = "cut off"
	// stopped boxes hand the cell over in a planned stop, and start again.
	stopped loss = "stopped"
)

// abruptLosses are the ways in which a box is lost without handing the cell over.
var abruptLosses = []loss{killed, restarted, paused, cutOff}

// lossDuration is how long a box is paused or cut off.
const lossDuration = 4 * time.Second

// lose makes the world lose a box.
func (w *world) lose(b *fakeBox, how loss) {
	switch how {
	case killed:
		w.killBox(b, time.Second)
	case restarted:
		w.killBox(b, 10*time.Millisecond)
	case paused:
		b.pausedUntil = w.now.Add(lossDuration)
	case cutOff:
		b.logUnreachable, b.peersUnreachable = true, true
		w.after(lossDuration, func() { b.logUnreachable, b.peersUnreachable = false, false })
	case stopped:
		b.post(exchange.Stop{})
		w.after(settings().StopGrace+time.Second, func() { w.killBox(b, 10*time.Millisecond) })
	}
}

// loseHolder makes the world lose the box that holds the cell, and reports whether there is one.
func (w *world) loseHolder(how loss) bool {
	h := w.holder()
	if h != nil {
		w.lose(h, how)
	}
	return h != nil
}

// newWorldWithLongRun returns a world in which one worker has a run that outlives several leases, and that worker.
func newWorldWithLongRun(t *testing.T) (*world, *fakeWorker) {
	w := newServingWorld(t, 1, 3, 4)
	w.noRandomFailures = true
	w.submit(longJob("long", 1))
	w.waitUntil(2*time.Second, "the task runs", func() bool { return w.runningCount("long") == 1 })
	for _, f := range w.workers {
		if len(f.runs) > 0 {
			return w, f
		}
	}
	w.fatalf("no worker has the run")
	return nil, nil
}

// answerDuringLogOutage takes the log away, makes a worker reachable for a while, and loses the holder. Then the log
// is back, and the worker is not.
func (w *world) answerDuringLogOutage(f *fakeWorker, answering time.Duration, how loss) {
	w.t.Helper()
	w.logDown = true
	w.run(200 * time.Millisecond)
	f.unreachable = false
	w.run(answering)
	f.unreachable = true
	w.run(100 * time.Millisecond)
	assert.Assert(w.t, w.loseHolder(how))
	w.run(300 * time.Millisecond)
	w.logDown = false
}

// A task ran twice: its worker had not answered for most of its lease, answered again while the log was away, and
// was lost again with the holder. The holder had extended the lease, the next one read from the log that it was short.
func TestTaskIsNotStartedTwiceAfterSilentWorkerAnsweredDuringLogOutage(t *testing.T) {
	for _, how := range abruptLosses {
		t.Run(string(how), func(t *testing.T) {
			w, f := newWorldWithLongRun(t)
			f.unreachable = true
			w.run(4800 * time.Millisecond)
			w.answerDuringLogOutage(f, 1300*time.Millisecond, how)
			w.runChecked(60)
		})
	}
}

// The worker answers again under a second holder, which is lost too before the log names the worker as answering.
func TestTaskIsNotStartedTwiceAfterSilentWorkerAnsweredSecondHolder(t *testing.T) {
	for _, how := range abruptLosses {
		t.Run(string(how), func(t *testing.T) {
			w, f := newWorldWithLongRun(t)
			f.unreachable = true
			w.run(4500 * time.Millisecond)
			assert.Assert(t, w.loseHolder(restarted))
			w.waitUntil(time.Second, "the second holder serves the cell", func() bool { return w.holder() != nil && w.holder().core.Holder().Epoch == 2 })
			w.run(100 * time.Millisecond)
			w.answerDuringLogOutage(f, 700*time.Millisecond, how)
			w.runChecked(60)
		})
	}
}

// Runs lapsed on a worker that answered: a lease is extended while the log is away, whatever the log says of its worker.
func TestRunOfWorkerThatAnswersAgainLastsThroughLogOutage(t *testing.T) {
	for _, silence := range []time.Duration{2 * time.Second, 3500 * time.Millisecond, 5 * time.Second, 5600 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			w, f := newWorldWithLongRun(t)
			f.unreachable = true
			w.run(silence - 200*time.Millisecond)
			w.logDown = true
			w.run(200 * time.Millisecond)
			f.unreachable = false
			w.run(9 * time.Second)
			w.logDown = false
			w.runChecked(15)
			assert.Equal(t, w.starts[job.TaskID{StepID: job.StepID{Job: "long"}}], 1)
			assert.Equal(t, len(f.runs), 1, "%s has lost its run, its lease lapsed %v ago", f.name, w.now.Sub(f.lapsedAt))
		})
	}
}

// A holder records how long the lease of a lost worker can last, so that a takeover does not begin the wait for it
// anew. Tasks start again within a lease and the interval of these records after the worker was last reached.
func TestTakeoverDoesNotBeginWaitForLostWorkerAnew(t *testing.T) {
	const (
		longestLease   = 6330 * time.Millisecond
		recordInterval = 2 * time.Second
		takeover       = 300 * time.Millisecond
	)
	for silence := 1500 * time.Millisecond; silence <= 6*time.Second; silence += 500 * time.Millisecond {
		w, f := newWorldWithLongRun(t)
		f.unreachable = true
		lostAt := w.now
		w.run(silence)
		assert.Assert(t, w.loseHolder(restarted))
		w.waitUntil(15*time.Second, "the task runs elsewhere", func() bool { return w.starts[job.TaskID{StepID: job.StepID{Job: "long"}}] == 2 })
		waited := w.now.Sub(lostAt)
		assert.Check(t, waited <= longestLease+recordInterval+takeover, "holder lost %v after the worker: started again after %v", silence, waited)
		w.requireNoViolations()
	}
}

// Half of the workers are out of reach for most of a lease, answer again while the log is away, and are out of reach
// again when the holder is lost, twice in a row. Their tasks take longer than a lease. No task may run twice.
func TestNoTaskRunsTwiceWhenWorkersAnswerDuringLogOutage(t *testing.T) {
	count, first := worldRange(t, "SADDLEVANE_RETURNS", 4, 920_000)
	for _, how := range append(abruptLosses, stopped) {
		for seed := first; seed < first+count; seed++ {
			t.Run(fmt.Sprintf("%s/%d", how, seed), func(t *testing.T) {
				t.Parallel()
				w := newServingWorld(t, seed, 3, 10)
				w.submitTasksLongerThanLease()
				w.after(w.between(3000, 5000), func() { w.loseReturningWorkers(how) })
				w.after(w.between(12000, 18000), func() { w.loseReturningWorkers(how) })
				w.runChecked(200)
				w.runUntilEnded()
			})
		}
	}
}

// between returns a random time between two numbers of milliseconds.
func (w *world) between(least, most int) time.Duration {
	return time.Duration(least+w.rng.Intn(most-least+1)) * time.Millisecond
}

// submitTasksLongerThanLease submits jobs over 10 s whose tasks take 8 to 28 s.
func (w *world) submitTasksLongerThanLease() {
	for i := range 12 {
		s := oneStep(fmt.Sprintf("job%d", i), "quick", 1+w.rng.Intn(5), w.rng.Intn(3) == 0)
		s.Steps[0].Estimate = job.Milliseconds(16000 + w.rng.Intn(3000))
		s.Steps[0].Checkpoints = w.rng.Intn(2) == 0
		w.after(w.between(0, 10000), func() { w.submit(s) })
	}
}

// failLog makes the log fail in one of several ways: it is away for all boxes or for the holder alone, or it answers no
// appends to the stream of jobs and makes none, or half of them late. It returns a function that ends the fault.
func (w *world) failLog() (end func()) {
	h := w.holder()
	switch n := w.rng.Intn(5); {
	case n == 0 && h != nil:
		h.logUnreachable = true
		return func() { h.logUnreachable = false }
	case n == 1:
		w.dropsJournalAppends = true
		return func() { w.dropsJournalAppends = false }
	case n == 2:
		w.unansweredAppendShare = 1
		return func() { w.unansweredAppendShare = 0 }
	default:
		w.logDown = true
		return func() { w.logDown = false }
	}
}

// loseReturningWorkers makes half of the workers unreachable, reachable for a moment while the log fails, and
// unreachable again. Then the holder is lost.
func (w *world) loseReturningWorkers(how loss) {
	lost := w.workers[:len(w.workers)/2]
	setUnreachable := func(unreachable bool) {
		for _, f := range lost {
			f.unreachable = unreachable
		}
	}
	silence, answering := w.between(3000, 6000), w.between(300, 1500)
	setUnreachable(true)
	w.after(silence-w.between(50, 400), func() {
		w.after(answering+w.between(800, 2400), w.failLog())
	})
	w.after(silence, func() { setUnreachable(false) })
	w.after(silence+answering, func() { setUnreachable(true) })
	w.after(silence+answering+w.between(0, 300), func() { w.loseHolder(how) })
	w.after(silence+answering+w.between(3000, 9000), func() { setUnreachable(false) })
}
