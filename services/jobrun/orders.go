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

// appendToLog appends to the log. It may be made again: an append of the journal has a
// sequence number and takes effect once; so does a claim, which names the place where it
// goes; an announcement says the same twice. The reducer takes no error for a sign that
// nothing was appended, since a claim whose first try was done is answered that the
// stream has moved.
func (l *Loop) appendToLog(e exchange.Append) {
	ctx, cancel := context.WithTimeout(l.ctx, l.settings.CallTimeout)
	defer cancel()
	ctx = httpclient.Repeatable(ctx, httpclient.Repeat{})
	began := l.now()
	offset, err := l.platform.Log.Append(ctx, e.Append)
	l.metrics.recordAppend(e.Purpose, l.now().Sub(began), err)
	l.post(exchange.AppendEnded{Purpose: e.Purpose, Number: e.Number, Offset: offset, Err: err})
}

// loadJobsTimeout bounds the reading of all jobs.
const loadJobsTimeout = 5 * time.Second

// loadJobs reads the stream of jobs whole. After a failure it waits a moment,
// since the reducer asks again at once.
func (l *Loop) loadJobs(e exchange.LoadJobs) {
	ctx, cancel := context.WithTimeout(l.ctx, loadJobsTimeout)
	defer cancel()
	page, err := l.platform.Log.Newest(ctx, stream.Jobs)
	if err != nil {
		clock.Wait(l.ctx, readRetryDelay)
	}
	l.post(exchange.JobsLoaded{Epoch: e.Epoch, Records: page.Records, Err: err})
}

// renewLease renews a worker's lease. When the answer is overdue the reducer is told so, and
// of the answer too if it comes later.
func (l *Loop) renewLease(e exchange.Renew) {
	if !l.canOrder(e.Epoch) {
		l.post(exchange.RenewEnded{Worker: e.Worker, Epoch: e.Epoch, Renewal: e.Renewal, Answer: answerAuthorityEnded})
		return
	}
	ctx, cancel := context.WithTimeout(httpclient.Overdue(l.ctx, e.Timeout), e.Timeout+e.GracePeriod)
	defer cancel()
	ended := exchange.RenewEnded{Worker: e.Worker, Epoch: e.Epoch, Renewal: e.Renewal}
	none := ended
	none.Answer = order.Answer{Outcome: order.Unknown, Problem: "no answer in time"}
	overdue := time.AfterFunc(e.Timeout, func() { l.post(none) })
	ended.Report, ended.Answer = l.workers.Renew(ctx, e.Address, e.Worker, e.Order)
	l.metrics.recordOrder("renew", ended.Answer)
	for _, end := range ended.Report.Ended {
		l.metrics.recordEnd(end.Status)
	}
	if overdue.Stop() || ended.Answer.Outcome == order.CarriedOut {
		l.post(ended)
	}
}

// startRun orders a start.
func (l *Loop) startRun(e exchange.StartRun) {
	if !l.canOrder(e.Epoch) {
		l.post(exchange.StartEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Answer: answerAuthorityEnded})
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	answer := l.workers.Start(ctx, e.Address, e.Worker, e.Order)
	l.metrics.recordOrder("start", answer)
	l.post(exchange.StartEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Answer: answer})
}

// throttleRun orders a pace.
func (l *Loop) throttleRun(e exchange.ThrottleRun) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	answer := l.workers.Throttle(ctx, e.Address, e.Worker, e.Order)
	l.metrics.recordOrder("throttle", answer)
	l.post(exchange.ThrottleEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Percent: e.Order.Percent, Answer: answer})
}

// stopRun orders a stop.
func (l *Loop) stopRun(e exchange.StopRun) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	answer := l.workers.Stop(ctx, e.Address, e.Worker, e.Order)
	l.metrics.recordOrder("stop", answer)
	l.post(exchange.StopEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Answer: answer})
}
