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
	// worker is the name of the worker, box and address are the name and the address of the relay.
	worker, box, address string
	sentAt               time.Time
	// timer fires when the answer is overdue, and then, afterOverdue later, when it is too late.
	timer        *time.Timer
	afterOverdue time.Duration
	isOverdue    bool
	handlers     Handlers
}

// Handlers are called when something happens to an order. Exactly one of Done and NotSent is called,
// unless the client is closed first.
type Handlers struct {
	// Overdue, if set, is called when the answer is overdue. Done may be called later, or already have
	// been called.
	Overdue func()
	// Done is called with the result. The outcome is Unknown if there is none in time.
	Done func(Result)
	// NotSent is called if the order was certainly not sent, so that it can be sent directly.
	NotSent func()
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

// Close cancels all calls and waits until they have returned. No handler is called for the orders that
// have no result yet.
func (c *Client) Close() {
	c.cancel()
	c.mu.Lock()
	for id, p := range c.pending {
		p.timer.Stop()
		delete(c.pending, id)
	}
	c.mu.Unlock()
	c.goroutines.Wait()
}

// Direct returns the functions that send orders to workers without a relay, with the same check of
// their authority.
func (c *Client) Direct() WorkerCalls { return c.direct }

// WorkerCalls returns functions that send orders to workers through relays.
func (c *Client) WorkerCalls() WorkerCalls {
	return WorkerCalls{
		Renew: func(ctx context.Context, address string, worker order.Incarnation, r order.Renew) (order.Report, order.Answer) {
			a, ok := c.sendViaRelay(ctx, Order{Worker: worker, Address: address, Renew: &r})
			if !ok {
				return c.direct.RenewInParts(ctx, address, worker, r)
			}
			return a.RenewalReport(worker), a.Answer
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
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return Result{}, false
	}
	timeout := deadline.Sub(c.now())
	overdue, ok := httpclient.OverdueAfter(ctx)
	if !ok {
		overdue = timeout
	}
	results := make(chan Result, 1)
	id, ok := c.begin(o, timeout, overdue, Handlers{
		Done: func(result Result) { results <- result },
		// A result without an outcome stands for an order that was not sent.
		NotSent: func() { results <- Result{} },
	})
	if !ok {
		return Result{}, false
	}
	stopped := ctx.Done()
	for {
		select {
		case result := <-results:
			return result, result.Answer.Outcome != ""
		case <-c.ctx.Done():
			return unknownResult(id, problemNoAnswer), true
		case <-stopped:
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				// The timer of the order fires at about the same time.
				stopped = nil
				continue
			}
			c.removePending(id)
			return unknownResult(id, problemNoAnswer), true
		}
	}
}

// problemNoAnswer describes the failure of an order whose result did not arrive.
const problemNoAnswer = "no answer via a relay"

// Begin sends an order through a relay and returns at once. The answer is overdue after the time
// overdue and too late after timeout. The handlers are called from other goroutines. It returns false,
// and calls none of them, if the worker has no relay or too many orders wait for it.
func (c *Client) Begin(o Order, timeout, overdue time.Duration, h Handlers) bool {
	_, ok := c.begin(o, timeout, overdue, h)
	return ok
}

// begin does the same and returns the ID of the order.
func (c *Client) begin(o Order, timeout, overdue time.Duration, h Handlers) (id uint64, ok bool) {
	now := c.now()
	box, ok := c.selector.Pick(now, o.Worker.Name)
	o.AnswerTimeout = job.Milliseconds((timeout - min(relayMargin, timeout/4)).Milliseconds())
	if !ok || o.AnswerTimeout <= 0 {
		return 0, false
	}
	o.OverdueAfter = job.Milliseconds(overdue.Milliseconds())
	overdue = min(overdue, timeout)
	p := &pendingOrder{worker: o.Worker.Name, box: box.Box, address: box.Address, sentAt: now, afterOverdue: timeout - overdue, handlers: h}
	return c.enqueue(box, o, p, overdue)
}

// unknownResult returns the result of an order that may or may not have been carried out.
func unknownResult(id uint64, problem string) Result {
	return Result{ID: id, Answer: order.Answer{Outcome: order.Unknown, Problem: problem}}
}

// finish calls the handlers of an order with its result. A result without an outcome means that the
// order was not sent. If the outcome is unknown, the worker's next orders are sent directly.
func (c *Client) finish(p *pendingOrder, result Result) {
	if result.Answer.Outcome == "" {
		p.handlers.NotSent()
		return
	}
	if result.Answer.Outcome == order.Unknown {
		c.selector.RecordUnanswered(c.now(), p.worker)
	}
	p.handlers.Done(result)
}

// enqueue adds an order to the next batch to a box and returns its ID. It returns false if too many
// orders are queued for the box.
func (c *Client) enqueue(box claim.Member, o Order, p *pendingOrder, overdue time.Duration) (id uint64, ok bool) {
	c.mu.Lock()
	c.lastID++
	o.ID = c.lastID
	if c.ctx.Err() != nil {
		c.mu.Unlock()
		return o.ID, true
	}
	c.pending[o.ID] = p
	p.timer = time.AfterFunc(overdue, func() { c.handleTimer(o.ID) })
	out := c.outboxes[box.Address]
	if out == nil {
		out = &outbox[Order]{
			box: box, now: c.now, send: c.sendOrders,
			onFailure: func(items []Order, status DeliveryStatus) { c.handleBatchFailure(box.Box, items, status) },
		}
		c.outboxes[box.Address] = out
	}
	c.mu.Unlock()
	if out.add(c.ctx, &c.goroutines, o) {
		return o.ID, true
	}
	c.removePending(o.ID)
	return o.ID, false
}

// handleTimer handles an order whose answer is overdue or too late.
func (c *Client) handleTimer(id uint64) {
	c.mu.Lock()
	p := c.pending[id]
	if p == nil || c.ctx.Err() != nil {
		c.mu.Unlock()
		return
	}
	wasOverdue, tooLate := p.isOverdue, p.isOverdue || p.afterOverdue <= 0
	p.isOverdue = true
	if tooLate {
		delete(c.pending, id)
	} else {
		p.timer.Reset(p.afterOverdue)
	}
	c.mu.Unlock()
	if !wasOverdue {
		c.handleOverdue(p.worker, p.box, p.sentAt)
		if p.handlers.Overdue != nil {
			p.handlers.Overdue()
		}
	}
	if tooLate {
		p.handlers.Done(unknownResult(id, "no answer via relay "+p.box))
	}
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
	// Close takes the lock after it has ended the context, and waits for the goroutines after that.
	defer c.mu.Unlock()
	for id, p := range c.pending {
		if p.address == address {
			lost = append(lost, id)
		}
	}
	if len(lost) == 0 || c.ctx.Err() != nil {
		return
	}
	// The handlers may block, and the link is not closed before this function has returned.
	c.goroutines.Go(func() {
		for _, id := range lost {
			c.deliver(unknownResult(id, "the link to the relay was closed"))
		}
	})
}

// HandleResults processes the results of orders that a relay sent back. Those for another
// incarnation of this box are dropped.
func (c *Client) HandleResults(b Batch) {
	if b.Incarnation != c.self.Incarnation {
		return
	}
	answered := c.takeAnswered(b.Results)
	for i, result := range b.Results {
		if answered[i] != nil {
			if result.Answer.Outcome == "" {
				// The order was sent, whatever the relay did with it.
				result = unknownResult(result.ID, "relay "+answered[i].box+" sent no outcome")
			}
			c.finish(answered[i], result)
		}
	}
}

// takeAnswered removes the orders with the given results from those that wait for one, and records
// that their boxes have sent results. Its entry for a result that nothing waits for is nil.
func (c *Client) takeAnswered(results []Result) []*pendingOrder {
	now, taken, boxes := c.now(), make([]*pendingOrder, len(results)), map[string]bool{}
	c.mu.Lock()
	for i, result := range results {
		p := c.takePending(result.ID)
		taken[i] = p
		if p != nil {
			c.lastAnswerAt[p.box] = now
			boxes[p.box] = true
		}
	}
	c.mu.Unlock()
	for box := range boxes {
		c.selector.RecordBoxAnswer(box)
	}
	return taken
}

// takePending removes an order from those that wait for a result. It returns nil if it is not one of
// them. c.mu must be held.
func (c *Client) takePending(id uint64) *pendingOrder {
	p := c.pending[id]
	if p != nil {
		p.timer.Stop()
		delete(c.pending, id)
	}
	return p
}

// deliver passes a result to the handlers of its order, if it still waits for one.
func (c *Client) deliver(result Result) {
	c.mu.Lock()
	p := c.takePending(result.ID)
	c.mu.Unlock()
	if p != nil {
		c.finish(p, result)
	}
}

// handleOverdue handles an order whose answer is overdue: the worker's next orders are sent
// directly. If its relay has sent no result since the order was sent, the relay is excluded
// for a while.
func (c *Client) handleOverdue(worker, box string, sentAt time.Time) {
	c.selector.RecordUnanswered(c.now(), worker)
	c.mu.Lock()
	unresponsive := c.lastAnswerAt[box].Before(sentAt)
	c.mu.Unlock()
	if unresponsive && c.ctx.Err() == nil {
		c.selector.RecordBoxFailure(c.now(), box)
	}
}

// removePending removes an order from those that wait for a result.
func (c *Client) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takePending(id)
}
