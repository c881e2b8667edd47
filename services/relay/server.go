// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"sync"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/order"
	"saddlevane/modules/httpclient"

	"github.com/sourcegraph/conc"
)

// Server is the relay's side: it passes on the orders of holders to workers and returns the
// results.
type Server struct {
	now        func() time.Time
	direct     WorkerCalls
	send       func(ctx context.Context, box claim.Member, b Batch) DeliveryStatus
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines conc.WaitGroup

	mu       sync.Mutex
	outboxes map[sender]*outbox[Result]
}

// sender identifies an incarnation of a box that has sent orders.
type sender struct{ address, incarnation string }

// NewServer returns a server that sends orders to workers with direct and returns batches of
// results with send.
func NewServer(now func() time.Time, direct WorkerCalls, send func(context.Context, claim.Member, Batch) DeliveryStatus) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{now: now, direct: direct, send: send, ctx: ctx, cancel: cancel, outboxes: map[sender]*outbox[Result]{}}
}

// Close cancels all calls and waits until they have returned.
func (s *Server) Close() {
	s.cancel()
	s.goroutines.Wait()
}

// HandleOrders sends the orders of a batch to their workers, concurrently and without
// waiting for the answers. An invalid batch is rejected as a whole.
func (s *Server) HandleOrders(b Batch) error {
	if err := b.Check(); err != nil {
		return err
	}
	out := s.outboxFor(sender{b.From, b.Incarnation})
	received := s.now()
	for _, o := range b.Orders {
		s.goroutines.Go(func() {
			// The process may have been paused; the order must not be sent after its timeout.
			timeout := o.AnswerTimeout.Duration() - s.now().Sub(received)
			ctx, cancel := context.WithTimeout(httpclient.WithOverdueAfter(s.ctx, o.OverdueAfter.Duration()), timeout)
			defer cancel()
			out.add(s.ctx, &s.goroutines, s.sendOrder(ctx, o))
		})
	}
	return nil
}

// sendOrder sends an order to its worker and returns the result.
func (s *Server) sendOrder(ctx context.Context, o Order) Result {
	result := Result{ID: o.ID}
	switch {
	case ctx.Err() != nil:
		result.Answer = order.Answer{Outcome: order.NotDone, Problem: "the order reached the relay too late"}
	case o.Renew != nil:
		var r order.Report
		r, result.Answer = s.direct.RenewInParts(ctx, o.Address, o.Worker, *o.Renew)
		if result.Answer.Outcome == order.CarriedOut {
			result.Report = &r
		}
	case o.Start != nil:
		result.Answer = s.direct.Start(ctx, o.Address, o.Worker, *o.Start)
	case o.Stop != nil:
		result.Answer = s.direct.Stop(ctx, o.Address, o.Worker, *o.Stop)
	default:
		result.Answer = s.direct.Throttle(ctx, o.Address, o.Worker, *o.Throttle)
	}
	return result
}

// outboxFor returns the outbox for the results of a sender's orders. A later incarnation of
// the same box replaces the earlier one's.
func (s *Server) outboxFor(to sender) *outbox[Result] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if out := s.outboxes[to]; out != nil {
		return out
	}
	for other := range s.outboxes {
		if other.address == to.address {
			delete(s.outboxes, other)
		}
	}
	out := &outbox[Result]{
		box: claim.Member{Address: to.address}, now: s.now, onFailure: func([]Result, DeliveryStatus) {},
		send: func(ctx context.Context, box claim.Member, results []Result) DeliveryStatus {
			return s.send(ctx, box, Batch{From: to.address, Incarnation: to.incarnation, Results: results})
		},
	}
	s.outboxes[to] = out
	return out
}
