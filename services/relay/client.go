// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/httpclient"

	"github.com/sourcegraph/conc"
)

// relayMargin is how much earlier than the sender a relay gives up waiting for a worker, so
// that its result reaches the sender in time and the relay is not considered unresponsive.
const relayMargin = 50 * time.Millisecond

// Client sends orders to workers through relays, or directly if a worker has no relay.
type Client struct {
	self     claim.Member
	now      func() time.Time
	selector *Selector
	direct   WorkerCalls
	// mayOrder reports whether orders with a fence number may still be sent.
	mayOrder   func(fence int64) bool
	send       func(ctx context.Context, box claim.Member, b Batch) DeliveryStatus
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines conc.WaitGroup

	mu     sync.Mutex
	lastID uint64
	// pending holds the orders that have no result yet, lastAnswerAt the time of the last
	// result from each box.
	pending      map[uint64]*pendingOrder
	lastAnswerAt map[string]time.Time
	outboxes     map[string]*outbox[Order]
}

// pendingOrder is an order that has no result yet.
type pendingOrder struct {
	// box and address are the name and the address of the relay.
	box, address string
	// done receives the result.
	done chan Result
}

// NewClient returns a client that sends batches with send, and orders to workers without a
// relay with direct. Before it sends an order it asks mayOrder whether the authority under which
// it was decided still exists.
func NewClient(self claim.Member, now func() time.Time, selector *Selector, direct WorkerCalls, mayOrder func(fence int64) bool,
	send func(context.Context, claim.Member, Batch) DeliveryStatus,
) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		self: self, now: now, selector: selector, direct: direct.whileAuthorized(mayOrder), mayOrder: mayOrder, send: send, ctx: ctx, cancel: cancel,
		pending: map[uint64]*pendingOrder{}, lastAnswerAt: map[string]time.Time{}, outboxes: map[string]*outbox[Order]{},
	}
}

// Close cancels all calls and waits until they have returned.
func (c *Client) Close() {
	c.cancel()
	c.goroutines.Wait()
}

// WorkerCalls returns functions that send orders to workers through relays.
func (c *Client) WorkerCalls() WorkerCalls {
	return WorkerCalls{
		Renew: func(ctx context.Context, address string, worker order.Incarnation, r order.Renew) (order.Report, order.Answer) {
			a, ok := c.sendViaRelay(ctx, Order{Worker: worker, Address: address, Renew: &r})
			if !ok {
				return c.direct.renew(ctx, address, worker, r)
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

// sendViaRelay sends an order through a relay and waits for its result. It returns false if
// the order was certainly not sent and no time was spent waiting for the worker, so that the
// caller can send it directly.
func (c *Client) sendViaRelay(ctx context.Context, o Order) (Result, bool) {
	box, ok := c.selector.Pick(c.now(), o.Worker.Name)
	deadline, bounded := ctx.Deadline()
	if !ok || !bounded {
		return Result{}, false
	}
	timeout := deadline.Sub(c.now())
	o.AnswerTimeout = job.Milliseconds((timeout - min(relayMargin, timeout/4)).Milliseconds())
	if o.AnswerTimeout <= 0 {
		return Result{}, false
	}
	overdue, ok := httpclient.OverdueAfter(ctx)
	if !ok {
		overdue = timeout
	}
	o.OverdueAfter = job.Milliseconds(overdue.Milliseconds())
	p := &pendingOrder{box: box.Box, address: box.Address, done: make(chan Result, 1)}
	sentAt := c.now()
	if !c.enqueue(box, &o, p) {
		return Result{}, false
	}
	timer := time.NewTimer(overdue)
	defer timer.Stop()
	isOverdue := false
	for {
		select {
		case result := <-p.done:
			return c.handleResult(o, result)
		case <-timer.C:
			isOverdue = true
			c.handleOverdue(o.Worker.Name, box.Box, sentAt)
			continue
		case <-ctx.Done():
			if !isOverdue && errors.Is(ctx.Err(), context.DeadlineExceeded) {
				c.handleOverdue(o.Worker.Name, box.Box, sentAt)
			}
		case <-c.ctx.Done():
		}
		c.removePending(o.ID)
		return unknownResult(o.ID, "no answer via relay "+box.Box), true
	}
}

// unknownResult returns the result of an order that may or may not have been carried out.
func unknownResult(id uint64, problem string) Result {
	return Result{ID: id, Answer: order.Answer{Outcome: order.Unknown, Problem: problem}}
}

// handleResult returns a result, or false if it is empty because the order was not sent. If
// the outcome is unknown, the worker's next orders are sent directly.
func (c *Client) handleResult(o Order, result Result) (Result, bool) {
	if result.Answer.Outcome == "" {
		return result, false
	}
	if result.Answer.Outcome == order.Unknown {
		c.selector.RecordUnanswered(c.now(), o.Worker.Name)
	}
	return result, true
}

// enqueue adds an order to the next batch to a box and assigns its ID. It returns false if
// too many orders are queued for the box.
func (c *Client) enqueue(box claim.Member, o *Order, p *pendingOrder) bool {
	c.mu.Lock()
	c.lastID++
	o.ID = c.lastID
	c.pending[o.ID] = p
	out := c.outboxes[box.Address]
	if out == nil {
		out = &outbox[Order]{
			box: box, now: c.now, send: c.sendOrders,
			onFailure: func(items []Order, status DeliveryStatus) { c.handleBatchFailure(box.Box, items, status) },
		}
		c.outboxes[box.Address] = out
	}
	c.mu.Unlock()
	if out.add(c.ctx, &c.goroutines, *o) {
		return true
	}
	c.removePending(o.ID)
	return false
}

// handleBatchFailure delivers results for the orders of a batch that was not confirmed. The
// outcome is unknown, or empty if the batch was not sent.
func (c *Client) handleBatchFailure(box string, orders []Order, status DeliveryStatus) {
	c.selector.RecordBoxFailure(c.now(), box)
	for _, o := range orders {
		result := unknownResult(o.ID, "the link to relay "+box+" failed")
		if status == NotSent {
			result.Answer = order.Answer{}
		}
		c.deliver(result)
	}
}

// HandleLinkClosed handles the end of the link to a box: it may be lost, so that the results of the
// orders which it relays may never come.
func (c *Client) HandleLinkClosed(address string) {
	var lost []uint64
	c.mu.Lock()
	for id, p := range c.pending {
		if p.address == address {
			lost = append(lost, id)
		}
	}
	c.mu.Unlock()
	for _, id := range lost {
		c.deliver(unknownResult(id, "the link to the relay was closed"))
	}
}

// HandleResults processes the results of orders that a relay sent back. Those for another
// incarnation of this box are dropped.
func (c *Client) HandleResults(b Batch) {
	if b.Incarnation != c.self.Incarnation {
		return
	}
	for _, result := range b.Results {
		if box := c.deliver(result); box != "" {
			c.recordAnswer(box)
		}
	}
}

// deliver passes a result to the goroutine that waits for it. It returns the box through
// which the order was sent, or "" if nothing waits for the result.
func (c *Client) deliver(result Result) (box string) {
	c.mu.Lock()
	p := c.pending[result.ID]
	delete(c.pending, result.ID)
	c.mu.Unlock()
	if p == nil {
		return ""
	}
	p.done <- result
	return p.box
}

// recordAnswer records that a box has sent a result.
func (c *Client) recordAnswer(box string) {
	c.mu.Lock()
	c.lastAnswerAt[box] = c.now()
	c.mu.Unlock()
	c.selector.RecordBoxAnswer(box)
}

// handleOverdue handles an order whose answer is overdue: the worker's next orders are sent
// directly. If its relay has sent no result since the order was sent, the relay is excluded
// for a while.
func (c *Client) handleOverdue(worker, box string, sentAt time.Time) {
	c.selector.RecordUnanswered(c.now(), worker)
	c.mu.Lock()
	silent := c.lastAnswerAt[box].Before(sentAt)
	c.mu.Unlock()
	if silent && c.ctx.Err() == nil {
		c.selector.RecordBoxFailure(c.now(), box)
	}
}

// removePending removes an order from those that wait for a result.
func (c *Client) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}
