// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package relay sends a holder's orders to workers through entry boxes near them, called
// relays, in batches over the links between boxes. Only the holder makes decisions, and
// each order carries its fence number. A relay stores nothing and extends no lease by
// itself, so leases still end with the holder's authority. If a relay fails, each of its
// workers loses one order, which the holder sends again directly.
//
// Without relays, the holder opens connections to every worker and pays for an HTTP
// exchange per order, so its processor and its link limit the size of the cell.
//
//   - Selector selects the relay of a worker, if any;
//   - outbox batches what is sent to one box;
//   - Client is the holder's side, Server the relay's;
//   - the codec packs orders and results for the wire.
package relay

import (
	"context"
	"errors"
	"fmt"

	"saddlevane/models/job"
	"saddlevane/models/order"
)

// WorkerCalls holds the functions that send orders to workers. The returned answer holds
// the outcome of the order.
type WorkerCalls struct {
	Renew func(ctx context.Context, address string, worker order.Incarnation, r order.Renew) (order.Report, order.Answer)
	Start func(ctx context.Context, address string, worker order.Incarnation, s order.Start) order.Answer
	Stop  func(ctx context.Context, address string, worker order.Incarnation, s order.Stop) order.Answer
	// Throttle limits the speed of a run.
	Throttle func(ctx context.Context, address string, worker order.Incarnation, t order.Throttle) order.Answer
}

// Order is an order to a worker. Exactly one of Renew, Start, Stop and Throttle is set.
type Order struct {
	// ID is unique among the orders of one incarnation of a sender.
	ID       uint64
	Worker   order.Incarnation
	Address  string
	Renew    *order.Renew
	Start    *order.Start
	Stop     *order.Stop
	Throttle *order.Throttle
	// AnswerTimeout is how long the sender accepts an answer, OverdueAfter the time after
	// which the answer is overdue. Both count from when the order is sent; a relay counts
	// from when it received the order.
	AnswerTimeout job.Milliseconds
	OverdueAfter  job.Milliseconds
}

// Check returns an error if the order is invalid.
func (o Order) Check() error {
	kinds := 0
	for _, set := range []bool{o.Renew != nil, o.Start != nil, o.Stop != nil, o.Throttle != nil} {
		if set {
			kinds++
		}
	}
	if kinds != 1 {
		return fmt.Errorf("order %d is of %d kinds, want exactly one", o.ID, kinds)
	}
	if o.Worker.Name == "" || o.Address == "" || o.AnswerTimeout <= 0 {
		return fmt.Errorf("order %d is incomplete: worker %q, address %q, timeout %v", o.ID, o.Worker.Name, o.Address, o.AnswerTimeout.Duration())
	}
	return nil
}

// Result is the result of an order.
type Result struct {
	ID     uint64
	Answer order.Answer
	// Report is set for a renewal that was carried out.
	Report *order.Report
}

// RenewalReport returns the report of a renewal at a worker. It is empty if the renewal was not carried
// out.
func (r Result) RenewalReport(worker order.Incarnation) order.Report {
	report := order.Report{Clock: r.Answer.Clock}
	if r.Report != nil {
		report = *r.Report
	}
	report.Incarnation.Name = worker.Name
	return report
}

// Batch carries orders to a relay, or their results back to the sender of the orders.
type Batch struct {
	// From is the address at which the sender of the orders serves other boxes, Incarnation
	// the incarnation of that box. Results for another incarnation are dropped.
	From, Incarnation string
	Orders            []Order
	Results           []Result
}

// Check returns an error if the batch or any of its orders is invalid.
func (b Batch) Check() error {
	if b.From == "" || b.Incarnation == "" {
		return errors.New("the batch names no sender address or no incarnation")
	}
	for _, o := range b.Orders {
		if err := o.Check(); err != nil {
			return err
		}
	}
	return nil
}

// DeliveryStatus is the outcome of sending a batch.
type DeliveryStatus string

// The delivery statuses. A batch with DeliveryUnknown may have arrived; one with NotSent
// has not.
const (
	Delivered       DeliveryStatus = "arrived"
	DeliveryUnknown DeliveryStatus = "lost"
	NotSent         DeliveryStatus = "unsent"
)
