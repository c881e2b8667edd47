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

// way is how much sooner than the sender a relay gives an order up, so that the sender
// hears of it and does not take the relay for silent.
const way = 50 * time.Millisecond

// Client gives orders to workers through relays, and directly where none carries them.
type Client struct {
	self   claim.Member
	now    func() time.Time
	roster *Roster
	direct Workers
	send   func(ctx context.Context, box claim.Member, b Batch) Fate
	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup

	mu     sync.Mutex
	lastID uint64
	// waiting has the orders whose answers are waited for, heardAt when each box last
	// told of any.
	waiting  map[uint64]*pending
	heardAt  map[string]time.Time
	outboxes map[string]*outbox[Order]
}

// pending is an order whose answer is waited for.
type pending struct {
	box string
	// done gets the answer.
	done chan Answered
}

// NewClient returns a client that sends batches by send.
func NewClient(self claim.Member, now func() time.Time, r *Roster, direct Workers, send func(context.Context, claim.Member, Batch) Fate) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		self: self, now: now, roster: r, direct: direct, send: send, ctx: ctx, cancel: cancel,
		waiting: map[uint64]*pending{}, heardAt: map[string]time.Time{}, outboxes: map[string]*outbox[Order]{},
	}
}

// Close ends what is under way and waits for it.
func (c *Client) Close() {
	c.cancel()
	c.tasks.Wait()
}

// Workers returns the calls to workers by way of relays.
func (c *Client) Workers() Workers {
	return Workers{
		Renew: func(ctx context.Context, address string, worker order.Incarnation, r order.Renew) (order.Report, order.Answer) {
			a, ok := c.carry(ctx, Order{Worker: worker, Address: address, Renew: &r})
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
			if a, ok := c.carry(ctx, Order{Worker: worker, Address: address, Start: &s}); ok {
				return a.Answer
			}
			return c.direct.Start(ctx, address, worker, s)
		},
		Stop: func(ctx context.Context, address string, worker order.Incarnation, s order.Stop) order.Answer {
			if a, ok := c.carry(ctx, Order{Worker: worker, Address: address, Stop: &s}); ok {
				return a.Answer
			}
			return c.direct.Stop(ctx, address, worker, s)
		},
		Throttle: func(ctx context.Context, address string, worker order.Incarnation, t order.Throttle) order.Answer {
			if a, ok := c.carry(ctx, Order{Worker: worker, Address: address, Throttle: &t}); ok {
				return a.Answer
			}
			return c.direct.Throttle(ctx, address, worker, t)
		},
	}
}

// carry gives an order through a relay and waits for its answer. It returns false if it
// has surely not been given and none of its time was lost, so that it can be given
// directly.
func (c *Client) carry(ctx context.Context, o Order) (Answered, bool) {
	box, ok := c.roster.Pick(c.now(), o.Worker.Name)
	deadline, bounded := ctx.Deadline()
	if !ok || !bounded {
		return Answered{}, false
	}
	within := deadline.Sub(c.now())
	o.Within = job.Milliseconds((within - min(way, within/4)).Milliseconds())
	if o.Within <= 0 {
		return Answered{}, false
	}
	overdue, ok := httpclient.OverdueOf(ctx)
	if !ok {
		overdue = within
	}
	o.Overdue = job.Milliseconds(overdue.Milliseconds())
	p := &pending{box: box.Box, done: make(chan Answered, 1)}
	sentAt := c.now()
	if !c.enqueue(box, &o, p) {
		return Answered{}, false
	}
	timer := time.NewTimer(overdue)
	defer timer.Stop()
	for {
		select {
		case a := <-p.done:
			return c.took(o, a)
		case <-timer.C:
			c.overdue(o.Worker.Name, box.Box, sentAt)
			continue
		case <-ctx.Done():
		case <-c.ctx.Done():
		}
		c.forget(o.ID)
		return unknown(o.ID, "no answer through "+box.Box), true
	}
}

// unknown is the answer to an order of which nothing is known.
func unknown(id uint64, problem string) Answered {
	return Answered{ID: id, Answer: order.Answer{Outcome: order.Unknown, Problem: problem}}
}

// took takes the answer to an order. One that was surely not sent is given directly.
func (c *Client) took(o Order, a Answered) (Answered, bool) {
	if a.Answer.Outcome == "" {
		return a, false
	}
	if a.Answer.Outcome == order.Unknown {
		c.roster.Unanswered(c.now(), o.Worker.Name)
	}
	return a, true
}

// enqueue has an order sent to a box.
func (c *Client) enqueue(box claim.Member, o *Order, p *pending) bool {
	c.mu.Lock()
	c.lastID++
	o.ID = c.lastID
	c.waiting[o.ID] = p
	out := c.outboxes[box.Address]
	if out == nil {
		out = &outbox[Order]{box: box, now: c.now, send: c.sendOrders, lost: func(items []Order, f Fate) { c.lost(box.Box, items, f) }}
		c.outboxes[box.Address] = out
	}
	c.mu.Unlock()
	if out.add(c.ctx, &c.tasks, *o) {
		return true
	}
	c.forget(o.ID)
	return false
}

// sendOrders sends a batch.
func (c *Client) sendOrders(ctx context.Context, box claim.Member, orders []Order) Fate {
	return c.send(ctx, box, Batch{From: c.self.Address, Life: c.self.Incarnation, Orders: orders})
}

// lost ends the wait for orders whose batch has not surely arrived: of one that was not
// sent the answer is empty.
func (c *Client) lost(box string, orders []Order, f Fate) {
	c.roster.Failed(c.now(), box)
	for _, o := range orders {
		a := unknown(o.ID, "the link to "+box+" was lost")
		if f == Unsent {
			a.Answer = order.Answer{}
		}
		c.deliver(a)
	}
}

// Ended takes the ends of orders that a relay tells of.
func (c *Client) Ended(b Batch) {
	if b.Life != c.self.Incarnation {
		return
	}
	for _, a := range b.Ended {
		if box := c.deliver(a); box != "" {
			c.heard(box)
		}
	}
}

// deliver hands an answer to who waits for it, and returns through which box it came.
func (c *Client) deliver(a Answered) (box string) {
	c.mu.Lock()
	p := c.waiting[a.ID]
	delete(c.waiting, a.ID)
	c.mu.Unlock()
	if p == nil {
		return ""
	}
	p.done <- a
	return p.box
}

// heard notes that a box has told of an order.
func (c *Client) heard(box string) {
	c.mu.Lock()
	c.heardAt[box] = c.now()
	c.mu.Unlock()
	c.roster.Answered(box)
}

// overdue has a worker that left an order unanswered get the next ones directly, and puts
// its relay aside if that has told of nothing since the order was sent.
func (c *Client) overdue(worker, box string, sentAt time.Time) {
	c.roster.Unanswered(c.now(), worker)
	c.mu.Lock()
	silent := c.heardAt[box].Before(sentAt)
	c.mu.Unlock()
	if silent && c.ctx.Err() == nil {
		c.roster.Failed(c.now(), box)
	}
}

// forget ends the wait for an order.
func (c *Client) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}
