// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/httpclient"
)

// maxSingleWait is the longest wait of one renewal call at a worker. A worker that stops answering is
// noticed within about that time.
const maxSingleWait = time.Second

// RenewInParts renews a worker's lease. A wait longer than maxSingleWait is split into several calls, of which
// only the first extends the lease. They end early if the worker runs anything or has ended a run, if
// another incarnation answers, or if a call fails. So a worker without tasks costs the sender one
// message in a long time, however often it is asked.
func (c WorkerCalls) RenewInParts(ctx context.Context, address string, worker order.Incarnation, r order.Renew) (order.Report, order.Answer) {
	overdue, bounded := httpclient.OverdueAfter(ctx)
	margin := overdue - r.MaxWait.Duration()
	if r.MaxWait.Duration() <= maxSingleWait || !bounded || margin <= 0 {
		return c.Renew(ctx, address, worker, r)
	}
	known := worker
	for {
		report, answer := c.renewOnce(ctx, address, worker, r, margin)
		r.MaxWait -= job.Milliseconds(maxSingleWait.Milliseconds())
		if r.MaxWait <= 0 || answer.Outcome != order.CarriedOut || isEventful(known, report) {
			return report, answer
		}
		// The sender may not know when the worker was started, but the first report contains it. The next
		// call may reach a later incarnation, whose ends have the same numbers.
		known, r.LeaseEnd, r.Acknowledged = report.Incarnation, 0, 0
	}
}

// renewOnce makes one call that waits at most maxSingleWait, and gives it up margin after that.
func (c WorkerCalls) renewOnce(ctx context.Context, address string, worker order.Incarnation, r order.Renew, margin time.Duration) (order.Report, order.Answer) {
	wait := min(r.MaxWait.Duration(), maxSingleWait)
	r.MaxWait = job.Milliseconds(wait.Milliseconds())
	ctx, cancel := context.WithTimeout(httpclient.WithOverdueAfter(ctx, wait+margin), wait+margin)
	defer cancel()
	return c.Renew(ctx, address, worker, r)
}

// isEventful reports whether a report says more than that the known incarnation has nothing to do.
func isEventful(known order.Incarnation, r order.Report) bool {
	return len(r.Running) > 0 || len(r.Ended) > 0 || known.DiffersFrom(r.Incarnation)
}
