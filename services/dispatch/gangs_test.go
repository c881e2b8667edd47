// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"

	"gotest.tools/v3/assert"
)

// gangConfig returns a configuration in which gangs need advice calls that take most of a ticket's
// validity, while sweeps and small jobs need no advice.
func gangConfig() job.Config {
	c := config()
	c.Queues = map[string]job.Queue{
		"gangs": {
			Name: "gangs", Pool: pool, Priority: 1, Attempts: 3, Stretch: 2.2, Latency: time.Second,
			Advice: &job.Advice{BaseTime: 600 * time.Millisecond, TimePerWorker: 8600 * time.Microsecond, TicketLifetime: 1500 * time.Millisecond},
		},
		"sweeps": {Name: "sweeps", Pool: pool, Priority: 2, Attempts: 3, Stretch: 4, Latency: 3 * time.Second},
		"quick":  c.Queues["quick"],
	}
	return c
}

// sweepJob returns a job whose tasks may be preempted for gangs.
func sweepJob(id string, tasks int) job.Submission {
	s := oneStep(id, "sweeps", tasks, false)
	s.Steps[0].Need = resource.Vector{Processors: 11 * resource.Processor, Memory: resource.GiB}
	s.Steps[0].Estimate = 2200
	s.Steps[0].Checkpoints = true
	return s
}

// threePerWorkerGang returns a gang of which three tasks fit on one worker.
func threePerWorkerGang(id string, tasks int) job.Submission {
	s := oneStep(id, "gangs", tasks, true)
	s.Steps[0].Need = resource.Vector{Processors: 18 * resource.Processor, Memory: resource.GiB}
	s.Steps[0].Estimate = 3000
	return s
}

// endedWithPrefix reports whether all jobs whose IDs have the prefix have ended.
func (w *world) endedWithPrefix(prefix string) bool {
	w.queryStates()
	for id, a := range w.jobs {
		if strings.HasPrefix(string(id), prefix) && !a.state.IsFinal() {
			return false
		}
	}
	return true
}

// countLines returns how many log lines of the reducers contain a message.
func (w *world) countLines(message string) int {
	count := 0
	for _, line := range w.trace {
		if strings.Contains(line, message) {
			count++
		}
	}
	return count
}

// newGangWorld returns a world with 24 boxes, 90 workers and the queues of gangConfig.
func newGangWorld(t *testing.T, seed int64) *world {
	w := newWorld(t, seed, 24, 90)
	w.config = gangConfig()
	w.stopDuration = 900 * time.Millisecond
	for _, b := range w.boxes {
		b.kill()
		b.start()
	}
	w.waitUntilServing()
	return w
}

// onePerWorkerGang returns a gang whose tasks take nearly half a worker each and must run on
// different workers.
func onePerWorkerGang(id string, tasks int) job.Submission {
	s := threePerWorkerGang(id, tasks)
	s.Steps[0].Need.Processors = 30 * resource.Processor
	s.Steps[0].PerWorker = 1
	return s
}

// runFor advances the time while the claim is renewed and the workers keep answering their
// renewals.
func (d *harness) runFor(duration time.Duration, renewals map[string]exchange.Renew, running map[string][]order.Run) []exchange.Effect {
	d.t.Helper()
	var all []exchange.Effect
	for end := d.now.Add(duration); d.now.Before(end); {
		effects := d.advance(20 * time.Millisecond)
		d.confirmClaimRenewal(effects)
		for _, r := range renewals {
			effects = append(effects, d.handle(renewAnswer(r, running[r.Worker.Name]...))...)
		}
		for _, r := range effectsOf[exchange.Renew](effects) {
			renewals[r.Worker.Name] = r
		}
		all = append(all, effects...)
	}
	return all
}

// answerAdvice answers an advice call: all workers it names are eligible.
func (d *harness) answerAdvice(a exchange.Advise) []exchange.Effect {
	e := exchange.Advised{Step: a.Step, Box: a.Box, Epoch: a.Epoch, Number: a.Number}
	for _, w := range a.Workers {
		e.Tickets = append(e.Tickets, order.Ticket{Worker: w, Ticket: "ticket"})
	}
	return d.handle(e)
}

// newHolderWithBusyWorker returns a holder with the queues of gangConfig and the given workers, one of
// which runs a task of a sweep with the given run time. It also returns the pending renewal of each
// worker and the runs on the busy one.
func newHolderWithBusyWorker(t *testing.T, runTime job.Milliseconds, workers ...string) (*harness, map[string]exchange.Renew, map[string][]order.Run) {
	t.Helper()
	var all []order.Worker
	for _, id := range workers {
		all = append(all, order.Worker{Incarnation: order.Incarnation{Name: id}, Address: id, Pool: pool, Capacity: workerCapacity})
	}
	d, renewals := newHolder(t, all...)
	c := gangConfig()
	c.Version = 2
	d.handle(exchange.ConfigRead{Config: c})
	var boxes []claim.Member
	for i := range 8 {
		boxes = append(boxes, claim.Member{Box: fmt.Sprint("box", i), Incarnation: "1", Address: fmt.Sprint("box", i)})
	}
	d.handle(exchange.MembersRead{Members: boxes})
	sweep := sweepJob("sweep", 1)
	sweep.Steps[0].Need.Processors = 30 * resource.Processor
	sweep.Steps[0].Estimate = runTime
	// A short task without checkpoints is not preempted.
	sweep.Steps[0].Checkpoints = runTime > 2000
	effects := d.submitAndLog(sweep)
	d.confirmClaimRenewal(effects)
	start := effectsOf[exchange.StartRun](effects)[0]
	d.handle(exchange.StartEnded{Worker: start.Worker, Epoch: 1, Run: start.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
	return d, renewals, map[string][]order.Run{start.Worker.Name: {start.Order.Run}}
}

// This test covers the reservation part of the failure that TestGangsDoNotDeadlock describes: a
// gang starts in its reserved capacity whatever a later gang on the same workers waits for.
func TestGangStartsInItsEarlierReservation(t *testing.T) {
	d, renewals, running := newHolderWithBusyWorker(t, 20_000, "w0", "w1")
	d.core.Handle(d.now, exchange.Submitted{Call: 10, Submission: onePerWorkerGang("first", 2)})
	effects := d.handle(exchange.Submitted{Call: 11, Submission: onePerWorkerGang("second", 2)})
	for _, a := range effectsOf[exchange.Advise](effects) {
		d.answerAdvice(a)
	}
	// The tickets have expired by the time the log has the jobs.
	effects = append(effects, d.runFor(1500*time.Millisecond, renewals, running)...)
	calls := map[job.ID][]exchange.Advise{}
	opened := append(d.confirmAnyAppend(effects), d.runFor(60*time.Millisecond, renewals, running)...)
	for _, a := range effectsOf[exchange.Advise](opened) {
		calls[a.Step.Job] = append(calls[a.Step.Job], a)
	}
	assert.Equal(t, len(calls["first"]), 1)
	assert.Equal(t, len(calls["second"]), 1, "it reserves the capacity of the sweep's task, which keeps running")
	assert.Equal(t, len(effectsOf[exchange.StopRun](opened)), 0)
	starts := effectsOf[exchange.StartRun](append(d.answerAdvice(calls["first"][0]), d.runFor(20*time.Millisecond, renewals, running)...))
	assert.Equal(t, len(starts), 2, "its capacity is free, whatever the second gang waits for")
}

// This test covers the ticket part of the failure that TestGangsDoNotDeadlock describes: a gang
// requests all tickets that would expire before its call is answered.
func TestGangRenewsAllTicketsThatWouldExpire(t *testing.T) {
	d, renewals, running := newHolderWithBusyWorker(t, 1500, "w0", "w1")
	// A task with 40 of 64 processors does not fit beside the sweep's task.
	gang := onePerWorkerGang("gang", 4)
	gang.Steps[0].Need.Processors = 40 * resource.Processor
	effects := d.handle(exchange.Submitted{Call: 10, Submission: gang})
	effects = append(effects, d.confirmAnyAppend(effects)...)
	for _, a := range effectsOf[exchange.Advise](effects) {
		d.answerAdvice(a)
	}
	listed := d.handle(exchange.WorkersRead{Listing: order.Listing{Present: []order.Worker{
		{Incarnation: order.Incarnation{Name: "w2"}, Address: "w2", Pool: pool, Capacity: workerCapacity}, {Incarnation: order.Incarnation{Name: "w3"}, Address: "w3", Pool: pool, Capacity: workerCapacity},
	}}})
	for _, r := range effectsOf[exchange.Renew](listed) {
		renewals[r.Worker.Name] = r
	}
	// Two more workers are asked about 0.9 s later.
	effects = d.runFor(800*time.Millisecond, renewals, running)
	for range 3 {
		effects = append(d.confirmAnyAppend(effects), d.runFor(100*time.Millisecond, renewals, running)...)
		for _, a := range effectsOf[exchange.Advise](effects) {
			d.answerAdvice(a)
		}
	}
	// When the sweep's task ends, the first tickets have expired, and the others will have expired
	// by the time a call made now is answered.
	d.runFor(900*time.Millisecond, renewals, running)
	busy := ""
	for id := range running {
		busy = id
	}
	effects = d.handle(doneAnswer(renewals[busy], running[busy][0]))
	clear(running)
	effects = append(effects, d.runFor(40*time.Millisecond, renewals, running)...)
	var askedWorkers []string
	for _, a := range effectsOf[exchange.Advise](effects) {
		askedWorkers = append(askedWorkers, a.Workers...)
	}
	assert.DeepEqual(t, slices.Sorted(slices.Values(askedWorkers)), []string{"w0", "w1", "w2", "w3"})
}

// Gangs without room reserve capacity and request tickets. A request takes at least 0.6 s, a ticket
// is valid for 1.4 s, and after 3 s the gang releases its reservation and starts over. 46 gangs
// blocked each other for two reasons: a request left out tickets that would expire before its answer,
// and a gang's capacity counted as free only when all capacity reserved on its workers was free,
// also that of other gangs whose preempted tasks had not ended. None of the gangs started, two
// thirds of the processors were free but nearly all reserved, and accepted jobs never ran.
//
// In such a run with 1,100 workers, nearly all reservations were released for lack of tickets, for 1
// to 53 of their 7 to 68 workers, when no task was left to stop. In 2 s they kept 61,800
// processor-seconds idle, those of gangs that started kept 7,600 idle.
func TestGangsDoNotDeadlock(t *testing.T) {
	for seed := int64(500); seed < 503; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newGangWorld(t, seed)
			for i := range 40 {
				w.after(time.Duration(i)*150*time.Millisecond, func() { w.submit(threePerWorkerGang(fmt.Sprint("gang", i), 10+w.rng.Intn(60))) })
			}
			for i := range 40 {
				w.after(time.Duration(i)*250*time.Millisecond, func() { w.submit(sweepJob(fmt.Sprint("sweep", i), 20+w.rng.Intn(40))) })
			}
			for i := range 300 {
				w.after(time.Duration(i)*40*time.Millisecond, func() { w.submit(oneStep(fmt.Sprint("small", i), "quick", 3, false)) })
			}
			w.run(time.Second)
			began := w.now
			w.waitUntil(30*time.Second, "all gangs have ended", func() bool { return w.endedWithPrefix("gang") })
			t.Logf("all gangs had ended after %v", w.now.Sub(began))
			w.waitUntil(60*time.Second, "all jobs have ended", w.allEnded)
			t.Logf("all jobs had ended after %v", w.now.Sub(began))
			w.requireNoViolations()
			assert.Equal(t, w.incompleteGangEnds, 0)
			t.Logf("gangs released %d reservations without starting", w.countLines("gang reservation released without a start"))
		})
	}
}
