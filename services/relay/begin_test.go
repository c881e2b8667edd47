// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay_test

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/order"
	"saddlevane/services/relay"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// calledHandlers counts the calls of the handlers of an order, in their order.
type calledHandlers struct {
	mu    sync.Mutex
	names []string
}

// record records that a handler was called.
func (c *calledHandlers) record(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names = append(c.names, name)
}

// all returns the calls so far.
func (c *calledHandlers) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.names...)
}

// handlers returns handlers that are recorded.
func (c *calledHandlers) handlers() relay.Handlers {
	return relay.Handlers{
		Overdue: func() { c.record("overdue") },
		Done:    func(result relay.Result) { c.record(string(result.Answer.Outcome)) },
		NotSent: func() { c.record("not sent") },
	}
}

// expect waits until exactly the given handlers were called.
func (c *calledHandlers) expect(t *testing.T, want ...string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(c.all()) < len(want) {
			return poll.Continue("called %q, want %q", c.all(), want)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	assert.DeepEqual(t, c.all(), want)
}

// beginStart sends the order to start a run without waiting for the result.
func (h *relayHarness) beginStart(timeout, overdue time.Duration) *calledHandlers {
	var called calledHandlers
	o := relay.Order{Worker: order.Incarnation{Name: "w-b-000"}, Address: "address", Start: &order.Start{Run: run(1), LeaseEnd: 9, Fence: 4}}
	if !h.client.Begin(o, timeout, overdue, called.handlers()) {
		called.record("no relay")
	}
	return &called
}

func TestEachOrderEndsOnce(t *testing.T) {
	t.Run("answered", func(t *testing.T) {
		newRelayHarness(t).beginStart(10*time.Second, time.Second).expect(t, "carried out")
	})
	t.Run("answered late", func(t *testing.T) {
		h := newRelayHarness(t)
		h.answerDelay.Store(int64(100 * time.Millisecond))
		h.beginStart(10*time.Second, 10*time.Millisecond).expect(t, "overdue", "carried out")
		h.beginStart(10*time.Second, time.Second).expect(t, "no relay")
	})
	t.Run("not answered", func(t *testing.T) {
		h := newRelayHarness(t)
		h.update(func() { h.dropResults = true })
		h.beginStart(60*time.Millisecond, 20*time.Millisecond).expect(t, "overdue", "unknown")
	})
	t.Run("not answered, overdue only at its end", func(t *testing.T) {
		h := newRelayHarness(t)
		h.update(func() { h.dropResults = true })
		h.beginStart(20*time.Millisecond, time.Hour).expect(t, "overdue", "unknown")
	})
	t.Run("not sent", func(t *testing.T) {
		h := newRelayHarness(t)
		h.update(func() { h.orderDelivery = relay.NotSent })
		h.beginStart(10*time.Second, time.Second).expect(t, "not sent")
	})
	t.Run("lost", func(t *testing.T) {
		h := newRelayHarness(t)
		h.update(func() { h.orderDelivery = relay.DeliveryUnknown })
		h.beginStart(10*time.Second, time.Second).expect(t, "unknown")
	})
	t.Run("link closed", func(t *testing.T) {
		h := newRelayHarness(t)
		h.update(func() { h.dropResults = true })
		called := h.beginStart(10*time.Second, time.Second)
		h.client.HandleLinkClosed(member("b", 0).Address)
		called.expect(t, "unknown")
	})
	t.Run("client closed", func(t *testing.T) {
		h := newRelayHarness(t)
		h.update(func() { h.dropResults = true })
		later := h.beginStart(time.Hour, time.Hour)
		called := h.beginStart(20*time.Millisecond, 20*time.Millisecond)
		called.expect(t, "overdue", "unknown")
		h.client.Close()
		assert.Equal(t, len(later.all()), 0)
	})
}

// A goroutine, a context and timers for each order take more of a busy holder's processor than the order
// itself.
func TestOrdersWaitWithoutGoroutines(t *testing.T) {
	const orders, maxGoroutines = 1000, 20
	h := newRelayHarness(t)
	h.update(func() { h.dropResults = true })
	h.beginStart(time.Hour, time.Hour)
	waitForCarried := func(n int64) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if h.carried.Load() < n {
				return poll.Continue("%d orders reached the worker", h.carried.Load())
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	}
	waitForCarried(1)
	before := runtime.NumGoroutine()
	all := make([]*calledHandlers, orders)
	for i := range all {
		all[i] = h.beginStart(time.Hour, time.Hour)
	}
	waitForCarried(orders + 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if more := runtime.NumGoroutine() - before; more > maxGoroutines {
			return poll.Continue("%d goroutines for %d orders that wait for their results", more, orders)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
	h.client.HandleLinkClosed(member("b", 0).Address)
	for _, called := range all {
		called.expect(t, "unknown")
	}
}

// TestResultWithoutOutcomeIsNotTakenForUnsent lets a relay return a result without an outcome. The order
// must not be sent to its worker a second time, as if the relay had never got it.
func TestResultWithoutOutcomeIsNotTakenForUnsent(t *testing.T) {
	h := newRelayHarness(t)
	h.update(func() { h.dropResults = true })
	called := h.beginStart(10*time.Second, 10*time.Second)
	h.client.HandleResults(relay.Batch{Incarnation: member("a", 0).Incarnation, Results: []relay.Result{{ID: 1}}})
	called.expect(t, "unknown")
}

// Results, timers, failed batches and closed links compete for the same orders.
func TestEachOrderEndsOnceWhileLinksFail(t *testing.T) {
	const senders, ordersPerSender = 8, 200
	h := newRelayHarness(t)
	h.answerDelay.Store(int64(2 * time.Millisecond))
	var mu sync.Mutex
	var all []*calledHandlers
	var running sync.WaitGroup
	for sender := range senders {
		running.Go(func() {
			for i := range ordersPerSender {
				h.update(func() {
					h.orderDelivery = []relay.DeliveryStatus{"", "", "", relay.NotSent, relay.DeliveryUnknown}[(i+sender)%5]
					h.dropResults = i%7 == 0
				})
				called := h.beginStart(time.Duration(1+i%40)*time.Millisecond, time.Duration(1+i%20)*time.Millisecond)
				if i%11 == 0 {
					h.client.HandleLinkClosed(member("b", 0).Address)
				}
				// Neither the box nor the worker stays excluded.
				h.selector.AddBoxes([]claim.Member{member("b", 0)})
				h.selector.UpdateWorkers(order.Listing{Removed: []string{"w-b-000"}})
				h.selector.UpdateWorkers(listing(1, "b"))
				mu.Lock()
				all = append(all, called)
				mu.Unlock()
				runtime.Gosched()
			}
		})
	}
	running.Wait()
	ends := func(c *calledHandlers) (n int) {
		for _, name := range c.all() {
			if name != "overdue" {
				n++
			}
		}
		return n
	}
	for i, called := range all {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if ends(called) == 0 {
				return poll.Continue("order %d has not ended", i)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	}
	h.client.Close()
	sent := 0
	for i, called := range all {
		assert.Equal(t, ends(called), 1, "order %d: %q", i, called.all())
		if called.all()[0] != "no relay" {
			sent++
		}
	}
	assert.Check(t, sent > len(all)/10, "only %d of %d orders were sent through the relay", sent, len(all))
}
