// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"sync"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/httpclient"

	"github.com/sourcegraph/conc"
)

// relayMargin is how much sooner than the sender a relay gives an order up, so that the sender
// hears of it and does not take the relay for silent.
const relayMargin = 50 * time.Millisecond

// Client gives orders to workers through relays, and directly where none carries them.
type Client struct {
	self       claim.Member
	now        func() time.Time
	selector   *Selector
	direct     WorkerCalls
	send       func(ctx context.Context, box claim.Member, b Batch) DeliveryStatus
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines conc.WaitGroup

	mu     sync.Mutex
	lastID uint64
	// waiting has the orders whose answers are waited for, lastAnswerAt when each box last
	// told of any.
	pending      map[uint64]*pendingOrder
	lastAnswerAt map[string]time.Time
	outboxes     map[string]*outbox[Order]
}

// pendingOrder is an order whose answer is waited for.
type pendingOrder struct {
	box string
	// done gets the answer.
	done chan Result
}

// NewClient returns a client that sends batches by send.
func NewClient(self claim.Member, now func() time.Time, r *Selector, direct WorkerCalls, send func(context.Context, claim.Member, Batch) DeliveryStatus) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		self: self, now: now, selector: r, direct: direct, send: send, ctx: ctx, cancel: cancel,
		pending: map[uint64]*pendingOrder{}, lastAnswerAt: map[string]time.Time{}, outboxes: map[string]*outbox[Order]{},
	}
}

// Close ends what is under way and waits for it.
func (c *Client) Close() {
	c.cancel()
	c.goroutines.Wait()
}

// WorkerCalls returns the calls to workers by way of relays.
func (c *Client) WorkerCalls() WorkerCalls {
	return WorkerCalls{
		Renew: func(ctx context.Context, address string, worker order.Incarnation, r order.Renew) (order.Report, order.Answer) {
			a, ok := c.sendViaRelay(ctx, Order{Worker: worker, Address: address, Renew: &r})
			if !ok {
				return c.direct.Renew(ctx, address, worker, r)
			}
			if a.Report == nil {
				a.Report = &order.Report{Clock: a.Answer.Clock}
			}
			a.Report.Incarnation.Name = worker.Name
			return *a.Report, a.Answer
		},
		Start: func(ctx context.Context, address string, worker order.Incarnation, s order.Start) order.Answer {
			if a, ok := c.sendViaRelay(ctx, Order{Worker: worker, Address: address, Start: &s}); ok {
				return a.Answer
			}
			return c.direct.Start(ctx, address, worker, s)
		},
		Stop: func(ctx context.Context, address string, worker order.Incarnation, s order.Stop) order.Answer {
			if a, ok := c.sendViaRelay(ctx, Order{Worker: worker, Address: address, Stop: &s}); ok {
				return a.Answer
			}
			return c.direct.Stop(ctx, address, worker, s)
		},
		Throttle: func(ctx context.Context, address string, worker order.Incarnation, t order.Throttle) order.Answer {
			if a, ok := c.sendViaRelay(ctx, Order{Worker: worker, Address: address, Throttle: &t}); ok {
				return a.Answer
			}
			return c.direct.Throttle(ctx, address, worker, t)
		},
	}
}

// sendViaRelay gives an order through a relay and waits for its answer. It returns false if it
// has surely not been given and none of its time was lost, so that it can be given
// directly.
func (c *Client) sendViaRelay(ctx context.Context, o Order) (Result, bool) {
	box, ok := c.selector.Pick(c.now(), o.Worker.Name)
	deadline, bounded := ctx.Deadline()
	if !ok || !bounded {
		return Result{}, false
	}
	within := deadline.Sub(c.now())
	o.AnswerTimeout = job.Milliseconds((within - min(relayMargin, within/4)).Milliseconds())
	if o.AnswerTimeout <= 0 {
		return Result{}, false
	}
	overdue, ok := httpclient.OverdueOf(ctx)
	if !ok {
		overdue = within
	}
	o.OverdueAfter = job.Milliseconds(overdue.Milliseconds())
	p := &pendingOrder{box: box.Box, done: make(chan Result, 1)}
	sentAt := c.now()
	if !c.enqueue(box, &o, p) {
		return Result{}, false
	}
	timer := time.NewTimer(overdue)
	defer timer.Stop()
	for {
		select {
		case a := <-p.done:
			return c.handleResult(o, a)
		case <-timer.C:
			c.handleOverdue(o.Worker.Name, box.Box, sentAt)
			continue
		case <-ctx.Done():
		case <-c.ctx.Done():
		}
		c.removePending(o.ID)
		return unknownResult(o.ID, "no answer through "+box.Box), true
	}
}

// unknownResult is the answer to an order of which nothing is known.
func unknownResult(id uint64, problem string) Result {
	return Result{ID: id, Answer: order.Answer{Outcome: order.Unknown, Problem: problem}}
}

// handleResult takes the answer to an order. One that was surely not sent is given directly.
func (c *Client) handleResult(o Order, a Result) (Result, bool) {
	if a.Answer.Outcome == "" {
		return a, false
	}
	if a.Answer.Outcome == order.Unknown {
		c.selector.RecordUnanswered(c.now(), o.Worker.Name)
	}
	return a, true
}

// enqueue has an order sent to a box.
func (c *Client) enqueue(box claim.Member, o *Order, p *pendingOrder) bool {
	c.mu.Lock()
	c.lastID++
	o.ID = c.lastID
	c.pending[o.ID] = p
	out := c.outboxes[box.Address]
	if out == nil {
		out = &outbox[Order]{box: box, now: c.now, send: c.sendOrders, onFailure: func(items []Order, f DeliveryStatus) { c.handleBatchFailure(box.Box, items, f) }}
		c.outboxes[box.Address] = out
	}
	c.mu.Unlock()
	if out.add(c.ctx, &c.goroutines, *o) {
		return true
	}
	c.removePending(o.ID)
	return false
}

// sendOrders sends a batch.
func (c *Client) sendOrders(ctx context.Context, box claim.Member, orders []Order) DeliveryStatus {
	return c.send(ctx, box, Batch{From: c.self.Address, Incarnation: c.self.Incarnation, Orders: orders})
}

// handleBatchFailure ends the wait for orders whose batch has not surely arrived: of one that was not
// sent the answer is empty.
func (c *Client) handleBatchFailure(box string, orders []Order, f DeliveryStatus) {
	c.selector.RecordBoxFailure(c.now(), box)
	for _, o := range orders {
		a := unknownResult(o.ID, "the link to "+box+" was lost")
		if f == NotSent {
			a.Answer = order.Answer{}
		}
		c.deliver(a)
	}
}

// HandleResults takes the ends of orders that a relay tells of.
func (c *Client) HandleResults(b Batch) {
	if b.Incarnation != c.self.Incarnation {
		return
	}
	for _, a := range b.Results {
		if box := c.deliver(a); box != "" {
			c.recordAnswer(box)
		}
	}
}

// deliver hands an answer to who waits for it, and returns through which box it came.
func (c *Client) deliver(a Result) (box string) {
	c.mu.Lock()
	p := c.pending[a.ID]
	delete(c.pending, a.ID)
	c.mu.Unlock()
	if p == nil {
		return ""
	}
	p.done <- a
	return p.box
}

// recordAnswer notes that a box has told of an order.
func (c *Client) recordAnswer(box string) {
	c.mu.Lock()
	c.lastAnswerAt[box] = c.now()
	c.mu.Unlock()
	c.selector.RecordBoxAnswer(box)
}

// handleOverdue has a worker that left an order unanswered get the next ones directly, and puts
// its relay aside if that has told of nothing since the order was sent.
func (c *Client) handleOverdue(worker, box string, sentAt time.Time) {
	c.selector.RecordUnanswered(c.now(), worker)
	c.mu.Lock()
	silent := c.lastAnswerAt[box].Before(sentAt)
	c.mu.Unlock()
	if silent && c.ctx.Err() == nil {
		c.selector.RecordBoxFailure(c.now(), box)
	}
}

// removePending ends the wait for an order.
func (c *Client) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}
