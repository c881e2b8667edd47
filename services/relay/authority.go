// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"

	"saddlevane/models/claim"
	"saddlevane/models/order"
)

// answerAuthorityEnded is the answer to an order that was not sent because the authority under which it was
// decided has ended.
var answerAuthorityEnded = order.Answer{Outcome: order.NotDone, Problem: "the authority under which it was decided has ended"}

// fence returns the fence number of the order.
func (o Order) fence() int64 {
	switch {
	case o.Renew != nil:
		return o.Renew.Fence
	case o.Start != nil:
		return o.Start.Fence
	case o.Stop != nil:
		return o.Stop.Fence
	default:
		return o.Throttle.Fence
	}
}

// whileAuthorized returns the calls with a check before each of them that orders with its fence number may
// still be sent.
func (c WorkerCalls) whileAuthorized(mayOrder func(fence int64) bool) WorkerCalls {
	return WorkerCalls{
		Renew: func(ctx context.Context, address string, worker order.Incarnation, r order.Renew) (order.Report, order.Answer) {
			if !mayOrder(r.Fence) {
				return order.Report{}, answerAuthorityEnded
			}
			return c.Renew(ctx, address, worker, r)
		},
		Start: func(ctx context.Context, address string, worker order.Incarnation, s order.Start) order.Answer {
			if !mayOrder(s.Fence) {
				return answerAuthorityEnded
			}
			return c.Start(ctx, address, worker, s)
		},
		Stop: func(ctx context.Context, address string, worker order.Incarnation, s order.Stop) order.Answer {
			if !mayOrder(s.Fence) {
				return answerAuthorityEnded
			}
			return c.Stop(ctx, address, worker, s)
		},
		Throttle: func(ctx context.Context, address string, worker order.Incarnation, t order.Throttle) order.Answer {
			if !mayOrder(t.Fence) {
				return answerAuthorityEnded
			}
			return c.Throttle(ctx, address, worker, t)
		},
	}
}

// sendOrders sends a batch of orders to a box. It leaves out those that waited until the authority under
// which they were decided ended, or until their caller gave them up.
func (c *Client) sendOrders(ctx context.Context, box claim.Member, orders []Order) DeliveryStatus {
	valid := make([]Order, 0, len(orders))
	for _, o := range orders {
		switch {
		case !c.isPending(o.ID):
		case !c.mayOrder(o.fence()):
			c.deliver(Result{ID: o.ID, Answer: answerAuthorityEnded})
		default:
			valid = append(valid, o)
		}
	}
	if len(valid) == 0 {
		return Delivered
	}
	return c.send(ctx, box, Batch{From: c.self.Address, Incarnation: c.self.Incarnation, Orders: valid})
}

// isPending reports whether a caller waits for the result of an order.
func (c *Client) isPending(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending[id] != nil
}
