// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay_test

import (
	"context"
	"testing"
	"time"

	"saddlevane/models/order"
	"saddlevane/services/relay"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// waitBatches waits until the holder has handed over n batches to the link.
func (h *relayHarness) waitBatches(n int) {
	h.t.Helper()
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.batches < n {
			return poll.Continue("%d batches", h.batches)
		}
		return poll.Success()
	})
}

// startInBackground orders a run and returns a channel for the answer.
func (h *relayHarness) startInBackground(within time.Duration) <-chan order.Answer {
	done := make(chan order.Answer, 1)
	go func() { done <- h.startRun(within) }()
	return done
}

// TestOrderIsNotSentAfterItsAuthorityHasEnded guards against orders of a holder beside the next one. An
// order waits while a batch is sent before it, for up to a second. It was sent even if the authority
// under which it was decided had ended meanwhile, through the relay or, if that failed, directly.
func TestOrderIsNotSentAfterItsAuthorityHasEnded(t *testing.T) {
	for _, delivery := range []relay.DeliveryStatus{"", relay.NotSent} {
		h := newRelayHarness(t)
		hold := make(chan struct{})
		h.update(func() { h.hold = hold })
		first := h.startInBackground(5 * time.Second)
		h.waitBatches(1)
		second := h.startInBackground(5 * time.Second)
		h.update(func() { h.authorityEnded, h.orderDelivery = true, delivery })
		close(hold)
		assert.Equal(t, (<-second).Outcome, order.NotDone)
		<-first
		h.update(func() { assert.Equal(t, h.batches, 1, "the order that waited was sent in a second batch") })
		assert.Equal(t, h.direct.Load(), int64(0), "an order was sent directly")
	}
}

// An order whose caller has given it up is not sent any more: the holder may have decided otherwise.
func TestQueuedOrderThatWasGivenUpIsNotSent(t *testing.T) {
	h := newRelayHarness(t)
	hold := make(chan struct{})
	h.update(func() { h.hold = hold })
	first := h.startInBackground(5 * time.Second)
	h.waitBatches(1)
	assert.Equal(t, h.startRun(50*time.Millisecond).Outcome, order.Unknown)
	h.selector.RecordBoxAnswer("b")
	close(hold)
	assert.Equal(t, (<-first).Outcome, order.CarriedOut)
	third := h.startRun(5 * time.Second)
	assert.Equal(t, third.Outcome, order.CarriedOut)
	assert.Equal(t, h.carried.Load()+h.direct.Load(), int64(2), "the order that was given up reached the worker")
}

func TestNoKindOfOrderIsSentWithoutAuthority(t *testing.T) {
	h := newRelayHarness(t)
	h.update(func() { h.authorityEnded = true })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	calls := h.client.WorkerCalls()
	for _, worker := range []order.Incarnation{{Name: "w-b-000"}, {Name: "without a relay"}} {
		_, renewed := calls.Renew(ctx, "address", worker, order.Renew{Fence: 4, MaxWait: 5000})
		assert.Equal(t, renewed.Outcome, order.NotDone)
		assert.Equal(t, calls.Start(ctx, "address", worker, order.Start{Run: run(1), Fence: 4}).Outcome, order.NotDone)
		assert.Equal(t, calls.Stop(ctx, "address", worker, order.Stop{Run: run(1), Fence: 4}).Outcome, order.NotDone)
		assert.Equal(t, calls.Throttle(ctx, "address", worker, order.Throttle{Run: run(1), Fence: 4}).Outcome, order.NotDone)
	}
	assert.Equal(t, h.carried.Load()+h.direct.Load(), int64(0))
}
