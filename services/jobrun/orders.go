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

// append appends to the log. It may be made again: an append of the journal has a
// sequence number and takes effect once; so does a claim, which names the place where it
// goes; an announcement says the same twice. The reducer takes no error for a sign that
// nothing was appended, since a claim whose first try was done is answered that the
// stream has moved.
func (l *Loop) append(e exchange.Append) {
	ctx, cancel := context.WithTimeout(l.ctx, l.settings.CallTimeout)
	defer cancel()
	ctx = httpclient.Repeatable(ctx, httpclient.Repeat{})
	began := l.now()
	offset, err := l.platform.Log.Append(ctx, e.Append)
	l.metrics.appended(e.Purpose, l.now().Sub(began), err)
	l.post(exchange.AppendEnded{Purpose: e.Purpose, Number: e.Number, Offset: offset, Err: err})
}

// loadWithin bounds the reading of all jobs.
const loadWithin = 5 * time.Second

// loadJobs reads the stream of jobs whole. After a failure it waits a moment,
// since the reducer asks again at once.
func (l *Loop) loadJobs(e exchange.LoadJobs) {
	ctx, cancel := context.WithTimeout(l.ctx, loadWithin)
	defer cancel()
	page, err := l.platform.Log.Newest(ctx, stream.Jobs)
	if err != nil {
		clock.Wait(l.ctx, followAgain)
	}
	l.post(exchange.JobsLoaded{Epoch: e.Epoch, Records: page.Records, Err: err})
}

// renew renews a worker's lease. When the answer is overdue the reducer is told so, and
// of the answer too if it comes later.
func (l *Loop) renew(e exchange.Renew) {
	if !l.mayOrder(e.Epoch) {
		l.post(exchange.RenewEnded{Worker: e.Worker, Epoch: e.Epoch, Renewal: e.Renewal, Answer: decidedBefore})
		return
	}
	ctx, cancel := context.WithTimeout(httpclient.Overdue(l.ctx, e.Timeout), e.Timeout+e.GracePeriod)
	defer cancel()
	ended := exchange.RenewEnded{Worker: e.Worker, Epoch: e.Epoch, Renewal: e.Renewal}
	none := ended
	none.Answer = order.Answer{Outcome: order.Unknown, Problem: "no answer in time"}
	overdue := time.AfterFunc(e.Timeout, func() { l.post(none) })
	ended.Report, ended.Answer = l.workers.Renew(ctx, e.Address, e.Worker, e.Order)
	l.metrics.ordered("renew", ended.Answer)
	for _, end := range ended.Report.Ended {
		l.metrics.ended(end.Status)
	}
	if overdue.Stop() || ended.Answer.Outcome == order.CarriedOut {
		l.post(ended)
	}
}

// start orders a start.
func (l *Loop) start(e exchange.StartRun) {
	if !l.mayOrder(e.Epoch) {
		l.post(exchange.StartEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Answer: decidedBefore})
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	answer := l.workers.Start(ctx, e.Address, e.Worker, e.Order)
	l.metrics.ordered("start", answer)
	l.post(exchange.StartEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Answer: answer})
}

// throttle orders a pace.
func (l *Loop) throttle(e exchange.ThrottleRun) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	answer := l.workers.Throttle(ctx, e.Address, e.Worker, e.Order)
	l.metrics.ordered("throttle", answer)
	l.post(exchange.ThrottleEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Percent: e.Order.Percent, Answer: answer})
}

// stop orders a stop.
func (l *Loop) stop(e exchange.StopRun) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	answer := l.workers.Stop(ctx, e.Address, e.Worker, e.Order)
	l.metrics.ordered("stop", answer)
	l.post(exchange.StopEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Answer: answer})
}
