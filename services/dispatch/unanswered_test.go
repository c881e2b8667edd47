// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"

	"gotest.tools/v3/assert"
)

// startUnanswered ends the call of a start without an answer.
func (d *harness) startUnanswered(s exchange.StartRun) []exchange.Effect {
	return d.handle(exchange.StartEnded{Worker: s.Worker, Epoch: 1, Run: s.Order.Run, Answer: order.Answer{Outcome: order.Unknown}})
}

// oneWorker returns a reducer that holds the cell with one worker.
func oneWorker(t *testing.T) *harness {
	t.Helper()
	d, _ := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	return d
}

func TestUnansweredStartIsResent(t *testing.T) {
	d := oneWorker(t)
	starts := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))
	assert.Equal(t, len(starts), 1)
	first := starts[0]
	for range 3 {
		again := effectsOf[exchange.StartRun](d.startUnanswered(first))
		assert.Equal(t, len(again), 1)
		assert.Equal(t, again[0].Order.Run, first.Order.Run, "the same run must be ordered again")
		assert.Equal(t, again[0].Order.Ticket, first.Order.Ticket)
	}
	effects := d.startUnanswered(first)
	assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 0, "the number of attempts is limited")
}

func TestStartSentTwiceMayHaveBeenCarriedOut(t *testing.T) {
	for _, fate := range []order.Outcome{order.NotDone, order.Refused} {
		d := oneWorker(t)
		first := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))[0]
		d.startUnanswered(first)
		effects := d.handle(exchange.StartEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: first.Order.Run, Answer: order.Answer{Outcome: fate, Reason: order.NoCapacity}})
		effects = append(effects, d.advance(200*time.Millisecond)...)
		assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 0, "after %s the first order may still be carried out", fate)
	}
}

func TestWorkerWithOverdueStartGetsNoMoreStarts(t *testing.T) {
	d := oneWorker(t)
	first := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))[0]
	d.now = d.now.Add(150 * time.Millisecond)
	assert.Equal(t, len(effectsOf[exchange.StartRun](d.submitAndLog(oneStep("k", "quick", 1, false)))), 0)
	effects := d.handle(exchange.StartEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: first.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
	effects = append(effects, d.advance(100*time.Millisecond)...)
	assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 1, "the worker has answered")
}

func TestHolderWithoutAuthorityRenewsNoLease(t *testing.T) {
	d, renewals := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	// The log confirms no more renewals of the claim.
	d.advance(settings().Authority.HoldFor)
	effects := d.handle(renewAnswer(renewals["w"]))
	effects = append(effects, d.advance(200*time.Millisecond)...)
	assert.Equal(t, len(effectsOf[exchange.Renew](effects)), 0, "the next holder relies on the leases expiring")
	assert.Check(t, !d.core.IsServing(d.now))
}

func TestRenewalWaitsAtMostHalfTheShortestTask(t *testing.T) {
	d, renewals := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	assert.Equal(t, renewals["w"].Order.MaxWait.Duration(), 5*time.Second, "nothing runs on the worker")
	s := oneStep("j", "quick", 1, false)
	s.Steps[0].Estimate = 600
	start := effectsOf[exchange.StartRun](d.submitAndLog(s))[0]
	d.handle(exchange.StartEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: start.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
	effects := d.handle(renewAnswer(renewals["w"], start.Order.Run))
	renewal := effectsOf[exchange.Renew](effects)[0]
	assert.Equal(t, renewal.Order.MaxWait.Duration(), 300*time.Millisecond)
	assert.Check(t, renewal.Timeout <= 500*time.Millisecond, "a lost answer is detected after %v", renewal.Timeout)
	// The next renewal is sent at once.
	effects = d.handle(exchange.RenewEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Renewal: renewal.Renewal, Answer: order.Answer{Outcome: order.Unknown}})
	assert.Equal(t, len(effectsOf[exchange.Renew](effects)), 1)
}

func TestStalledRunsAreMoved(t *testing.T) {
	w := newServingWorld(t, 31, 1, 3)
	w.workers[0].stallsRuns = true
	for i := range 12 {
		w.submit(oneStep(string(rune('a'+i)), "quick", 2, false))
	}
	w.waitUntil(8*time.Second, "the jobs have ended", w.allEnded)
	assert.Check(t, w.workers[0].startCount > 0, "no run started on the worker whose runs stall")
	w.requireNoViolations()
}

func TestCellIsTakenOverSoonAfterLogReturns(t *testing.T) {
	w := newServingWorld(t, 41, 3, 4)
	first := w.holder()
	w.logDown = true
	w.run(2 * time.Second)
	// The holder loses its network before the log recovers.
	first.logUnreachable, first.peersUnreachable = true, true
	w.run(3 * time.Second)
	w.logDown = false
	w.waitUntil(1100*time.Millisecond, "another box holds the cell", func() bool {
		h := w.holder()
		return h != nil && h != first
	})
	w.requireNoViolations()
}

func TestStartIsNotResentWithoutAuthority(t *testing.T) {
	d := oneWorker(t)
	first := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))[0]
	d.advance(settings().Authority.HoldFor)
	assert.Equal(t, len(effectsOf[exchange.StartRun](d.startUnanswered(first))), 0)
}
