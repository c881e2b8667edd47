// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/modules/ordered"
	"saddlevane/services/dispatch"

	"gotest.tools/v3/assert"
)

const (
	// deliveryTick is the interval at which a deliveryCell advances.
	deliveryTick = 5 * time.Millisecond
	// deliveryDelay is the transit time of orders, answers and appends that are not held back.
	deliveryDelay = 2 * time.Millisecond
	// partialWait is the longest wait of one call of a renewal that waits longer in several calls.
	partialWait = time.Second
	// renewalMargin is how long after the end of its wait a call of a renewal is given up.
	renewalMargin = 200 * time.Millisecond
)

// deliveryDomain is the failure domain of the workers.
const deliveryDomain = "zone"

// deliveryCell is a cell with one holder at a time, whose orders a test delivers to simulated workers
// at moments of its choice. All other orders are carried out and answered after deliveryDelay.
type deliveryCell struct {
	*harness
	// holders counts the holders so far. Answers to an earlier holder are dropped.
	holders int
	// records are the records of the stream of jobs.
	records []stream.Record
	workers map[string]*deliveryWorker
	timers  []deliveryTimer
	// holds reports whether an order stays in transit until the test delivers it. held are those orders.
	holds func(o *transitOrder) bool
	held  []*transitOrder
	sent  []*transitOrder
	// holdsAppends keeps appends to the stream of jobs from being carried out and answered. heldAppends are those.
	holdsAppends bool
	heldAppends  []exchange.Append
	// submitted are the submitted jobs. acknowledged has the tasks whose success was acknowledged, for a
	// gang its first task, and reported the ends that an answer to the holder has listed.
	submitted    map[job.ID]job.Submission
	acknowledged map[job.TaskID]bool
	reported     map[reportedEnd]bool
	starts       []carriedOutStart
	// lostEnds are the ends that were acknowledged without having been reported, doneStarts the starts of
	// tasks whose success was acknowledged, besideStarts those of tasks that another run is active of.
	lostEnds     []string
	doneStarts   []string
	besideStarts []string
	events       []string
	startedAt    time.Time
	lastCall     exchange.CallID
}

// deliveryTimer is a function that is called at a time.
type deliveryTimer struct {
	at time.Time
	do func()
}

// reportedEnd is an end of a run on one incarnation of a worker.
type reportedEnd struct {
	worker order.Incarnation
	number int64
}

// carriedOutStart is a start that a worker has carried out.
type carriedOutStart struct {
	worker order.Incarnation
	run    order.Run
}

// orderKind is the kind of an order to a worker.
type orderKind string

// The kinds of orders.
const (
	renewalOrder  orderKind = "renewal"
	startOrder    orderKind = "start"
	stopOrder     orderKind = "stop"
	throttleOrder orderKind = "throttle"
)

// transitOrder is an order that a holder has sent.
type transitOrder struct {
	kind         orderKind
	worker       order.Incarnation
	fence        int64
	run          order.Run
	acknowledged int64
	maxWait      time.Duration
	// isOver is set once the holder has an answer or counts the order as unanswered.
	isOver   bool
	carryOut func(w *deliveryWorker, answer func(order.Answer, order.Report))
	respond  func(order.Answer, order.Report)
}

// newDeliveryCell returns a cell with a holder and listed workers, each in its incarnation 1000.
func newDeliveryCell(t *testing.T, workers ...string) *deliveryCell {
	t.Helper()
	return newDeliveryCellWith(t, settings(), workers...)
}

// newDeliveryCellWith returns a cell like newDeliveryCell whose first holder has the settings s.
func newDeliveryCellWith(t *testing.T, s dispatch.Settings, workers ...string) *deliveryCell {
	t.Helper()
	c := &deliveryCell{
		harness: newHarnessWith(t, s), holders: 1, workers: map[string]*deliveryWorker{}, holds: func(*transitOrder) bool { return false },
		submitted: map[job.ID]job.Submission{}, acknowledged: map[job.TaskID]bool{}, reported: map[reportedEnd]bool{},
	}
	c.startedAt = c.now
	for _, name := range workers {
		c.workers[name] = &deliveryWorker{c: c, runTime: 200 * time.Millisecond}
		c.workers[name].begin(order.Incarnation{Name: name, BornUnixMilli: 1000})
	}
	c.waitForHolder()
	return c
}

// waitForHolder runs the cell until its holder serves calls and has the reports of all workers.
func (c *deliveryCell) waitForHolder() {
	c.t.Helper()
	c.runUntil(5*time.Second, "the cell is held", func() bool { return c.core.IsServing(c.now) })
	c.run(500 * time.Millisecond)
}

// takeOver replaces the holder by one that knows only what is in the log. Orders of the earlier holder
// stay in transit.
func (c *deliveryCell) takeOver() {
	c.t.Helper()
	now, offset := c.now, c.nextOffset
	c.harness = newHarness(c.t)
	c.now, c.nextOffset = now, offset
	c.holders++
	c.trace("holder %d takes over", c.holders)
	c.handleClaim(claim.Claim{Epoch: int64(c.holders - 1), Box: fmt.Sprint("earlier", c.holders), Incarnation: "1"})
	c.waitForHolder()
}

// handleClaim applies the claim of another box, as read from the log.
func (c *deliveryCell) handleClaim(held claim.Claim) { c.perform(c.readClaim(held)) }

// post delivers an event to the current holder after deliveryDelay, unless another one has taken over.
func (c *deliveryCell) post(e exchange.Event) {
	holder := c.holders
	c.after(deliveryDelay, func() {
		if c.holders == holder {
			c.perform(c.handle(e))
		}
	})
}

// after calls a function after some time.
func (c *deliveryCell) after(d time.Duration, do func()) {
	c.timers = append(c.timers, deliveryTimer{at: c.now.Add(d), do: do})
}

// trace adds a line to the events that a failed test prints.
func (c *deliveryCell) trace(format string, args ...any) {
	c.events = append(c.events, fmt.Sprintf("%8.3fs ", c.now.Sub(c.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// run advances the cell.
func (c *deliveryCell) run(d time.Duration) {
	c.t.Helper()
	for end := c.now.Add(d); c.now.Before(end); {
		c.tick()
	}
}

// runUntil advances the cell until a condition holds. The test fails if it does not within the bound.
func (c *deliveryCell) runUntil(bound time.Duration, what string, holds func() bool) {
	c.t.Helper()
	for end := c.now.Add(bound); !holds(); {
		if !c.now.Before(end) {
			c.printEvents()
			c.t.Fatalf("not reached within %v: %s", bound, what)
		}
		c.tick()
	}
}

// tick advances the cell by deliveryTick.
func (c *deliveryCell) tick() {
	c.perform(c.advance(deliveryTick - time.Millisecond))
	due := c.timers
	c.timers = nil
	for i, timer := range due {
		if timer.at.After(c.now) {
			c.timers = append(c.timers, due[i])
			continue
		}
		timer.do()
	}
	for _, w := range ordered.Map(c.workers) {
		w.advance()
	}
}

// perform carries out the effects of the holder.
func (c *deliveryCell) perform(effects []exchange.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case exchange.Append:
			c.append(e)
		case exchange.LoadJobs:
			c.post(exchange.JobsLoaded{Epoch: e.Epoch, Records: (&fakeStream{records: c.records}).compacted()})
		case exchange.FollowWorkers:
			if e.On {
				c.listWorkers()
			}
		case exchange.LogEvent:
			if e.Message != "state of the cell" {
				c.trace("holder: %s %v", e.Message, e.Fields)
			}
		case exchange.Renew:
			c.send(c.renewalInTransit(e), min(e.Order.MaxWait.Duration(), partialWait)+e.Timeout-e.Order.MaxWait.Duration())
		case exchange.StartRun:
			c.send(c.startInTransit(e), e.Timeout)
		case exchange.StopRun:
			c.send(c.stopInTransit(e), e.Timeout)
		case exchange.ThrottleRun:
			c.send(c.throttleInTransit(e), e.Timeout)
		}
	}
}

// append appends to the log and confirms it.
func (c *deliveryCell) append(e exchange.Append) {
	ended := exchange.AppendEnded{Purpose: e.Purpose, Number: e.Number}
	switch e.Purpose {
	case exchange.ForClaim:
		ended.Offset = c.nextOffset
		c.nextOffset++
	case exchange.ForJournal:
		if c.holdsAppends {
			c.heldAppends = append(c.heldAppends, e)
			return
		}
		for _, r := range e.Append.Records {
			r.Offset = int64(len(c.records))
			c.records = append(c.records, r)
		}
	}
	c.post(ended)
}

// listWorkers delivers the list of workers with their current incarnations.
func (c *deliveryCell) listWorkers() {
	l := order.Listing{Complete: true}
	for _, w := range ordered.Map(c.workers) {
		entry := workerEntry(w.incarnation.Name, w.incarnation.BornUnixMilli)
		entry.Domain = deliveryDomain
		l.Present = append(l.Present, entry)
	}
	c.post(exchange.WorkersRead{Listing: l})
}

// renewalInTransit returns the order for a renewal.
func (c *deliveryCell) renewalInTransit(e exchange.Renew) *transitOrder {
	return &transitOrder{
		kind: renewalOrder, worker: e.Worker, fence: e.Order.Fence, acknowledged: e.Order.Acknowledged, maxWait: e.Order.MaxWait.Duration(),
		respond: func(a order.Answer, r order.Report) {
			for _, end := range r.Ended {
				c.reported[reportedEnd{r.Incarnation, end.Number}] = true
			}
			c.post(exchange.RenewEnded{Worker: e.Worker, Epoch: e.Epoch, Renewal: e.Renewal, Answer: a, Report: r})
		},
		carryOut: func(w *deliveryWorker, answer func(order.Answer, order.Report)) { w.renew(e, answer) },
	}
}

// startInTransit returns the order for a start.
func (c *deliveryCell) startInTransit(e exchange.StartRun) *transitOrder {
	return &transitOrder{
		kind: startOrder, worker: e.Worker, fence: e.Order.Fence, run: e.Order.Run,
		respond: func(a order.Answer, _ order.Report) {
			c.post(exchange.StartEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Fence: e.Order.Fence, Answer: a})
		},
		carryOut: func(w *deliveryWorker, answer func(order.Answer, order.Report)) {
			answer(w.start(e.Order), order.Report{})
		},
	}
}

// stopInTransit returns the order for a stop.
func (c *deliveryCell) stopInTransit(e exchange.StopRun) *transitOrder {
	return &transitOrder{
		kind: stopOrder, worker: e.Worker, fence: e.Order.Fence, run: e.Order.Run,
		respond: func(a order.Answer, _ order.Report) {
			c.post(exchange.StopEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Fence: e.Order.Fence, Answer: a})
		},
		carryOut: func(w *deliveryWorker, answer func(order.Answer, order.Report)) {
			answer(w.stop(e.Order), order.Report{})
		},
	}
}

// throttleInTransit returns the order for a change of pace.
func (c *deliveryCell) throttleInTransit(e exchange.ThrottleRun) *transitOrder {
	return &transitOrder{
		kind: throttleOrder, worker: e.Worker, fence: e.Order.Fence, run: e.Order.Run,
		respond: func(a order.Answer, _ order.Report) {
			c.post(exchange.ThrottleEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Percent: e.Order.Percent, Fence: e.Order.Fence, Answer: a})
		},
		carryOut: func(w *deliveryWorker, answer func(order.Answer, order.Report)) {
			answer(w.throttle(e.Order), order.Report{})
		},
	}
}

// send puts an order in transit. It counts as unanswered after the timeout.
func (c *deliveryCell) send(o *transitOrder, timeout time.Duration) {
	c.sent = append(c.sent, o)
	if o.kind == renewalOrder {
		c.trace("sent: renewal, fence %d, acknowledged %d, wait %v, to %v", o.fence, o.acknowledged, o.maxWait, o.worker)
	} else {
		c.trace("sent: %s of %v run %d, fence %d, to %v", o.kind, o.run.Task, o.run.Number, o.fence, o.worker)
	}
	if c.holds(o) {
		c.trace("  stays in transit")
		c.held = append(c.held, o)
		c.after(timeout, func() { o.end(order.Answer{Outcome: order.Unknown, Problem: "no answer"}, order.Report{}) })
		return
	}
	c.after(deliveryDelay, func() { c.deliver(o) })
}

// end ends the call of an order for the holder, once.
func (o *transitOrder) end(a order.Answer, r order.Report) {
	if !o.isOver {
		o.isOver = true
		o.respond(a, r)
	}
}

// deliver has the worker carry out an order. The holder gets the answer if it still waits for it.
func (c *deliveryCell) deliver(o *transitOrder) {
	w := c.workers[o.worker.Name]
	o.carryOut(w, func(a order.Answer, r order.Report) {
		c.trace("%v answers %s %v: %s %s", w.incarnation, o.kind, o.run.Task, a.Outcome, a.Reason)
		o.end(a, r)
	})
}

// take removes and returns the first held order of a kind.
func (c *deliveryCell) take(kind orderKind) *transitOrder {
	c.t.Helper()
	i := slices.IndexFunc(c.held, func(o *transitOrder) bool { return o.kind == kind })
	if i < 0 {
		c.printEvents()
		c.t.Fatalf("no %s is in transit", kind)
	}
	o := c.held[i]
	c.held = slices.Delete(c.held, i, i+1)
	return o
}

// submit submits a job of one task, which the holder starts at once if it can.
func (c *deliveryCell) submit(id job.ID) { c.submitJob(oneStep(string(id), "quick", 1, false)) }

// submitJob submits a job.
func (c *deliveryCell) submitJob(s job.Submission) {
	c.lastCall++
	c.submitted[s.ID] = s
	c.perform(c.handle(exchange.Submitted{Call: c.lastCall, Submission: s}))
}

// unit returns the task that stands for a task in acknowledged. The success of one member of a gang counts for all.
func (c *deliveryCell) unit(id job.TaskID) job.TaskID {
	if c.submitted[id.Job].Steps[id.Step].Gang {
		id.Index = 0
	}
	return id
}

// workerOf returns a worker that runs a task, or nil.
func (c *deliveryCell) workerOf(id job.TaskID) *deliveryWorker {
	for _, w := range ordered.Map(c.workers) {
		for run := range w.runs {
			if run.Task == id {
				return w
			}
		}
	}
	return nil
}

// restart ends the incarnation of a worker and begins another one with a birth time. Renewals that wait
// at the worker fail, because their connections are closed.
func (c *deliveryCell) restart(name string, born int64) {
	w := c.workers[name]
	c.trace("%v restarts as %d", w.incarnation, born)
	waiting := w.waitingAnswers
	w.begin(order.Incarnation{Name: name, BornUnixMilli: born})
	for _, a := range waiting {
		a.answer(order.Answer{Outcome: order.Unknown, Reason: order.ConnectionClosed, Problem: "EOF"}, order.Report{})
	}
}

// restartSilently does what restart does, but the connections stay open: the calls of the renewals that wait at
// the worker get no answer.
func (c *deliveryCell) restartSilently(name string, born int64) {
	w := c.workers[name]
	c.trace("%v restarts as %d, its connections stay open", w.incarnation, born)
	for _, a := range w.waitingAnswers {
		c.after(a.partUntil.Add(renewalMargin).Sub(c.now), func() {
			a.answer(order.Answer{Outcome: order.Unknown, Problem: "no answer"}, order.Report{})
		})
	}
	w.begin(order.Incarnation{Name: name, BornUnixMilli: born})
}

// requireNoLoss fails the test if a done task was started after its success was acknowledged, or if an end
// was acknowledged that no answer to the holder has listed.
func (c *deliveryCell) requireNoLoss() {
	c.t.Helper()
	if len(c.doneStarts)+len(c.lostEnds) > 0 {
		c.printEvents()
	}
	assert.Check(c.t, len(c.doneStarts) == 0, "started after their success was acknowledged: %v", c.doneStarts)
	assert.Check(c.t, len(c.lostEnds) == 0, "acknowledged, but listed in no answer: %v", c.lostEnds)
}

// printEvents prints what has happened in the cell.
func (c *deliveryCell) printEvents() {
	c.t.Helper()
	for _, e := range c.events {
		c.t.Log(e)
	}
}
