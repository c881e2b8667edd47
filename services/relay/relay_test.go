// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay_test

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/httpclient"
	"saddlevane/services/relay"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// relayLink controls the delivery of batches between the holder and its relay.
type relayLink struct {
	mu sync.Mutex
	// orderDelivery is the status of batches of orders, which are not delivered then, or
	// empty to deliver them. dropResults drops the results that the relay returns.
	orderDelivery relay.DeliveryStatus
	dropResults   bool
	// batches is the number of batches of orders.
	batches int
	// hold, if set, keeps batches of orders from being delivered until it is closed.
	hold chan struct{}
	// authorityEnded is set once no order may be sent any more.
	authorityEnded bool
}

// update calls f, which changes or reads the link, under the lock.
func (r *relayLink) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// relayHarness connects a holder to a worker through one relay.
type relayHarness struct {
	relayLink
	t        *testing.T
	client   *relay.Client
	server   *relay.Server
	selector *relay.Selector
	// answerDelay is how long the worker takes to answer, in nanoseconds.
	answerDelay atomic.Int64
	// direct counts the orders that the holder sent directly, carried those that the relay
	// sent.
	direct, carried atomic.Int64
}

// newRelayHarness returns a holder with one worker, w-b-000, which has a relay.
func newRelayHarness(t *testing.T) *relayHarness {
	t.Helper()
	h := &relayHarness{t: t}
	h.selector = relay.NewSelector(relay.Limits{MinWorkers: 1, WorkersPerRelay: 48}, "a-00")
	h.selector.AddBoxes([]claim.Member{member("b", 0)})
	h.selector.UpdateWorkers(listing(1, "b"))
	h.server = relay.NewServer(time.Now, h.workers(&h.carried), func(_ context.Context, _ claim.Member, b relay.Batch) relay.DeliveryStatus {
		h.mu.Lock()
		drop := h.dropResults
		h.mu.Unlock()
		if !drop {
			h.client.HandleResults(roundTrip(t, b))
		}
		return relay.Delivered
	})
	h.client = relay.NewClient(member("a", 0), time.Now, h.selector, h.workers(&h.direct), h.mayOrder, func(_ context.Context, _ claim.Member, b relay.Batch) relay.DeliveryStatus {
		h.mu.Lock()
		h.batches++
		hold := h.hold
		h.mu.Unlock()
		if hold != nil {
			<-hold
		}
		h.mu.Lock()
		status := h.orderDelivery
		h.mu.Unlock()
		if status != "" {
			return status
		}
		assert.Check(t, h.server.HandleOrders(roundTrip(t, b)))
		return relay.Delivered
	})
	t.Cleanup(func() {
		h.client.Close()
		h.server.Close()
	})
	return h
}

// mayOrder reports whether orders may be sent.
func (h *relayHarness) mayOrder(int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.authorityEnded
}

// roundTrip returns a batch after encoding and decoding.
func roundTrip(t *testing.T, b relay.Batch) relay.Batch {
	data, err := json.Marshal(b)
	assert.Check(t, err)
	var got relay.Batch
	assert.Check(t, json.Unmarshal(data, &got))
	return got
}

// workers returns the calls to the worker. They add to count.
func (h *relayHarness) workers(count *atomic.Int64) relay.WorkerCalls {
	answer := func(ctx context.Context) order.Answer {
		count.Add(1)
		select {
		case <-time.After(time.Duration(h.answerDelay.Load())):
			return order.Answer{Outcome: order.CarriedOut, Clock: 7}
		case <-ctx.Done():
			return order.Answer{Outcome: order.Unknown, Problem: ctx.Err().Error()}
		}
	}
	return relay.WorkerCalls{
		Renew: func(ctx context.Context, _ string, worker order.Incarnation, r order.Renew) (order.Report, order.Answer) {
			end := order.End{Number: r.Acknowledged + 1, Run: run(1), Status: order.Done, Checkpoint: "c"}
			running := order.Running{Run: run(2), Checkpoint: "d", Progress: 40, Measurement: 9}
			return order.Report{Incarnation: order.Incarnation{Name: worker.Name, BornUnixMilli: 5}, Clock: 7, Running: []order.Running{running}, Ended: []order.End{end}}, answer(ctx)
		},
		Start: func(ctx context.Context, _ string, _ order.Incarnation, _ order.Start) order.Answer {
			return answer(ctx)
		},
		Stop: func(ctx context.Context, _ string, _ order.Incarnation, _ order.Stop) order.Answer {
			return answer(ctx)
		},
		Throttle: func(ctx context.Context, _ string, _ order.Incarnation, _ order.Throttle) order.Answer {
			return answer(ctx)
		},
	}
}

func run(number int64) order.Run {
	return order.Run{Task: job.TaskID{StepID: job.StepID{Job: "5c0e7a21d94b36f8", Instance: 1, Step: 2}, Index: 3}, Number: number}
}

// startRun sends the order to start a run.
func (h *relayHarness) startRun(within time.Duration) order.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return h.client.WorkerCalls().Start(ctx, "address", order.Incarnation{Name: "w-b-000"}, order.Start{Run: run(1), LeaseEnd: 9, Fence: 4})
}

func TestOrdersAndAnswersPassThroughRelay(t *testing.T) {
	h := newRelayHarness(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	w := h.client.WorkerCalls()
	report, answer := w.Renew(ctx, "address", order.Incarnation{Name: "w-b-000"}, order.Renew{LeaseEnd: 9, Fence: 4, Acknowledged: 11})
	assert.Equal(t, answer, order.Answer{Outcome: order.CarriedOut, Clock: 7})
	assert.Equal(t, report.Incarnation, order.Incarnation{Name: "w-b-000", BornUnixMilli: 5})
	assert.DeepEqual(t, report.Ended, []order.End{{Number: 12, Run: run(1), Status: order.Done, Checkpoint: "c"}})
	assert.DeepEqual(t, report.Running, []order.Running{{Run: run(2), Checkpoint: "d", Progress: 40, Measurement: 9}})
	assert.Equal(t, h.startRun(time.Second).Outcome, order.CarriedOut)
	assert.Equal(t, w.Stop(ctx, "address", order.Incarnation{Name: "w-b-000"}, order.Stop{Run: run(1)}).Outcome, order.CarriedOut)
	assert.Equal(t, w.Throttle(ctx, "address", order.Incarnation{Name: "w-b-000"}, order.Throttle{Run: run(1)}).Outcome, order.CarriedOut)
	assert.Equal(t, h.carried.Load(), int64(4))
	assert.Equal(t, h.direct.Load(), int64(0))
}

// Each message costs the holder about 18 µs of processor time, however many orders it
// carries.
func TestConcurrentOrdersShareMessages(t *testing.T) {
	h := newRelayHarness(t)
	var calls sync.WaitGroup
	for range 200 {
		calls.Go(func() { assert.Check(t, h.startRun(5*time.Second).Outcome == order.CarriedOut) })
	}
	calls.Wait()
	h.update(func() { assert.Check(t, h.batches <= 20, "%d messages for 200 orders", h.batches) })
}

func TestUnsentOrdersAreSentDirectly(t *testing.T) {
	h := newRelayHarness(t)
	h.update(func() { h.orderDelivery = relay.NotSent })
	assert.Equal(t, h.startRun(5*time.Second).Outcome, order.CarriedOut)
	assert.Equal(t, h.direct.Load(), int64(1))
	h.update(func() { h.orderDelivery = "" })
	assert.Equal(t, h.startRun(5*time.Second).Outcome, order.CarriedOut)
	assert.Equal(t, h.direct.Load(), int64(2), "the relay is excluded after the failure")
}

func TestPossiblyDeliveredOrdersAreNotResent(t *testing.T) {
	h := newRelayHarness(t)
	h.update(func() { h.orderDelivery = relay.DeliveryUnknown })
	assert.Equal(t, h.startRun(5*time.Second).Outcome, order.Unknown)
	assert.Equal(t, h.direct.Load(), int64(0))
	assert.Equal(t, h.startRun(5*time.Second).Outcome, order.CarriedOut)
	assert.Equal(t, h.direct.Load(), int64(1), "the next order is sent directly")
}

func TestUnresponsiveRelayIsExcluded(t *testing.T) {
	h := newRelayHarness(t)
	h.update(func() { h.dropResults = true })
	assert.Equal(t, h.startRun(100*time.Millisecond).Outcome, order.Unknown)
	_, ok := h.selector.Pick(time.Now(), "w-b-000")
	assert.Check(t, !ok)
}

// The deadline of a call may pass before its answer counts as overdue, or at the same time.
func TestRelayIsExcludedAtTheDeadlineOfTheCall(t *testing.T) {
	h := newRelayHarness(t)
	h.update(func() { h.dropResults = true })
	ctx, cancel := context.WithTimeout(httpclient.WithOverdueAfter(t.Context(), time.Hour), 100*time.Millisecond)
	defer cancel()
	answer := h.client.WorkerCalls().Start(ctx, "address", order.Incarnation{Name: "w-b-000"}, order.Start{Run: run(1), LeaseEnd: 9, Fence: 4})
	assert.Equal(t, answer.Outcome, order.Unknown)
	_, ok := h.selector.Pick(time.Now(), "w-b-000")
	assert.Check(t, !ok)
}

// A relay that was paused must not send orders that the holder has already given up.
func TestExpiredOrderIsNotSentToWorker(t *testing.T) {
	var pause atomic.Int64
	sent := make(chan relay.Batch, 1)
	server := relay.NewServer(
		func() time.Time { return time.Now().Add(time.Duration(pause.Add(int64(time.Second)))) },
		relay.WorkerCalls{}, func(_ context.Context, _ claim.Member, b relay.Batch) relay.DeliveryStatus {
			sent <- b
			return relay.Delivered
		})
	defer server.Close()
	o := relay.Order{ID: 1, Worker: order.Incarnation{Name: "w"}, Address: "a", Start: &order.Start{Run: run(1)}, AnswerTimeout: 300}
	assert.NilError(t, server.HandleOrders(relay.Batch{From: "holder", Incarnation: "1", Orders: []relay.Order{o}}))
	b := <-sent
	assert.Equal(t, b.Results[0].Answer.Outcome, order.NotDone)
}

func TestInvalidBatchIsRejectedWhole(t *testing.T) {
	valid := relay.Order{ID: 1, Worker: order.Incarnation{Name: "w"}, Address: "a", Stop: &order.Stop{Run: run(1)}, AnswerTimeout: 300}
	two := valid
	two.Start = &order.Start{Run: run(1)}
	noWorker, noKind, noTime := valid, valid, valid
	noWorker.Worker, noKind.Stop, noTime.AnswerTimeout = order.Incarnation{}, nil, 0
	for name, b := range map[string]relay.Batch{
		"no sender": {Incarnation: "1", Orders: []relay.Order{valid}}, "no incarnation": {From: "holder", Orders: []relay.Order{valid}},
		"two kinds": {From: "holder", Incarnation: "1", Orders: []relay.Order{valid, two}},
		"no worker": {From: "holder", Incarnation: "1", Orders: []relay.Order{noWorker}},
		"no kind":   {From: "holder", Incarnation: "1", Orders: []relay.Order{noKind}},
		"no time":   {From: "holder", Incarnation: "1", Orders: []relay.Order{noTime}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newRelayHarness(t)
			assert.Check(t, h.server.HandleOrders(b) != nil)
			assert.Equal(t, h.carried.Load(), int64(0))
		})
	}
}

func TestResultsForOtherIncarnationAreDropped(t *testing.T) {
	h := newRelayHarness(t)
	h.answerDelay.Store(int64(200 * time.Millisecond))
	done := make(chan order.Answer, 1)
	go func() { done <- h.startRun(5 * time.Second) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.carried.Load() == 0 {
			return poll.Continue("the order has not reached the worker")
		}
		return poll.Success()
	})
	forged := relay.Result{ID: 1, Answer: order.Answer{Outcome: order.Refused}}
	h.client.HandleResults(relay.Batch{From: "a-00:1", Incarnation: "earlier incarnation", Results: []relay.Result{forged}})
	assert.Equal(t, (<-done).Outcome, order.CarriedOut)
}
