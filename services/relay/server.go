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

// Server carries the orders of holders to workers.
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

// sender is one life of a box that has sent orders.
type sender struct{ address, incarnation string }

// NewServer returns a server that gives orders by direct and tells of their ends by send.
func NewServer(now func() time.Time, direct WorkerCalls, send func(context.Context, claim.Member, Batch) DeliveryStatus) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{now: now, direct: direct, send: send, ctx: ctx, cancel: cancel, outboxes: map[sender]*outbox[Result]{}}
}

// Close ends what is under way and waits for it.
func (s *Server) Close() {
	s.cancel()
	s.goroutines.Wait()
}

// HandleOrders takes the orders of a batch.
func (s *Server) HandleOrders(b Batch) error {
	if err := b.Check(); err != nil {
		return err
	}
	out := s.outboxFor(sender{b.From, b.Incarnation})
	received := s.now()
	for _, o := range b.Orders {
		s.goroutines.Go(func() {
			// A box that was stopped for a while must not give an order late.
			within := o.AnswerTimeout.Duration() - s.now().Sub(received)
			ctx, cancel := context.WithTimeout(httpclient.Overdue(s.ctx, o.OverdueAfter.Duration()), within)
			defer cancel()
			out.add(s.ctx, &s.goroutines, s.sendOrder(ctx, o))
		})
	}
	return nil
}

// sendOrder gives one order.
func (s *Server) sendOrder(ctx context.Context, o Order) Result {
	a := Result{ID: o.ID}
	switch {
	case ctx.Err() != nil:
		a.Answer = order.Answer{Outcome: order.NotDone, Problem: "it came too late to the relay"}
	case o.Renew != nil:
		var r order.Report
		r, a.Answer = s.direct.Renew(ctx, o.Address, o.Worker, *o.Renew)
		if a.Answer.Outcome == order.CarriedOut {
			a.Report = &r
		}
	case o.Start != nil:
		a.Answer = s.direct.Start(ctx, o.Address, o.Worker, *o.Start)
	case o.Stop != nil:
		a.Answer = s.direct.Stop(ctx, o.Address, o.Worker, *o.Stop)
	default:
		a.Answer = s.direct.Throttle(ctx, o.Address, o.Worker, *o.Throttle)
	}
	return a
}

// outboxFor returns what goes back to a sender. A later life of its box replaces it.
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
		send: func(ctx context.Context, box claim.Member, ended []Result) DeliveryStatus {
			return s.send(ctx, box, Batch{From: to.address, Incarnation: to.incarnation, Results: ended})
		},
	}
	s.outboxes[to] = out
	return out
}
