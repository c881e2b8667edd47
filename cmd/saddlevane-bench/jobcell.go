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

// The times and sizes of what surrounds the reducer, like those of the users'
// platform.
const (
	cellTick   = 20 * time.Millisecond
	appendTime = 5 * time.Millisecond
	orderTime  = 2 * time.Millisecond
	cellLease  = 6 * time.Second
	renewWait  = time.Second
	gatherTime = 12 * time.Millisecond
	rackSize   = 12
)

// due is something that happens at a time. Numbers order what happens at the same
// time.
type due struct {
	at     time.Time
	number int
	do     func()
}

// dueQueue is a heap of what is due, the first to happen on top.
type dueQueue []due

func (q dueQueue) Len() int { return len(q) }

func (q dueQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].number < q[j].number
}

func (q dueQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *dueQueue) Push(x any) { *q = append(*q, x.(due)) }

func (q *dueQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// jobCell is one box that holds a cell, its workers, the log and the advice
// service, in virtual time. Nothing fails in it.
type jobCell struct {
	mix jobMix
	rng *rand.Rand
	// arrivals draws the jobs, so that they are the same under each policy.
	arrivals *rand.Rand
	now      time.Time
	// queue is what is still to happen, number that of the last thing put there.
	queue  dueQueue
	number int
	core   *dispatch.Core
	// offset is that of the next record of the log.
	offset  int64
	workers map[string]*cellWorker
	// advising is when the calls of each box are over.
	advising map[string]time.Time
	jobs     map[job.ID]*cellJob
	lastCall exchange.CallID

	// deciding is the processor time that the reducer took, mostDeciding that of
	// its longest group of events.
	deciding, mostDeciding time.Duration
	starts                 int
	adviceCalls            int
	adviceTime             time.Duration
	// worked and wasted are processor seconds.
	worked, wasted float64
}

// cellJob is a job as its caller sees it.
type cellJob struct {
	kind *jobKind
	sub  job.Submission
	// work is how long the tasks of each step work.
	work   []time.Duration
	sentAt time.Time
	// doneAt is when the log had its good end, if it has.
	doneAt time.Time
}

// newJobCell returns a cell whose box is about to take it over.
func newJobCell(mix jobMix, seed int64, without map[mechanism.Mechanism]bool) *jobCell {
	c := &jobCell{
		mix: mix, rng: rand.New(rand.NewSource(seed)), arrivals: rand.New(rand.NewSource(seed)), now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		workers: map[string]*cellWorker{}, advising: map[string]time.Time{}, jobs: map[job.ID]*cellJob{},
	}
	for i := range mix.workers {
		w := newCellWorker(c, i)
		c.workers[w.Name] = w
	}
	c.core = dispatch.New(dispatch.Settings{
		Authority: authority.Settings{RenewInterval: 400 * time.Millisecond, HoldFor: 1400 * time.Millisecond, ClaimAfter: 1550 * time.Millisecond},
		Lease:     cellLease, RenewWait: renewWait, AppendInterval: gatherTime, EndedRetention: time.Minute, StopGrace: time.Second,
		OrderTimeout: 300 * time.Millisecond,
		Disabled:     without,
	}, claim.Member{Box: "box-00", Incarnation: "1", Address: "box-00", Size: 1000})
	c.begin()
	return c
}

// begin lets the box take the cell over.
func (c *jobCell) begin() {
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
	c.give(exchange.ConfigRead{Config: config}, exchange.MembersRead{Members: members}, exchange.ClaimsRead{First: true})
	c.tick()
}

// tick gives the reducer its ticks.
func (c *jobCell) tick() {
	c.give(exchange.Tick{})
	c.after(cellTick, c.tick)
}

// after does something once some time has passed.
func (c *jobCell) after(d time.Duration, do func()) {
	c.number++
	heap.Push(&c.queue, due{at: c.now.Add(d), number: c.number, do: do})
}

// run lets time pass until a moment.
func (c *jobCell) run(until time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(until) {
		next := heap.Pop(&c.queue).(due)
		c.now = next.at
		next.do()
	}
	c.now = until
}

// give tells the reducer some events that came together, and carries out what it
// asks for.
func (c *jobCell) give(events ...exchange.Event) {
	began := time.Now()
	for _, e := range events {
		c.core.Handle(c.now, e)
	}
	effects := c.core.Decide(c.now)
	took := time.Since(began)
	c.deciding += took
	c.mostDeciding = max(c.mostDeciding, took)
	for _, e := range effects {
		c.do(e)
	}
}

// back gives the reducer an event after a while.
func (c *jobCell) back(d time.Duration, e exchange.Event) { c.after(d, func() { c.give(e) }) }

// do carries out one effect. Answers to callers are not looked at: what becomes of a
// job is seen in the log.
func (c *jobCell) do(e exchange.Effect) {
	switch e := e.(type) {
	case exchange.Append:
		c.append(e)
	case exchange.LoadJobs:
		c.back(appendTime, exchange.JobsLoaded{Epoch: e.Epoch})
	case exchange.FollowWorkers:
		c.list()
	case exchange.Renew:
		c.workers[e.Worker.Name].renew(e)
	case exchange.StartRun:
		c.starts++
		c.workers[e.Worker.Name].start(e)
	case exchange.StopRun:
		c.workers[e.Worker.Name].stop(e)
	case exchange.Advise:
		c.advise(e)
	}
}

// append keeps records, whose end the reducer hears of later.
func (c *jobCell) append(e exchange.Append) {
	first := c.offset
	c.offset += int64(len(e.Append.Records))
	c.after(appendTime, func() {
		c.give(exchange.AppendEnded{Purpose: e.Purpose, Number: e.Number, Offset: first})
		if e.Purpose == exchange.ForJournal {
			c.see(e.Append.Records)
		}
	})
}

// see notes the jobs that the log says have succeeded.
func (c *jobCell) see(records []stream.Record) {
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

// list tells the reducer of all workers.
func (c *jobCell) list() {
	l := order.Listing{Complete: true}
	for i := range c.mix.workers {
		l.Present = append(l.Present, c.workers[workerName(i)].Worker)
	}
	c.back(appendTime, exchange.WorkersRead{Listing: l})
}

// advise answers a call for advice: one after the other for each box.
func (c *jobCell) advise(e exchange.Advise) {
	j := c.jobs[e.Step.Job]
	q := j.kind.queue.Advice
	takes := q.BaseTime + time.Duration(len(e.Workers))*q.TimePerWorker
	c.adviceCalls++
	c.adviceTime += takes
	free := c.advising[e.Box]
	if free.Before(c.now) {
		free = c.now
	}
	free = free.Add(takes)
	c.advising[e.Box] = free
	a := exchange.Advised{Step: e.Step, Box: e.Box, Epoch: e.Epoch, Number: e.Number}
	for _, id := range e.Workers {
		if c.workers[id].suits(e.Step, j.kind.suits) {
			a.Tickets = append(a.Tickets, order.Ticket{Worker: id, Ticket: "t"})
		}
	}
	c.back(free.Add(orderTime).Sub(c.now), a)
}

// submit hands a job in.
func (c *jobCell) submit(k *jobKind, number int) {
	sub, work := k.submission(c.arrivals, number)
	c.jobs[sub.ID] = &cellJob{kind: k, sub: sub, work: work, sentAt: c.now}
	c.lastCall++
	c.give(exchange.Submitted{Call: c.lastCall, Submission: sub})
}
