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
	"saddlevane/services/relay"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// relayLink is how batches fare between the holder and its relay.
type relayLink struct {
	mu sync.Mutex
	// orders is the fate of batches of orders, or empty for Arrived; silent drops the ends
	// that come back.
	orderDelivery relay.DeliveryStatus
	dropResults   bool
	// batches counts those of orders.
	batches int
}

func (r *relayLink) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// relayHarness is a holder and one relay with a worker behind it.
type relayHarness struct {
	relayLink
	t        *testing.T
	client   *relay.Client
	server   *relay.Server
	selector *relay.Selector
	// takes is how long the worker takes to answer.
	answerDelay atomic.Int64
	// direct counts the orders that the holder gave itself, carried those of the relay.
	direct, carried atomic.Int64
}

// newRelayHarness returns a holder whose worker w-b-000 has a relay.
func newRelayHarness(t *testing.T) *relayHarness {
	t.Helper()
	p := &relayHarness{t: t}
	p.selector = relay.NewSelector(relay.Limits{MinWorkers: 1, WorkersPerRelay: 48}, "a-00")
	p.selector.AddBoxes([]claim.Member{member("b", 0)})
	p.selector.UpdateWorkers(listing(1, "b"))
	p.server = relay.NewServer(time.Now, p.workers(&p.carried), func(_ context.Context, _ claim.Member, b relay.Batch) relay.DeliveryStatus {
		p.mu.Lock()
		silent := p.dropResults
		p.mu.Unlock()
		if !silent {
			p.client.HandleResults(roundTrip(t, b))
		}
		return relay.Delivered
	})
	p.client = relay.NewClient(member("a", 0), time.Now, p.selector, p.workers(&p.direct), func(_ context.Context, _ claim.Member, b relay.Batch) relay.DeliveryStatus {
		p.mu.Lock()
		p.batches++
		fate := p.orderDelivery
		p.mu.Unlock()
		if fate != "" {
			return fate
		}
		assert.Check(t, p.server.HandleOrders(roundTrip(t, b)))
		return relay.Delivered
	})
	t.Cleanup(func() {
		p.client.Close()
		p.server.Close()
	})
	return p
}

// roundTrip returns a batch as the other box reads it.
func roundTrip(t *testing.T, b relay.Batch) relay.Batch {
	data, err := json.Marshal(b)
	assert.Check(t, err)
	var got relay.Batch
	assert.Check(t, json.Unmarshal(data, &got))
	return got
}

// workers are the calls to the worker, counted.
func (p *relayHarness) workers(count *atomic.Int64) relay.WorkerCalls {
	work := func(ctx context.Context) order.Answer {
		count.Add(1)
		select {
		case <-time.After(time.Duration(p.answerDelay.Load())):
			return order.Answer{Outcome: order.CarriedOut, Clock: 7}
		case <-ctx.Done():
			return order.Answer{Outcome: order.Unknown, Problem: ctx.Err().Error()}
		}
	}
	return relay.WorkerCalls{
		Renew: func(ctx context.Context, _ string, worker order.Incarnation, r order.Renew) (order.Report, order.Answer) {
			end := order.End{Number: r.Acknowledged + 1, Run: run(1), Status: order.Done, Checkpoint: "c"}
			running := order.Running{Run: run(2), Checkpoint: "d", Progress: 40, Measurement: 9}
			return order.Report{Incarnation: order.Incarnation{Name: worker.Name, BornUnixMilli: 5}, Clock: 7, Running: []order.Running{running}, Ended: []order.End{end}}, work(ctx)
		},
		Start: func(ctx context.Context, _ string, _ order.Incarnation, _ order.Start) order.Answer { return work(ctx) },
		Stop:  func(ctx context.Context, _ string, _ order.Incarnation, _ order.Stop) order.Answer { return work(ctx) },
		Throttle: func(ctx context.Context, _ string, _ order.Incarnation, _ order.Throttle) order.Answer {
			return work(ctx)
		},
	}
}

func run(number int64) order.Run {
	return order.Run{Task: job.TaskID{StepID: job.StepID{Job: "5c0e7a21d94b36f8", Instance: 1, Step: 2}, Index: 3}, Number: number}
}

// startRun gives the order to start a run.
func (p *relayHarness) startRun(within time.Duration) order.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return p.client.WorkerCalls().Start(ctx, "address", order.Incarnation{Name: "w-b-000"}, order.Start{Run: run(1), LeaseEnd: 9, Fence: 4})
}

func TestOrdersAndAnswersPassThroughRelay(t *testing.T) {
	p := newRelayHarness(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	w := p.client.WorkerCalls()
	report, answer := w.Renew(ctx, "address", order.Incarnation{Name: "w-b-000"}, order.Renew{LeaseEnd: 9, Fence: 4, Acknowledged: 11})
	assert.Equal(t, answer, order.Answer{Outcome: order.CarriedOut, Clock: 7})
	assert.Equal(t, report.Incarnation, order.Incarnation{Name: "w-b-000", BornUnixMilli: 5})
	assert.DeepEqual(t, report.Ended, []order.End{{Number: 12, Run: run(1), Status: order.Done, Checkpoint: "c"}})
	assert.DeepEqual(t, report.Running, []order.Running{{Run: run(2), Checkpoint: "d", Progress: 40, Measurement: 9}})
	assert.Equal(t, p.startRun(time.Second).Outcome, order.CarriedOut)
	assert.Equal(t, w.Stop(ctx, "address", order.Incarnation{Name: "w-b-000"}, order.Stop{Run: run(1)}).Outcome, order.CarriedOut)
	assert.Equal(t, w.Throttle(ctx, "address", order.Incarnation{Name: "w-b-000"}, order.Throttle{Run: run(1)}).Outcome, order.CarriedOut)
	assert.Equal(t, p.carried.Load(), int64(4))
	assert.Equal(t, p.direct.Load(), int64(0))
}

// Each message costs the holder about 18 µs of processor time, whatever it carries.
func TestConcurrentOrdersShareMessages(t *testing.T) {
	p := newRelayHarness(t)
	var calls sync.WaitGroup
	for range 200 {
		calls.Go(func() { assert.Check(t, p.startRun(5*time.Second).Outcome == order.CarriedOut) })
	}
	calls.Wait()
	p.update(func() { assert.Check(t, p.batches <= 20, "%d messages for 200 orders", p.batches) })
}

func TestUnsentOrdersAreSentDirectly(t *testing.T) {
	p := newRelayHarness(t)
	p.update(func() { p.orderDelivery = relay.NotSent })
	assert.Equal(t, p.startRun(5*time.Second).Outcome, order.CarriedOut)
	assert.Equal(t, p.direct.Load(), int64(1))
	p.update(func() { p.orderDelivery = "" })
	assert.Equal(t, p.startRun(5*time.Second).Outcome, order.CarriedOut)
	assert.Equal(t, p.direct.Load(), int64(2), "the box is put aside")
}

func TestPossiblyDeliveredOrdersAreNotResent(t *testing.T) {
	p := newRelayHarness(t)
	p.update(func() { p.orderDelivery = relay.DeliveryUnknown })
	assert.Equal(t, p.startRun(5*time.Second).Outcome, order.Unknown)
	assert.Equal(t, p.direct.Load(), int64(0))
	assert.Equal(t, p.startRun(5*time.Second).Outcome, order.CarriedOut)
	assert.Equal(t, p.direct.Load(), int64(1), "the next one is given directly")
}

func TestUnresponsiveRelayIsExcluded(t *testing.T) {
	p := newRelayHarness(t)
	p.update(func() { p.dropResults = true })
	assert.Equal(t, p.startRun(100*time.Millisecond).Outcome, order.Unknown)
	_, ok := p.selector.Pick(time.Now(), "w-b-000")
	assert.Check(t, !ok)
}

// A relay that was stopped for a while must not give orders that count as lost.
func TestExpiredOrderIsNotSentToWorker(t *testing.T) {
	var later atomic.Int64
	given := make(chan relay.Batch, 1)
	server := relay.NewServer(
		func() time.Time { return time.Now().Add(time.Duration(later.Add(int64(time.Second)))) },
		relay.WorkerCalls{}, func(_ context.Context, _ claim.Member, b relay.Batch) relay.DeliveryStatus {
			given <- b
			return relay.Delivered
		})
	defer server.Close()
	o := relay.Order{ID: 1, Worker: order.Incarnation{Name: "w"}, Address: "a", Start: &order.Start{Run: run(1)}, AnswerTimeout: 300}
	assert.NilError(t, server.HandleOrders(relay.Batch{From: "holder", Incarnation: "1", Orders: []relay.Order{o}}))
	b := <-given
	assert.Equal(t, b.Results[0].Answer.Outcome, order.NotDone)
}

func TestInvalidBatchIsRejectedWhole(t *testing.T) {
	good := relay.Order{ID: 1, Worker: order.Incarnation{Name: "w"}, Address: "a", Stop: &order.Stop{Run: run(1)}, AnswerTimeout: 300}
	two := good
	two.Start = &order.Start{Run: run(1)}
	nobody, none, never := good, good, good
	nobody.Worker, none.Stop, never.AnswerTimeout = order.Incarnation{}, nil, 0
	for name, b := range map[string]relay.Batch{
		"no sender": {Incarnation: "1", Orders: []relay.Order{good}}, "no life": {From: "holder", Orders: []relay.Order{good}},
		"two parts": {From: "holder", Incarnation: "1", Orders: []relay.Order{good, two}},
		"no worker": {From: "holder", Incarnation: "1", Orders: []relay.Order{nobody}},
		"no part":   {From: "holder", Incarnation: "1", Orders: []relay.Order{none}},
		"no time":   {From: "holder", Incarnation: "1", Orders: []relay.Order{never}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newRelayHarness(t)
			assert.Check(t, p.server.HandleOrders(b) != nil)
			assert.Equal(t, p.carried.Load(), int64(0))
		})
	}
}

func TestResultsForOtherIncarnationAreDropped(t *testing.T) {
	p := newRelayHarness(t)
	p.answerDelay.Store(int64(200 * time.Millisecond))
	done := make(chan order.Answer, 1)
	go func() { done <- p.startRun(5 * time.Second) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.carried.Load() == 0 {
			return poll.Continue("the order is on its way")
		}
		return poll.Success()
	})
	forged := relay.Result{ID: 1, Answer: order.Answer{Outcome: order.Refused}}
	p.client.HandleResults(relay.Batch{From: "a-00:1", Incarnation: "an earlier life", Results: []relay.Result{forged}})
	assert.Equal(t, (<-done).Outcome, order.CarriedOut)
}
