// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"context"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/modules/clock"
	"saddlevane/modules/httpclient"
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

// renewLease renews a worker's lease. If there is no answer within e.Timeout, it posts a result
// with an unknown outcome. A successful answer that arrives within the grace period after that
// is posted as a second result.
func (l *Loop) renewLease(e exchange.Renew) {
	ctx, cancel := context.WithTimeout(httpclient.WithOverdueAfter(l.ctx, e.Timeout), e.Timeout+e.GracePeriod)
	defer cancel()
	ended := exchange.RenewEnded{Worker: e.Worker, Epoch: e.Epoch, Renewal: e.Renewal}
	noAnswer := ended
	noAnswer.Answer = order.Answer{Outcome: order.Unknown, Problem: "no answer in time"}
	overdue := time.AfterFunc(e.Timeout, func() { l.post(noAnswer) })
	ended.Report, ended.Answer = l.workers.Renew(ctx, e.Address, e.Worker, e.Order)
	l.metrics.recordOrder("renew", ended.Answer)
	for _, end := range ended.Report.Ended {
		l.metrics.recordEnd(end.Status)
	}
	if overdue.Stop() || ended.Answer.Outcome == order.CarriedOut {
		l.post(ended)
	}
}

// startRun orders a worker to start a run.
func (l *Loop) startRun(e exchange.StartRun) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	answer := l.workers.Start(ctx, e.Address, e.Worker, e.Order)
	l.metrics.recordOrder("start", answer)
	l.post(exchange.StartEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Answer: answer})
}

// throttleRun orders a worker to change the speed of a run.
func (l *Loop) throttleRun(e exchange.ThrottleRun) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	answer := l.workers.Throttle(ctx, e.Address, e.Worker, e.Order)
	l.metrics.recordOrder("throttle", answer)
	l.post(exchange.ThrottleEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Percent: e.Order.Percent, Answer: answer})
}

// stopRun orders a worker to stop a run.
func (l *Loop) stopRun(e exchange.StopRun) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	answer := l.workers.Stop(ctx, e.Address, e.Worker, e.Order)
	l.metrics.recordOrder("stop", answer)
	l.post(exchange.StopEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Answer: answer})
}
