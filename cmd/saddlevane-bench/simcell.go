// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/services/authority"
	"saddlevane/services/dispatch"
)

// Latencies, periods and sizes of the simulated platform, modeled on the real one.
const (
	tickInterval   = 20 * time.Millisecond
	appendLatency  = 5 * time.Millisecond
	orderLatency   = 2 * time.Millisecond
	workerLease    = 6 * time.Second
	renewWait      = time.Second
	appendInterval = 12 * time.Millisecond
	configBound    = 5 * time.Second
	configReadWait = time.Second
	rackSize       = 12
)

// scheduledEvent is a function that is run at a virtual time. Events at the same time run in the
// order of seq.
type scheduledEvent struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap of events with the earliest on top.
type eventQueue []scheduledEvent

// Len returns the number of events.
func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simCell simulates a cell in virtual time: one box that holds the cell, its workers, the log and
// the advice service. Nothing fails in it.
type simCell struct {
	mix jobMix
	rng *rand.Rand
	// arrivals is a separate source for the submitted jobs, so that they are the same under
	// each policy.
	arrivals *rand.Rand
	now      time.Time
	// queue holds the events that are still to run, lastSeq is the number of the last one
	// scheduled.
	queue   eventQueue
	lastSeq int
	core    *dispatch.Core
	// processor is the processor of the box, or nil if what the box does takes no virtual time.
	processor *processor
	// nextOffset is the offset of the next record in the log.
	nextOffset int64
	workers    map[string]*simWorker
	// adviceBusyUntil holds, per box, when its pending advice calls end.
	adviceBusyUntil map[string]time.Time
	jobs            map[job.ID]*simJob
	lastCall        exchange.CallID

	// decideTime is the real time spent in the reducer, maxDecideTime the longest time for one
	// group of events.
	decideTime, maxDecideTime time.Duration
	starts                    int
	// eventCounts and effectCounts count what the reducer received and returned, by type.
	eventCounts, effectCounts map[string]int
	adviceCalls               int
	adviceTime                time.Duration
	// usefulCoreSeconds is the work of runs that completed, wastedCoreSeconds that of runs
	// that were stopped.
	usefulCoreSeconds, wastedCoreSeconds float64
}

// simJob is a submitted job and when it was submitted and completed.
type simJob struct {
	kind *jobKind
	sub  job.Submission
	// work is the run time of the tasks of each step on a worker of normal speed.
	work   []time.Duration
	sentAt time.Time
	// firstStartAt is when the first of its tasks was started, doneAt when the log recorded that the
	// job succeeded. They are zero before.
	firstStartAt, doneAt time.Time
}

// newSimCell returns a cell whose box has just started and takes the cell over. Mechanisms in
// disabled are switched off.
func newSimCell(mix jobMix, seed int64, disabled map[mechanism.Mechanism]bool) *simCell {
	return newSimCellOn(nil, mix, seed, disabled)
}

// newSimCellOn returns a cell like newSimCell whose box has a processor with the given costs, unless
// they are nil.
func newSimCellOn(costs *processorCosts, mix jobMix, seed int64, disabled map[mechanism.Mechanism]bool) *simCell {
	c := &simCell{
		mix: mix, rng: rand.New(rand.NewSource(seed)), arrivals: rand.New(rand.NewSource(seed)), now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		workers: map[string]*simWorker{}, adviceBusyUntil: map[string]time.Time{}, jobs: map[job.ID]*simJob{},
		eventCounts: map[string]int{}, effectCounts: map[string]int{},
	}
	for i := range mix.workers {
		w := newSimWorker(c, i)
		c.workers[w.Name] = w
	}
	c.core = dispatch.New(dispatch.Settings{
		Authority: authority.Settings{RenewInterval: 400 * time.Millisecond, HoldFor: 1400 * time.Millisecond, ClaimAfter: 1550 * time.Millisecond, OutsiderClaimAfter: 10 * time.Second},
		Lease:     workerLease, RenewWait: renewWait, AppendInterval: appendInterval, EndedRetention: time.Minute, StopGrace: time.Second,
		OrderTimeout: 300 * time.Millisecond, ConfigPropagation: configBound, EvacuationPropagation: configBound,
		Disabled: disabled,
	}, claim.Member{Box: "box-00", Incarnation: "1", Address: "box-00", Size: 1000})
	if costs != nil {
		c.processor = &processor{cell: c, costs: *costs, usage: newProcessorUsage()}
	}
	c.takeOver()
	return c
}

// takeOver delivers the configuration, the members and the empty claims, upon which the box takes
// the cell over, and starts the ticks.
func (c *simCell) takeOver() {
	config := job.Config{Version: 1, Queues: map[string]job.Queue{}}
	for i := range c.mix.kinds {
		config.Queues[c.mix.kinds[i].queue.Name] = c.mix.kinds[i].queue
	}
	var members []claim.Member
	for i := range c.mix.boxes {
		name := fmt.Sprintf("box-%02d", i)
		members = append(members, claim.Member{Box: name, Incarnation: "1", Address: name, Size: 500})
	}
	members[0].Size = 1000
	c.deliver(exchange.ConfigRead{Config: config}, exchange.MembersRead{Members: members}, exchange.ClaimsRead{First: true})
	c.readConfig()
	c.tick()
}

// readConfig confirms that the configuration is current, and schedules the next read.
func (c *simCell) readConfig() {
	c.deliver(exchange.ConfigReadEnded{AskedAt: c.now})
	c.schedule(configReadWait, c.readConfig)
}

// tick delivers a tick and schedules the next one.
func (c *simCell) tick() {
	c.deliver(exchange.Tick{})
	c.schedule(tickInterval, c.tick)
}

// schedule runs do after d of virtual time.
func (c *simCell) schedule(d time.Duration, do func()) {
	c.lastSeq++
	heap.Push(&c.queue, scheduledEvent{at: c.now.Add(d), seq: c.lastSeq, run: do})
}

// runUntil runs all events up to the given virtual time.
func (c *simCell) runUntil(until time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(until) {
		next := heap.Pop(&c.queue).(scheduledEvent)
		c.now = next.at
		next.run()
	}
	c.now = until
}

// deliver passes events that arrive at the same time to the reducer, and carries out the effects
// that it returns.
func (c *simCell) deliver(events ...exchange.Event) {
	if c.processor != nil {
		for _, e := range events {
			c.eventCounts[fmt.Sprintf("%T", e)]++
			c.processor.enqueue(e)
		}
		return
	}
	start := time.Now()
	for _, e := range events {
		c.eventCounts[fmt.Sprintf("%T", e)]++
		c.core.Handle(c.now, e)
	}
	effects := c.core.Decide(c.now)
	took := time.Since(start)
	c.decideTime += took
	c.maxDecideTime = max(c.maxDecideTime, took)
	for _, e := range effects {
		c.execute(e)
	}
}

// deliverAfter delivers an event after d of virtual time.
func (c *simCell) deliverAfter(d time.Duration, e exchange.Event) {
	c.schedule(d, func() { c.deliver(e) })
}

// execute carries out one effect. Replies to callers are ignored: the results of jobs are read
// from the log.
func (c *simCell) execute(e exchange.Effect) {
	c.effectCounts[fmt.Sprintf("%T", e)]++
	switch e := e.(type) {
	case exchange.Append:
		c.append(e)
	case exchange.LoadJobs:
		c.deliverAfter(appendLatency, exchange.JobsLoaded{Epoch: e.Epoch})
	case exchange.FollowWorkers:
		c.listWorkers()
	case exchange.Renew:
		c.workers[e.Worker.Name].renew(e)
	case exchange.StartRun:
		c.starts++
		c.workers[e.Worker.Name].startRun(e)
	case exchange.StopRun:
		c.workers[e.Worker.Name].stopRun(e)
	case exchange.Advise:
		c.advise(e)
	}
}

// append appends records to the log and confirms them to the reducer after appendLatency.
func (c *simCell) append(e exchange.Append) {
	first := c.nextOffset
	c.nextOffset += int64(len(e.Append.Records))
	c.schedule(appendLatency, func() {
		c.deliver(exchange.AppendEnded{Purpose: e.Purpose, Number: e.Number, Offset: first})
		if e.Purpose == exchange.ForJournal {
			c.recordSuccesses(e.Append.Records)
		}
	})
}

// recordSuccesses sets doneAt of the jobs whose progress records say that they succeeded.
func (c *simCell) recordSuccesses(records []stream.Record) {
	for _, r := range records {
		if len(r.Key) < 3 || r.Key[:2] != "p/" {
			continue
		}
		var p job.Progress
		if json.Unmarshal(r.Value, &p) != nil || p.State != job.Succeeded {
			continue
		}
		if j := c.jobs[job.ID(r.Key[2:])]; j != nil && j.doneAt.IsZero() {
			j.doneAt = c.now
		}
	}
}

// listWorkers delivers the complete list of workers.
func (c *simCell) listWorkers() {
	l := order.Listing{Complete: true}
	for i := range c.mix.workers {
		l.Present = append(l.Present, c.workers[workerName(i)].Worker)
	}
	c.deliverAfter(appendLatency, exchange.WorkersRead{Listing: l})
}

// advise answers a call for advice. The calls of one box are answered one after the other.
func (c *simCell) advise(e exchange.Advise) {
	j := c.jobs[e.Step.Job]
	q := j.kind.queue.Advice
	duration := q.BaseTime + time.Duration(len(e.Workers))*q.TimePerWorker
	c.adviceCalls++
	c.adviceTime += duration
	busyUntil := c.adviceBusyUntil[e.Box]
	if busyUntil.Before(c.now) {
		busyUntil = c.now
	}
	busyUntil = busyUntil.Add(duration)
	c.adviceBusyUntil[e.Box] = busyUntil
	a := exchange.Advised{Step: e.Step, Box: e.Box, Epoch: e.Epoch, Number: e.Number}
	for _, id := range e.Workers {
		if c.workers[id].isEligible(e.Step, j.kind.eligibleShare) {
			a.Tickets = append(a.Tickets, order.Ticket{Worker: id, Ticket: "t"})
		}
	}
	c.deliverAfter(busyUntil.Add(orderLatency).Sub(c.now), a)
}

// submit submits a new job of kind k.
func (c *simCell) submit(k *jobKind, number int) {
	sub, work := k.submission(c.arrivals, number)
	c.jobs[sub.ID] = &simJob{kind: k, sub: sub, work: work, sentAt: c.now}
	c.lastCall++
	c.deliver(exchange.Submitted{Call: c.lastCall, Submission: sub})
}
