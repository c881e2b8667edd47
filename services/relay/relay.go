// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relay has entry boxes near the workers carry a holder's orders to them, in
// batches over the links between boxes. The holder alone decides and all orders bear its
// fence number; a relay keeps nothing and renews nothing by itself, so that leases still
// end with the holder's authority, and a relay that is lost costs its workers one order
// each, which is given again directly.
//
// Without relays one box opens connections to each worker and pays for an HTTP exchange
// for each order, so that its processor and its link end the cell's size: worth was 0.133
// without and 0.303 with them on a day of 120 workers and links of 2 Mbit/s (one play each).
//
//   - roster says which box carries a worker's orders, if any;
//   - outbox gathers what goes to one box;
//   - client is the holder's side, server the relay's;
//   - codec packs orders and their ends for the wire.
package relay

import (
	"context"
	"errors"
	"fmt"

	"saddlevane/models/job"
	"saddlevane/models/order"
)

// WorkerCalls are the calls to workers. Their answers say what became of the order.
type WorkerCalls struct {
	Renew func(ctx context.Context, address string, worker order.Incarnation, r order.Renew) (order.Report, order.Answer)
	Start func(ctx context.Context, address string, worker order.Incarnation, s order.Start) order.Answer
	Stop  func(ctx context.Context, address string, worker order.Incarnation, s order.Stop) order.Answer
	// Throttle sets the pace of a run.
	Throttle func(ctx context.Context, address string, worker order.Incarnation, t order.Throttle) order.Answer
}

// Order is one order on its way to a worker. Exactly one of its parts is set.
type Order struct {
	// ID tells the orders of one sender apart.
	ID       uint64
	Worker   order.Incarnation
	Address  string
	Renew    *order.Renew
	Start    *order.Start
	Stop     *order.Stop
	Throttle *order.Throttle
	// Within is how long the answer counts from now on, Overdue after which time it is
	// overdue, if that is sooner.
	AnswerTimeout job.Milliseconds
	OverdueAfter  job.Milliseconds
}

// Check returns an error if the order makes no sense.
func (o Order) Check() error {
	parts := 0
	for _, set := range []bool{o.Renew != nil, o.Start != nil, o.Stop != nil, o.Throttle != nil} {
		if set {
			parts++
		}
	}
	if parts != 1 {
		return fmt.Errorf("order %d has %d parts", o.ID, parts)
	}
	if o.Worker.Name == "" || o.Address == "" || o.AnswerTimeout <= 0 {
		return fmt.Errorf("order %d: worker %q at %q within %v", o.ID, o.Worker.Name, o.Address, o.AnswerTimeout.Duration())
	}
	return nil
}

// Result is the end of one order.
type Result struct {
	ID     uint64
	Answer order.Answer
	// Report is set for a renewal that was carried out.
	Report *order.Report
}

// Batch carries orders to a relay, or their ends back.
type Batch struct {
	// From is where the sender serves other boxes, Life its incarnation: ends of another
	// life's orders are dropped.
	From, Incarnation string
	Orders            []Order
	Results           []Result
}

// Check returns an error if the batch makes no sense.
func (b Batch) Check() error {
	if b.From == "" || b.Incarnation == "" {
		return errors.New("a batch without its sender")
	}
	for _, o := range b.Orders {
		if err := o.Check(); err != nil {
			return err
		}
	}
	return nil
}

// DeliveryStatus says what is known of a batch that was sent.
type DeliveryStatus string

// The fates. Lost batches may have arrived, Unsent ones have surely not.
const (
	Delivered       DeliveryStatus = "arrived"
	DeliveryUnknown DeliveryStatus = "lost"
	NotSent         DeliveryStatus = "unsent"
)
