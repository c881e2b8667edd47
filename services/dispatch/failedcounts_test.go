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

// The tests of this file check which ends of runs count towards the number of failures after which a job is shown
// as failed.

// firstTask is the task of job j that the tests fail.
var firstTask = job.TaskID{StepID: job.StepID{Job: "j"}}

// newFailingCell returns a cell with workers whose runs end only when a test ends them, and on which all tasks of job j
// run.
func newFailingCell(t *testing.T, s job.Submission, workers ...string) *deliveryCell {
	t.Helper()
	c := newDeliveryCell(t, workers...)
	for _, w := range c.workers {
		w.runTime = time.Hour
	}
	c.submitJob(s)
	c.runUntil(2*time.Second, "all tasks run", func() bool { return len(c.starts) == s.Steps[0].Tasks })
	return c
}

// stateOf returns the state that the holder tells callers for a job.
func (c *deliveryCell) stateOf(id job.ID) job.State {
	c.t.Helper()
	c.lastCall++
	effects := c.handle(exchange.StateAsked{Call: c.lastCall, Job: id})
	c.perform(effects)
	replies := effectsOf[exchange.Reply](effects)
	assert.Equal(c.t, len(replies), 1)
	assert.Equal(c.t, replies[0].Answer.Outcome, exchange.OK)
	return replies[0].Answer.State
}

// loggedStateOf returns the state that the log has for a job.
func (c *deliveryCell) loggedStateOf(id job.ID) job.State {
	state := jobrecords.Decode(c.records)
	for _, j := range state.Jobs {
		if j.Submission.Submission.ID == id {
			return j.Progress.State
		}
	}
	for _, j := range state.Ended {
		if j.ID == id {
			return j.Progress.State
		}
	}
	return ""
}

// loggedFailures returns how many failed runs of a task the log has.
func (c *deliveryCell) loggedFailures(id job.TaskID) int {
	for _, j := range jobrecords.Decode(c.records).Jobs {
		if j.Submission.Submission.ID != id.Job {
			continue
		}
		for _, s := range j.Progress.Steps {
			if s.Step == id.Step && s.Instance == id.Instance {
				return len(s.FailedRuns[id.Index])
			}
		}
	}
	return 0
}

// runOf returns the worker that runs a task, and the run.
func (c *deliveryCell) runOf(id job.TaskID) (*deliveryWorker, order.Run) {
	c.t.Helper()
	w := c.workerOf(id)
	if w == nil {
		c.printEvents()
		c.t.Fatalf("%v is not running", id)
	}
	for run := range w.runs {
		if run.Task == id {
			return w, run
		}
	}
	return nil, order.Run{}
}

// endTask ends the run of a task, once there is one, and returns the worker and the run.
func (c *deliveryCell) endTask(id job.TaskID, status order.EndStatus) (*deliveryWorker, order.Run) {
	c.t.Helper()
	c.runUntil(10*time.Second, fmt.Sprint(id, " runs"), func() bool { return c.workerOf(id) != nil })
	w, run := c.runOf(id)
	w.endRun(run, status)
	return w, run
}

// requireState fails the test unless callers are told a state of job j.
func (c *deliveryCell) requireState(want job.State, why string) {
	c.t.Helper()
	if got := c.stateOf("j"); got != want {
		c.printEvents()
		c.t.Fatalf("the job is shown as %s, want %s: %s", got, want, why)
	}
}

// requireNotFailedDuring runs the cell and fails the test if callers are told meanwhile that job j has failed.
func (c *deliveryCell) requireNotFailedDuring(span time.Duration, why string) {
	c.t.Helper()
	for end := c.now.Add(span); c.now.Before(end); {
		c.run(20 * time.Millisecond)
		if !c.core.IsServing(c.now) {
			continue
		}
		if state := c.stateOf("j"); state == job.Failed {
			c.printEvents()
			c.t.Fatalf("the job is shown as failed: %s", why)
		}
	}
}

// requireFailsWithNextEnd ends the next run of a task as failed and fails the test unless the job is shown as failed
// then.
func (c *deliveryCell) requireFailsWithNextEnd(id job.TaskID) {
	c.t.Helper()
	c.endTask(id, order.Failed)
	c.runUntil(10*time.Second, "the job is shown as failed", func() bool { return c.stateOf("j") == job.Failed })
}

// relist makes a worker list the end of a run as its next end, as an incarnation does on which the run was carried out as
// well.
func (w *deliveryWorker) relist(run order.Run, status order.EndStatus) {
	w.endsNumbered++
	w.ended = append(w.ended, order.End{Number: w.endsNumbered, Run: run, Status: status})
	w.highestRun[run.Task] = max(w.highestRun[run.Task], run.Number)
}

// holdRenewalsOf returns a function that keeps all renewals of a worker in transit.
func holdRenewalsOf(w *deliveryWorker) func(*transitOrder) bool {
	return func(o *transitOrder) bool { return o.kind == renewalOrder && o.worker.Name == w.incarnation.Name }
}

// wasListed reports whether an answer to a holder has listed the last end of a worker.
func (c *deliveryCell) wasListed(w *deliveryWorker) bool {
	return c.reported[reportedEnd{w.incarnation, w.endsNumbered}]
}

// isAcknowledged reports whether a worker has no end that is not acknowledged.
func (w *deliveryWorker) isAcknowledged() bool { return len(w.ended) == 0 }

// A job must not fail because one failed run is reported twice: a worker lists an end until it is acknowledged, other
// incarnations and the log may name it as well.
func TestFailedRunCountsOnce(t *testing.T) {
	for _, test := range []struct {
		name   string
		repeat func(c *deliveryCell, w *deliveryWorker, run order.Run)
	}{
		{"listed once", func(*deliveryCell, *deliveryWorker, order.Run) {}},
		{"listed again while the log has no record of it", func(c *deliveryCell, w *deliveryWorker, _ order.Run) {
			c.holdsAppends = true
			c.requireNotFailedDuring(1500*time.Millisecond, "the log does not answer")
			assert.Check(c.t, len(w.ended) == 1 && c.wasListed(w))
			c.releaseAppends()
		}},
		{"answers that list it are lost", func(c *deliveryCell, w *deliveryWorker, _ order.Run) {
			for range 3 {
				c.runUntil(3*time.Second, "a renewal waits", func() bool { return len(w.waitingAnswers) > 0 })
				for _, a := range w.waitingAnswers {
					a.answer(order.Answer{Outcome: order.Unknown, Problem: "no answer"}, order.Report{})
				}
				w.waitingAnswers = nil
			}
			c.runUntil(5*time.Second, "it is listed", func() bool { return c.wasListed(w) })
		}},
		{"listed again under another number", func(c *deliveryCell, w *deliveryWorker, run order.Run) {
			c.runUntil(5*time.Second, "it is listed", func() bool { return c.wasListed(w) })
			w.relist(run, order.Failed)
		}},
		{"listed by a later incarnation after the record", func(c *deliveryCell, w *deliveryWorker, run order.Run) {
			c.runUntil(5*time.Second, "the log has it", func() bool { return c.loggedFailures(firstTask) == 1 })
			c.restart(w.incarnation.Name, 2000)
			c.listWorkers()
			w.relist(run, order.Failed)
		}},
		{"listed by a later incarnation after the acknowledgement", func(c *deliveryCell, w *deliveryWorker, run order.Run) {
			c.runUntil(15*time.Second, "it is acknowledged", w.isAcknowledged)
			c.restart(w.incarnation.Name, 2000)
			c.listWorkers()
			w.relist(run, order.Failed)
		}},
		{"listed by two later incarnations and another worker", func(c *deliveryCell, w *deliveryWorker, run order.Run) {
			for _, born := range []int64{2000, 3000} {
				c.run(500 * time.Millisecond)
				c.restart(w.incarnation.Name, born)
				c.listWorkers()
				w.relist(run, order.Failed)
			}
			for _, other := range c.workers {
				if other != w {
					other.relist(run, order.Failed)
				}
			}
		}},
		{"listed again after the lease has lapsed and the worker was not listed", func(c *deliveryCell, w *deliveryWorker, _ order.Run) {
			// The log takes the end, and no renewal that acknowledges it arrives.
			c.runUntil(3*time.Second, "it is listed", func() bool { return c.wasListed(w) })
			c.holds = holdRenewalsOf(w)
			name := w.incarnation.Name
			delete(c.workers, name)
			c.listWorkers()
			c.workers[name] = w
			c.requireNotFailedDuring(9*time.Second, "its worker is lost")
			assert.Check(c.t, !w.isAcknowledged())
			c.holds = holdNone
			c.listWorkers()
			c.runUntil(20*time.Second, "it is acknowledged", w.isAcknowledged)
		}},
		{"takeover before the record", func(c *deliveryCell, w *deliveryWorker, _ order.Run) {
			c.holdsAppends = true
			c.runUntil(3*time.Second, "it is listed", func() bool { return c.wasListed(w) })
			c.run(100 * time.Millisecond)
			c.holdsAppends = false
			c.takeOver()
			c.runUntil(5*time.Second, "the log has it", func() bool { return c.loggedFailures(firstTask) == 1 })
		}},
		{"takeover between record and acknowledgement", func(c *deliveryCell, w *deliveryWorker, _ order.Run) {
			c.runUntil(3*time.Second, "it is listed", func() bool { return c.wasListed(w) })
			c.holds = holdRenewalsOf(w)
			c.runUntil(3*time.Second, "the log has it", func() bool { return c.loggedFailures(firstTask) == 1 })
			assert.Check(c.t, !w.isAcknowledged())
			c.takeOver()
			c.holds = holdNone
			c.requireNotFailedDuring(2*time.Second, "it is listed to a second holder")
		}},
		{"three takeovers between record and acknowledgement", func(c *deliveryCell, w *deliveryWorker, _ order.Run) {
			c.runUntil(3*time.Second, "it is listed", func() bool { return c.wasListed(w) })
			for range 3 {
				c.holds = func(o *transitOrder) bool { return holdRenewalsOf(w)(o) && o.acknowledged > 0 }
				c.takeOver()
				c.requireNotFailedDuring(500*time.Millisecond, "it is listed to another holder")
			}
			c.holds = holdNone
		}},
		{"record of its own beside the progress", func(c *deliveryCell, w *deliveryWorker, run order.Run) {
			c.runUntil(5*time.Second, "the log has it", func() bool { return c.loggedFailures(firstTask) == 1 })
			c.addRecord(jobrecords.EndRecord(order.End{Number: 1, Run: run, Status: order.Failed}))
			c.takeOver()
			c.requireNotFailedDuring(time.Second, "the end has two records")
		}},
		{"record of its own, listed again", func(c *deliveryCell, w *deliveryWorker, run order.Run) {
			c.holdsAppends = true
			c.runUntil(3*time.Second, "it is listed", func() bool { return c.wasListed(w) })
			c.addRecord(jobrecords.EndRecord(order.End{Number: 1, Run: run, Status: order.Failed}))
			c.holdsAppends = false
			c.takeOver()
			c.requireNotFailedDuring(time.Second, "the end has a record and is listed")
			c.takeOver()
			c.requireNotFailedDuring(time.Second, "the end has a record and is listed once more")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFailingCell(t, oneStep("j", "quick", 1, false), "v", "w")
			w, run := c.endTask(firstTask, order.Failed)
			test.repeat(c, w, run)
			c.requireNotFailedDuring(3*time.Second, "one run has failed, and the queue allows one")
			c.runUntil(15*time.Second, "the task runs again", func() bool { return c.workerOf(firstTask) != nil })
			c.requireNotFailedDuring(time.Second, "one run has failed, and the queue allows one")
			assert.Equal(t, c.loggedFailures(firstTask), 1)
			c.requireFailsWithNextEnd(firstTask)
			assert.Equal(t, c.loggedStateOf("j"), job.Failed)
		})
	}
}

// releaseAppends carries out the appends that were held.
func (c *deliveryCell) releaseAppends() {
	c.holdsAppends = false
	held := c.heldAppends
	c.heldAppends = nil
	for _, a := range held {
		c.append(a)
	}
}

// addRecord adds a record to the stream of jobs.
func (c *deliveryCell) addRecord(r stream.Record) {
	r.Offset = int64(len(c.records))
	c.records = append(c.records, r)
}

// A run that is carried out by two incarnations of a worker, because a copy of its start is late, and fails on both
// counts once.
func TestRunThatFailsOnTwoIncarnationsCountsOnce(t *testing.T) {
	for _, test := range []struct {
		name     string
		takeOver bool
	}{{"one holder", false}, {"takeover in between", true}} {
		t.Run(test.name, func(t *testing.T) {
			c := newDeliveryCell(t, "w")
			c.workers["w"].runTime = time.Hour
			c.holds = holdFirst(startOrder)
			c.submit("j")
			c.runUntil(2*time.Second, "the repeated start is carried out", func() bool { return len(c.starts) == 1 })
			start := c.take(startOrder)
			w, run := c.endTask(firstTask, order.Failed)
			c.runUntil(3*time.Second, "it is listed", func() bool { return c.wasListed(w) })
			c.runUntil(3*time.Second, "the log has it", func() bool { return c.loggedFailures(firstTask) == 1 })
			// No order of the holder reaches the later incarnation before the copy.
			c.holds = func(*transitOrder) bool { return true }
			c.restart("w", 2000)
			c.deliver(start)
			_, again := c.runOf(firstTask)
			assert.Equal(t, again, run)
			w.endRun(run, order.Failed)
			c.holds = holdNone
			c.listWorkers()
			if test.takeOver {
				c.takeOver()
			}
			c.requireNotFailedDuring(3*time.Second, "one run has failed")
			assert.Equal(t, c.loggedFailures(firstTask), 1)
			c.requireFailsWithNextEnd(firstTask)
		})
	}
}

// A run whose start is unanswered moves to the later incarnation of its worker and fails there, and the incarnation after
// that lists the same run as failed.
func TestRunMovedToSuccessorThatFailsOnBothCountsOnce(t *testing.T) {
	c := newDeliveryCell(t, "v", "w")
	for _, w := range c.workers {
		w.runTime = time.Hour
	}
	c.holds = holdKind(startOrder)
	c.submit("j")
	c.runUntil(time.Second, "a start is in transit", func() bool { return len(c.held) > 0 })
	start := c.take(startOrder)
	w := c.workers[start.worker.Name]
	c.restart(start.worker.Name, 2000)
	c.deliver(start)
	c.run(500 * time.Millisecond)
	c.holds = holdNone
	c.listWorkers()
	_, run := c.runOf(firstTask)
	assert.Equal(t, run, start.run)
	w.endRun(run, order.Failed)
	c.run(500 * time.Millisecond)
	c.restart(start.worker.Name, 3000)
	w.relist(run, order.Failed)
	c.listWorkers()
	c.requireNotFailedDuring(3*time.Second, "one run has failed")
	c.runUntil(15*time.Second, "the task runs again", func() bool { return c.workerOf(firstTask) != nil })
	assert.Equal(t, c.loggedFailures(firstTask), 1)
	c.requireFailsWithNextEnd(firstTask)
}

// gangOfThree returns a gang whose members run on different workers.
func gangOfThree() job.Submission {
	s := oneStep("j", "quick", 3, true)
	s.Steps[0].PerWorker = 1
	s.Steps[0].Need.Processors = 40 * resource.Processor
	return s
}

// member returns the task of a member of the gang of job j.
func member(index int) job.TaskID { return job.TaskID{StepID: firstTask.StepID, Index: index} }

// endMembers ends the run of each member of the gang, once all members run, with the status of its index.
func (c *deliveryCell) endMembers(statuses ...order.EndStatus) {
	c.t.Helper()
	c.runUntil(10*time.Second, "the gang runs", func() bool {
		for i := range statuses {
			if c.workerOf(member(i)) == nil {
				return false
			}
		}
		return true
	})
	_, first := c.runOf(member(0))
	for i, status := range statuses {
		_, run := c.endTask(member(i), status)
		assert.Equal(c.t, run.Number, first.Number, "the members are of one run")
	}
}

// A run of a gang counts once, whichever and however many of its members end failed, in whatever order their workers
// report that.
func TestFailedRunOfGangCountsOnce(t *testing.T) {
	for _, test := range []struct {
		name     string
		statuses []order.EndStatus
		// between is called while the reports of the workers of members 1 and 2 are held back.
		between func(c *deliveryCell)
	}{
		{"one member", []order.EndStatus{order.GangBroken, order.Failed, order.GangBroken}, nil},
		{"two members", []order.EndStatus{order.Failed, order.Failed, order.GangBroken}, nil},
		{"all members", []order.EndStatus{order.Failed, order.Failed, order.Failed}, nil},
		{"all members, in different reports", []order.EndStatus{order.Failed, order.Failed, order.Failed}, func(c *deliveryCell) {
			c.runUntil(3*time.Second, "the log has the first", func() bool { return c.loggedFailures(firstTask) == 1 })
			c.run(500 * time.Millisecond)
		}},
		{"all members, a takeover after the first", []order.EndStatus{order.Failed, order.Failed, order.Failed}, func(c *deliveryCell) {
			c.runUntil(3*time.Second, "the log has the first", func() bool { return c.loggedFailures(firstTask) == 1 })
			c.takeOver()
		}},
		{"all members, a takeover before the record of the first", []order.EndStatus{order.Failed, order.Failed, order.Failed}, func(c *deliveryCell) {
			c.holdsAppends = true
			c.run(500 * time.Millisecond)
			c.holdsAppends = false
			c.takeOver()
		}},
		{"all members, each with a record of its own", []order.EndStatus{order.Failed, order.Failed, order.Failed}, func(c *deliveryCell) {
			c.runUntil(3*time.Second, "the log has the first", func() bool { return c.loggedFailures(firstTask) == 1 })
			for _, w := range c.workers {
				for _, end := range w.ended {
					c.addRecord(jobrecords.EndRecord(end))
				}
			}
			c.takeOver()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFailingCell(t, gangOfThree(), "u", "v", "w")
			first, _ := c.runOf(member(0))
			if test.between != nil {
				c.holds = func(o *transitOrder) bool {
					return o.kind == renewalOrder && o.worker.Name != first.incarnation.Name
				}
				// The calls that wait at the other workers are answered before anything ends.
				c.run(1500 * time.Millisecond)
			}
			c.endMembers(test.statuses...)
			if test.between != nil {
				test.between(c)
			}
			c.holds = holdNone
			c.requireNotFailedDuring(3*time.Second, "one run of the gang has failed, and the queue allows one")
			assert.Equal(t, c.loggedFailures(firstTask), 1)
			c.endMembers(order.GangBroken, order.GangBroken, order.Failed)
			c.runUntil(5*time.Second, "the job is shown as failed", func() bool { return c.stateOf("j") == job.Failed })
		})
	}
}

// Only ends `failed` count: a task or a gang whose runs end in any other way is started again as often as it takes.
func TestEndsThatAreNoFailuresDoNotCount(t *testing.T) {
	for _, status := range []order.EndStatus{order.Stopped, order.LeaseExpired, order.GangBroken, order.GangIncomplete} {
		for _, gang := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, gang: %v", status, gang), func(t *testing.T) {
				s := oneStep("j", "quick", 1, false)
				if gang {
					s = gangOfThree()
				}
				c := newFailingCell(t, s, "u", "v", "w")
				for round := range 6 {
					if gang {
						c.endMembers(status, status, status)
					} else {
						c.endTask(firstTask, status)
					}
					c.requireNotFailedDuring(500*time.Millisecond, "no run has failed")
					if round == 3 {
						for _, w := range c.workers {
							c.addRecord(jobrecords.EndRecord(order.End{Run: order.Run{Task: firstTask, Number: w.highestRun[firstTask]}, Status: status}))
						}
						c.takeOver()
					}
				}
				assert.Equal(t, c.loggedFailures(firstTask), 0)
				c.requireNotFailedDuring(2*time.Second, "no run has failed")
			})
		}
	}
}

// Failures of different tasks of a step do not add up.
func TestFailuresOfDifferentTasksDoNotAddUp(t *testing.T) {
	c := newFailingCell(t, oneStep("j", "quick", 5, false), "v", "w")
	for i := range 5 {
		c.endTask(member(i), order.Failed)
		if i == 2 {
			c.takeOver()
		}
	}
	c.requireNotFailedDuring(3*time.Second, "no task has failed twice")
	c.requireFailsWithNextEnd(member(3))
}

// The job has failed in the holder's memory, and the log does not have that. Callers are told what the log has, by this
// holder and by the next one, whatever becomes of the append.
func TestStateToldIsThatOfTheLog(t *testing.T) {
	for _, test := range []struct {
		name string
		// recorded is set if the append is carried out although the holder does not learn it.
		recorded bool
		// forgotten is set if the worker that failed the last run is restarted, so that nobody lists its end again.
		forgotten bool
		want      job.State
	}{
		{"the append is lost, the end is listed again", false, false, job.Failed},
		{"the append is lost, and the worker with the end", false, true, job.Running},
		{"the append is carried out without an answer", true, false, job.Failed},
		{"the append is carried out without an answer, and the worker is lost", true, true, job.Failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newFailingCell(t, oneStep("j", "quick", 1, false), "v", "w")
			c.endTask(firstTask, order.Failed)
			c.runUntil(5*time.Second, "the log has it", func() bool { return c.loggedFailures(firstTask) == 1 })
			c.runUntil(5*time.Second, "the task runs again", func() bool { return c.workerOf(firstTask) != nil })
			c.run(time.Second)
			c.holdsAppends = true
			w, _ := c.endTask(firstTask, order.Failed)
			c.runUntil(3*time.Second, "it is listed", func() bool { return c.wasListed(w) })
			c.requireNotFailedDuring(time.Second, "the log has no record of that")
			c.holdsAppends = false
			if test.recorded {
				for _, a := range c.heldAppends {
					for _, r := range a.Append.Records {
						c.addRecord(r)
					}
				}
				assert.Equal(t, c.loggedStateOf("j"), job.Failed)
			}
			if test.forgotten {
				c.restart(w.incarnation.Name, 2000)
			}
			c.takeOver()
			if !test.recorded && test.forgotten {
				c.requireNotFailedDuring(5*time.Second, "nothing lists the last end any more")
				c.runUntil(15*time.Second, "the task runs again", func() bool { return c.workerOf(firstTask) != nil })
				c.requireFailsWithNextEnd(firstTask)
				return
			}
			c.runUntil(5*time.Second, "the job is shown as failed", func() bool { return c.stateOf("j") == job.Failed })
			assert.Equal(t, c.loggedStateOf("j"), job.Failed)
			c.takeOver()
			c.requireState(job.Failed, "the log has that")
		})
	}
}
