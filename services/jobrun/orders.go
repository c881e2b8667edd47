// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun

import (
	"context"
	"errors"

	"saddlevane/models/order"
	"saddlevane/services/dispatch"
)

// ErrAdviceBusy means that the advice service has too many calls of this box
// waiting.
var ErrAdviceBusy = errors.New("too many calls for advice wait")

func (l *Loop) append(e dispatch.Append) {
	ctx, cancel := context.WithTimeout(l.ctx, l.settings.CallTimeout)
	defer cancel()
	began := l.now()
	offset, err := l.platform.Log.Append(ctx, e.Append)
	l.metrics.appended(e.Purpose, l.now().Sub(began), err)
	l.post(dispatch.AppendEnded{Purpose: e.Purpose, Number: e.Number, Offset: offset, Err: err})
}

func (l *Loop) loadJobs(e dispatch.LoadJobs) {
	ctx, cancel := context.WithTimeout(l.ctx, loadWithin)
	defer cancel()
	page, err := l.platform.Log.Newest(ctx, jobsStream)
	if err != nil {
		sleep(l.ctx, followAgain)
	}
	l.post(dispatch.JobsLoaded{Epoch: e.Epoch, Records: page.Records, Err: err})
}

func (l *Loop) renew(e dispatch.Renew) {
	sentAt := l.now()
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	report, answer := l.platform.Workers.Renew(ctx, e.Address, e.Worker, e.Order)
	l.metrics.ordered("renew", answer)
	for _, end := range report.Ended {
		l.metrics.ended(end.How)
	}
	l.post(dispatch.RenewEnded{Worker: e.Worker, Epoch: e.Epoch, SentAt: sentAt, Answer: answer, Report: report})
}

func (l *Loop) start(e dispatch.StartRun) {
	ctx, cancel := context.WithTimeout(l.ctx, l.settings.OrderTimeout)
	defer cancel()
	answer := l.platform.Workers.Start(ctx, e.Address, e.Worker, e.Order)
	l.metrics.ordered("start", answer)
	l.post(dispatch.StartEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Answer: answer})
}

func (l *Loop) stop(e dispatch.StopRun) {
	ctx, cancel := context.WithTimeout(l.ctx, l.settings.OrderTimeout)
	defer cancel()
	answer := l.platform.Workers.Stop(ctx, e.Address, e.Worker, e.Order)
	l.metrics.ordered("stop", answer)
	l.post(dispatch.StopEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Answer: answer})
}

func (l *Loop) advise(e dispatch.Advise) {
	ctx, cancel := context.WithTimeout(l.ctx, e.Timeout)
	defer cancel()
	var good []order.Ticket
	var err error
	if e.Address == "" {
		good, err = l.platform.Advise(ctx, e.Step, e.Workers)
	} else {
		good, err = l.peers.advise(ctx, e.Address, e.Step, e.Workers)
	}
	ended := dispatch.Advised{Step: e.Step, Box: e.Box, Epoch: e.Epoch, Asked: e.Workers, Good: good}
	l.metrics.advised(err)
	if err != nil {
		ended.Failed = err.Error()
		ended.Busy = errors.Is(err, ErrAdviceBusy)
	}
	l.post(ended)
}
