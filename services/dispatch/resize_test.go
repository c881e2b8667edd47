// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"
	"saddlevane/models/resource"

	"gotest.tools/v3/assert"
)

// shrinkDelay is how long after a worker's capacity has shrunk starts may still use the former
// capacity: the change has to be written to the platform's list and read from it.
const shrinkDelay = 3400 * time.Millisecond

// startLimit returns the capacity that starts on the worker may use.
func (f *fakeWorker) startLimit() resource.Vector {
	if f.w.now.Sub(f.shrunkAt) < shrinkDelay {
		return f.capacity.Max(f.formerCapacity)
	}
	return f.capacity
}

// resize changes the worker's capacity. The list shows a smaller capacity at once, while checks use
// it only after shrinkDelay.
func (f *fakeWorker) resize(to resource.Vector) {
	f.formerCapacity, f.shrunkAt = f.startLimit(), f.w.now
	f.capacity = to
}

// TestRandomWorldsWithChangingCapacity changes the capacity of workers while tasks run, capacity is
// reserved for gangs, and workers and boxes are lost.
func TestRandomWorldsWithChangingCapacity(t *testing.T) {
	for seed := range seedCount() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 11000+seed, 3, 8)
			w.waitUntilServing()
			for i := range 40 {
				w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, func() { w.submit(w.randomJob(i)) })
			}
			for range 30 {
				w.after(time.Duration(w.rng.Intn(18000))*time.Millisecond, w.resizeRandomWorker)
			}
			for range 2 {
				w.after(time.Duration(w.rng.Intn(15000))*time.Millisecond, w.injectCrashes)
			}
			w.runChecked(100)
			for _, f := range w.workers {
				f.resize(workerCapacity)
			}
			w.runUntilEnded()
		})
	}
}

// resizeRandomWorker sets the capacity of a random worker to between none and all of its full
// capacity.
func (w *world) resizeRandomWorker() {
	f := w.workers[w.rng.Intn(len(w.workers))]
	quarters := []int64{0, 1, 2, 3, 4, 4}[w.rng.Intn(6)]
	f.resize(resource.Vector{
		Processors: workerCapacity.Processors * resource.Millis(quarters) / 4, Memory: workerCapacity.Memory * resource.Bytes(quarters) / 4,
	})
}

// resizedEntry returns a change of the list that gives a worker a capacity.
func resizedEntry(id string, to resource.Vector) exchange.WorkersRead {
	return exchange.WorkersRead{Listing: order.Listing{Present: []order.Worker{{Incarnation: order.Incarnation{Name: id}, Address: id, Pool: pool, Capacity: to}}}}
}

func TestRegrownCapacityIsUsed(t *testing.T) {
	d, renewals := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	d.handle(resizedEntry("w", resource.Vector{}))
	assert.Equal(t, d.submitAndCountStarts(oneStep("j", "quick", 2, false), 1, renewals), 0, "the worker has no capacity")
	d.handle(resizedEntry("w", workerCapacity))
	assert.Equal(t, d.answerRenewals(time.Second, renewals), 2)
}

// A gang's reservation on a worker whose capacity shrinks below it can never be used. It was kept
// until the limit of 3 s, together with the gang's reservations on all other workers.
func TestReservationThatNoLongerFitsIsReleased(t *testing.T) {
	d, _ := newHolder(t,
		order.Worker{Incarnation: order.Incarnation{Name: "v"}, Address: "v", Pool: pool, Capacity: workerCapacity}, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	c := config()
	wide := c.Queues["wide"]
	wide.Advice = nil
	c.Version, c.Queues["wide"] = 2, wide
	d.handle(exchange.ConfigRead{Config: c})
	for _, id := range []string{"a", "b"} {
		s := oneStep(id, "wide", 1, false)
		s.Steps[0].Checkpoints = true
		s.Steps[0].Need = resource.Vector{Processors: 40 * resource.Processor}
		s.Steps[0].Estimate = 60_000
		for _, start := range effectsOf[exchange.StartRun](d.submitAndLog(s)) {
			d.handle(exchange.StartEnded{Worker: start.Worker, Epoch: 1, Run: start.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
		}
	}
	gang := oneStep("g", "quick", 2, true)
	gang.Steps[0].Need = resource.Vector{Processors: 60 * resource.Processor}
	gang.Steps[0].Estimate = 500
	assert.Equal(t, len(effectsOf[exchange.StopRun](d.submitAndLog(gang))), 2, "tasks are stopped to make room for the gang")
	shrunk := resource.Vector{Processors: 50 * resource.Processor, Memory: workerCapacity.Memory}
	released := 0
	for _, n := range effectsOf[exchange.LogEvent](append(d.handle(resizedEntry("w", shrunk)), d.advance(50*time.Millisecond)...)) {
		if n.Message == "gang reservation released without a start" {
			released++
		}
	}
	assert.Equal(t, released, 1)
}
