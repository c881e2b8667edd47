// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"

	"gotest.tools/v3/assert"
)

// sharedWorker is a worker that runs a serving task and a filler.
type sharedWorker struct {
	*harness
	renewal         exchange.Renew
	serving, filler order.Run
	dropOrders      bool
}

// newSharedWorker returns a worker on which both tasks have started.
func newSharedWorker(t *testing.T) *sharedWorker {
	t.Helper()
	d, renewals := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	s := oneStep("j", "quick", 1, false)
	s.Steps[0].Service, s.Steps[0].TailTarget = true, 100
	s.Steps = append(s.Steps, job.Step{Tasks: 1, Need: defaultNeed, Filler: true})
	starts := effectsOf[exchange.StartRun](d.submitAndLog(s))
	assert.Equal(t, len(starts), 2)
	for _, start := range starts {
		d.handle(exchange.StartEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: start.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
	}
	w := &sharedWorker{harness: d, renewal: renewals["w"], serving: starts[0].Order.Run, filler: starts[1].Order.Run}
	if w.serving.Task.Step != 0 {
		w.serving, w.filler = w.filler, w.serving
	}
	return w
}

// reportTail has the worker report a tail latency of the serving task and returns the paces that
// the holder then orders.
func (w *sharedWorker) reportTail(tail int64) []int {
	w.t.Helper()
	w.now = w.now.Add(700 * time.Millisecond)
	w.confirmClaimRenewal(w.advance(time.Millisecond))
	answer := renewAnswer(w.renewal)
	answer.Report.Running = []order.Running{{Run: w.serving, Progress: 100, Measurement: tail}, {Run: w.filler, Progress: 3, Measurement: 4000}}
	effects := w.handle(answer)
	effects = append(effects, w.advance(20*time.Millisecond)...)
	w.renewal = effectsOf[exchange.Renew](effects)[0]
	var paces []int
	for _, e := range effectsOf[exchange.ThrottleRun](effects) {
		assert.Equal(w.t, e.Order.Run, w.filler)
		paces = append(paces, e.Order.Percent)
		fate := order.CarriedOut
		if w.dropOrders {
			fate = order.Unknown
		}
		w.handle(exchange.ThrottleEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: w.filler, Percent: e.Order.Percent, Fence: e.Order.Fence, Answer: order.Answer{Outcome: fate}})
	}
	return paces
}

func TestFillersAreThrottledByServingTail(t *testing.T) {
	w := newSharedWorker(t)
	assert.Equal(t, len(w.reportTail(50)), 0, "the tail latency is well below its target")
	assert.DeepEqual(t, w.reportTail(90), []int{60})
	assert.DeepEqual(t, w.reportTail(130), []int{12})
	assert.DeepEqual(t, w.reportTail(130), []int{0})
	assert.Equal(t, len(w.reportTail(70)), 0, "near its target the pace is kept")
	assert.DeepEqual(t, w.reportTail(40), []int{10})
	assert.DeepEqual(t, w.reportTail(40), []int{20})
	// An order without an answer is repeated.
	w.dropOrders = true
	assert.DeepEqual(t, w.reportTail(40), []int{30})
	w.dropOrders = false
	assert.DeepEqual(t, w.reportTail(70), []int{30})
	assert.Equal(t, len(w.reportTail(70)), 0, "an order that was carried out is not repeated")
}

func TestWorkersWithServingTasksBesideFillersArePolledOften(t *testing.T) {
	w := newSharedWorker(t)
	w.reportTail(50)
	assert.Check(t, w.renewal.Order.MaxWait <= 400, "a renewal waits %d ms", w.renewal.Order.MaxWait)
}
