// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"context"
	"sync/atomic"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/modules/clock"
	"saddlevane/modules/httpclient"
	"saddlevane/services/relay"
)

// appendToLog appends to the log. The append may be retried, because a second one has no further
// effect: an append to the journal has a sequence number and takes effect once, a claim states
// the offset at which it must be appended, and an announcement only repeats itself. The reducer
// does not conclude from an error that nothing was appended: if the first attempt of a claim took
// effect, the retry fails because the end of the stream has moved.
func (l *Loop) appendToLog(e exchange.Append) {
	ctx, cancel := context.WithTimeout(l.ctx, l.settings.CallTimeout)
	defer cancel()
	ctx = httpclient.WithRetry(ctx, httpclient.Retry{})
	startedAt := l.now()
	offset, err := l.platform.Log.Append(ctx, e.Append)
	l.metrics.recordAppend(e.Purpose, l.now().Sub(startedAt), err)
	l.post(exchange.AppendEnded{Purpose: e.Purpose, Number: e.Number, Offset: offset, Err: err})
}

// loadJobsTimeout bounds the read of all jobs.
const loadJobsTimeout = 5 * time.Second

// loadJobs reads the whole stream of jobs. After a failure it pauses before it posts the result,
// since the reducer retries at once.
func (l *Loop) loadJobs(e exchange.LoadJobs) {
	ctx, cancel := context.WithTimeout(l.ctx, loadJobsTimeout)
	defer cancel()
	page, err := l.platform.Log.Newest(ctx, stream.Jobs)
	if err != nil {
		clock.Wait(l.ctx, readRetryDelay)
	}
	l.post(exchange.JobsLoaded{Epoch: e.Epoch, Records: page.Records, Err: err})
}

// beginRenewal renews a worker's lease through its relay, without a goroutine, or else in one. It is
// called by the event loop and does not block.
func (l *Loop) beginRenewal(e exchange.Renew) {
	r := &renewal{loop: l, order: e, sentAt: l.now()}
	o := relay.Order{Worker: e.Worker, Address: e.Address, Renew: &e.Order}
	sent := l.relayClient.Begin(o, e.Timeout+e.GracePeriod, e.Timeout, relay.Handlers{
		Overdue: r.handleOverdue,
		Done:    func(result relay.Result) { r.end(result.RenewalReport(e.Worker), result.Answer) },
		NotSent: r.sendDirectly,
	})
	if !sent {
		l.tasks.Go(r.call)
	}
}

// renewal is a renewal of a worker's lease in progress. If there is no answer within the timeout of the
// order, it posts a result with an unknown outcome. A successful answer that arrives within the grace
// period after that is posted as a second result.
type renewal struct {
	loop  *Loop
	order exchange.Renew
	// sentAt is when it was first sent.
	sentAt time.Time
	// isOverdue is set once the result with an unknown outcome was posted or is about to be.
	isOverdue atomic.Bool
}

// renewalEnded returns the event that posts the end of a renewal.
func renewalEnded(e exchange.Renew, report order.Report, answer order.Answer) exchange.RenewEnded {
	return exchange.RenewEnded{Worker: e.Worker, Epoch: e.Epoch, Renewal: e.Renewal, Report: report, Answer: answer}
}

// handleOverdue posts that there is no answer in time.
func (r *renewal) handleOverdue() {
	if r.isOverdue.CompareAndSwap(false, true) {
		r.loop.post(renewalEnded(r.order, order.Report{}, order.Answer{Outcome: order.Unknown, Problem: "no answer in time"}))
	}
}

// sendDirectly calls the worker after the order could not be sent to its relay.
func (r *renewal) sendDirectly() { r.loop.tasks.Go(r.call) }

// call calls the worker and waits for its answer.
func (r *renewal) call() {
	l, e := r.loop, r.order
	elapsed := l.now().Sub(r.sentAt)
	ctx, cancel := context.WithTimeout(httpclient.WithOverdueAfter(l.ctx, e.Timeout), e.Timeout+e.GracePeriod-elapsed)
	defer cancel()
	overdue := time.AfterFunc(e.Timeout-elapsed, r.handleOverdue)
	defer overdue.Stop()
	r.end(l.direct.RenewInParts(ctx, e.Address, e.Worker, e.Order))
}

// end handles the result.
func (r *renewal) end(report order.Report, answer order.Answer) {
	r.loop.metrics.recordOrder("renew", answer)
	for _, end := range report.Ended {
		r.loop.metrics.recordEnd(end.Status)
	}
	if r.isOverdue.CompareAndSwap(false, true) || answer.Outcome == order.CarriedOut {
		r.loop.post(renewalEnded(r.order, report, answer))
	}
}

// beginStart orders a worker to start a run through its relay, without a goroutine, or else in one. It
// is called by the event loop and does not block.
func (l *Loop) beginStart(e exchange.StartRun) {
	end := func(answer order.Answer) {
		l.post(exchange.StartEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Fence: e.Order.Fence, Answer: answer})
	}
	done := func(answer order.Answer) {
		l.metrics.recordOrder("start", answer)
		end(answer)
	}
	sentAt := l.now()
	call := func() {
		ctx, cancel := context.WithTimeout(l.ctx, e.Timeout-l.now().Sub(sentAt))
		defer cancel()
		done(l.direct.Start(ctx, e.Address, e.Worker, e.Order))
	}
	o := relay.Order{Worker: e.Worker, Address: e.Address, Start: &e.Order}
	sent := l.relayClient.Begin(o, e.Timeout, e.Timeout, relay.Handlers{
		Done:    func(result relay.Result) { done(result.Answer) },
		NotSent: func() { l.tasks.Go(call) },
	})
	if !sent {
		l.tasks.Go(call)
	}
}

// throttleRun orders a worker to change the speed of a run.
func (l *Loop) throttleRun(e exchange.ThrottleRun) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	answer := l.workers.Throttle(ctx, e.Address, e.Worker, e.Order)
	l.metrics.recordOrder("throttle", answer)
	l.post(exchange.ThrottleEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Percent: e.Order.Percent, Fence: e.Order.Fence, Answer: answer})
}

// stopRun orders a worker to stop a run.
func (l *Loop) stopRun(e exchange.StopRun) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	answer := l.workers.Stop(ctx, e.Address, e.Worker, e.Order)
	l.metrics.recordOrder("stop", answer)
	l.post(exchange.StopEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Fence: e.Order.Fence, Answer: answer})
}
