// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"cmp"
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"
	"saddlevane/modules/ordered"
)

// worker returns the worker at an address, or nil.
func (w *world) worker(address string) *fakeWorker {
	for _, f := range w.workers {
		if f.name == address {
			return f
		}
	}
	return nil
}

// sendOrder delivers an order to a worker, where execute carries it out, and passes the answer to
// answered. Orders to crashed and unreachable workers are lost or refused. If late is set,
// lateOrderShare of the orders get no answer and are carried out later.
func (w *world) sendOrder(address string, id order.Incarnation, answered func(time.Duration, order.Answer), late bool, execute func(*fakeWorker) order.Answer) {
	worker := w.worker(address)
	if worker == nil || worker.unreachable || !worker.alive && !w.crashesVisible && w.rng.Intn(2) == 0 {
		answered(time.Second, order.Answer{Outcome: order.Unknown, Problem: "no answer"})
		return
	}
	if !worker.alive {
		answered(w.delay(), order.Answer{Outcome: order.NotDone, Problem: "refused"})
		return
	}
	carryOut := func() order.Answer {
		if !worker.alive {
			return order.Answer{Outcome: order.Unknown, Reason: order.ConnectionClosed, Problem: "EOF"}
		}
		if worker.incarnation.Name != id.Name {
			return order.Answer{Outcome: order.WrongIncarnation}
		}
		return execute(worker)
	}
	if late && w.rng.Float64() < w.lateOrderShare {
		answered(time.Second, order.Answer{Outcome: order.Unknown, Problem: "no answer"})
		w.after(time.Duration(2000+w.rng.Intn(10000))*time.Millisecond, func() {
			w.executingLateOrder = true
			carryOut()
			w.executingLateOrder = false
		})
		return
	}
	w.after(w.delay(), func() { answered(w.delay(), carryOut()) })
}

// rejectsFence reports whether the fence of an order is lower than one the worker has seen before.
// Otherwise it stores the fence.
func (f *fakeWorker) rejectsFence(fence int64) bool {
	if fence < f.fence {
		return true
	}
	f.fence = fence
	return false
}

// extendLease sets a later end of the lease, at most one lease duration from now. It never shortens
// the lease.
func (f *fakeWorker) extendLease(until order.WorkerClock) {
	if until == 0 {
		return
	}
	end := f.w.now.Add(time.Duration(until-f.clock()) * time.Millisecond)
	if limit := f.w.now.Add(lease); end.After(limit) {
		end = limit
	}
	if end.After(f.leaseEnd) {
		f.leaseEnd = end
	}
}

// maxRoundTrip bounds the time from an answer of a worker until the holder has received it and the
// next order of the holder has arrived.
const maxRoundTrip = 20 * time.Millisecond

// lateAnswerInterval is the interval at which late answers are delivered, several at once.
const lateAnswerInterval = 700 * time.Millisecond

// maybeDelayAnswer returns the function that delivers the answer to a renewal. For lateAnswerShare
// of the renewals it reports a timeout first and delivers the answer up to about 4.7 s later,
// together with other late answers. Answers after the grace period are dropped.
func (w *world) maybeDelayAnswer(e exchange.Renew, respond func(time.Duration, exchange.Event)) func(time.Duration, exchange.Event) {
	if f := w.worker(e.Address); f != nil && f.answerDelay > 0 {
		return w.delayAnswer(e, f.answerDelay, respond)
	}
	if w.lateAnswerShare == 0 || w.rng.Float64() >= w.lateAnswerShare {
		return respond
	}
	respond(e.Timeout, exchange.RenewEnded{Worker: e.Worker, Epoch: e.Epoch, Renewal: e.Renewal, Answer: order.Answer{Outcome: order.Unknown}})
	sent := w.now
	after := e.Timeout + time.Duration(w.rng.Intn(4000))*time.Millisecond
	return func(d time.Duration, answer exchange.Event) {
		at := sent.Add(after).Truncate(lateAnswerInterval).Add(lateAnswerInterval)
		if at.Sub(sent) <= e.Timeout+e.GracePeriod {
			respond(max(d, at.Sub(w.now)), answer)
		}
	}
}

// delayAnswer returns the function that delivers the answer to a renewal a time later. If that is after
// the timeout, it reports the timeout too. Answers after the grace period are dropped.
func (w *world) delayAnswer(e exchange.Renew, by time.Duration, respond func(time.Duration, exchange.Event)) func(time.Duration, exchange.Event) {
	sent := w.now
	return func(d time.Duration, answer exchange.Event) {
		passed := w.now.Sub(sent)
		took := passed + d + by
		if took > e.Timeout {
			respond(max(0, e.Timeout-passed), exchange.RenewEnded{Worker: e.Worker, Epoch: e.Epoch, Renewal: e.Renewal, Answer: order.Answer{Outcome: order.Unknown}})
		}
		if took <= e.Timeout+e.GracePeriod {
			respond(d+by, answer)
		}
	}
}

// renew carries out a renewal of a lease.
func (w *world) renew(b *fakeBox, e exchange.Renew, respond func(time.Duration, exchange.Event)) {
	respond = w.maybeDelayAnswer(e, respond)
	var report order.Report
	var answeredBy order.Incarnation
	answered := func(d time.Duration, a order.Answer) {
		respond(d, exchange.RenewEnded{Worker: e.Worker, Epoch: e.Epoch, Renewal: e.Renewal, Answer: a, Report: report})
	}
	renewLease := func(f *fakeWorker) order.Answer {
		if f.rejectsFence(e.Order.Fence) {
			return order.Answer{Outcome: order.Refused, Reason: order.Fenced, Clock: f.clock()}
		}
		f.extendLease(e.Order.LeaseEnd)
		f.dropAcknowledged(e.Order.Acknowledged)
		report, answeredBy = f.report(), f.incarnation
		return order.Answer{Outcome: order.CarriedOut, Clock: f.clock()}
	}
	w.sendOrder(e.Address, e.Worker, func(d time.Duration, a order.Answer) {
		if a.Outcome == order.CarriedOut && len(report.Ended) == 0 && e.Order.MaxWait > 0 {
			w.waitForEnds(e, answeredBy, w.now.Add(e.Order.MaxWait.Duration()), respond)
			return
		}
		if f := w.worker(e.Address); f != nil && f.incarnation == answeredBy {
			f.markReached()
		}
		answered(d, a)
	}, w.lateOrdersIncludeRenewals, renewLease)
}

// markReached records when a holder first received an answer from the current incarnation.
func (f *fakeWorker) markReached() {
	if f.reachedAt.IsZero() {
		f.reachedAt = f.w.now
	}
}

// waitForEnds answers a renewal that an incarnation has received, at its next end of a run or when
// the maximum wait is over. If the worker crashes or becomes unreachable, the renewal fails.
func (w *world) waitForEnds(e exchange.Renew, receivedBy order.Incarnation, until time.Time, respond func(time.Duration, exchange.Event)) {
	f := w.worker(e.Address)
	switch {
	case w.crashesVisible && f != nil && !f.alive && !f.unreachable:
		respond(w.delay(), exchange.RenewEnded{Worker: e.Worker, Epoch: e.Epoch, Renewal: e.Renewal, Answer: order.Answer{Outcome: order.Unknown, Reason: order.ConnectionClosed, Problem: "EOF"}})
	case f == nil || f.incarnation != receivedBy || !f.alive || f.unreachable:
		respond(time.Second, exchange.RenewEnded{Worker: e.Worker, Epoch: e.Epoch, Renewal: e.Renewal, Answer: order.Answer{Outcome: order.Unknown}})
	case len(f.ended) > 0 || w.now.After(until) || len(f.runs) > 0 && e.Order.MaxWait.Duration() > time.Second && until.Sub(w.now).Milliseconds()%1000 < 10:
		f.markReached()
		respond(w.delay(), exchange.RenewEnded{
			Worker: e.Worker, Epoch: e.Epoch, Renewal: e.Renewal, Answer: order.Answer{Outcome: order.CarriedOut, Clock: f.clock()}, Report: f.report(),
		})
	default:
		w.after(10*time.Millisecond, func() { w.waitForEnds(e, receivedBy, until, respond) })
	}
}

// report returns the report of the worker's runs and ends.
func (f *fakeWorker) report() order.Report {
	ended := f.ended
	if limit := f.w.maxListedEnds; limit > 0 {
		ended = ended[:min(limit, len(ended))]
	}
	r := order.Report{Incarnation: f.incarnation, Clock: f.clock(), Ended: slices.Clone(ended)}
	// A run that is being stopped is reported as running until its end is reported. The workers of
	// users do the same: on one day, 280 renewals reported such runs, and 42 reported runs that
	// were stopped before they began, none of which ended later.
	for run := range ordered.MapFunc(f.runs, order.Run.Compare) {
		r.Running = append(r.Running, order.Running{Run: run, Progress: f.runs[run].progress(f.w.now)})
	}
	return r
}

// progress returns the progress of a run in percent.
func (r *fakeRun) progress(now time.Time) int {
	if r.begunAt.IsZero() || r.stalled {
		return 0
	}
	return min(99, int(100*now.Sub(r.begunAt)/max(1, r.duration)))
}

// dropAcknowledged drops the ends that the holder has acknowledged. An acknowledged end is final:
// the holder must never revise it.
func (f *fakeWorker) dropAcknowledged(acknowledged int64) {
	for len(f.ended) > 0 && f.ended[0].Number <= acknowledged {
		f.w.acknowledgeEnd(f, f.ended[0])
		f.ended = f.ended[1:]
	}
}

// acknowledgeEnd records that the holder has acknowledged an end of a run on worker f. Ends of services
// do not count.
func (w *world) acknowledgeEnd(f *fakeWorker, e order.End) {
	w.acknowledgedEnds++
	if w.now.Sub(f.endedAt[e.Number]) > acknowledgeLimit {
		w.lateAcknowledgements++
	}
	a := w.jobs[e.Task.Job]
	if a == nil || a.sub.Steps[e.Task.Step].Service {
		return
	}
	id := e.Task
	if a.sub.Steps[id.Step].Gang {
		id.Index = 0
	}
	switch e.Status {
	case order.Done:
		a.acknowledged[id] = true
		w.checkAcknowledgedSuccess(f, e)
	case order.Failed:
		a.acknowledgedFailures[id]++
	}
}

// startRun sends a start order to a worker.
func (w *world) startRun(b *fakeBox, e exchange.StartRun, respond func(time.Duration, exchange.Event)) {
	w.sendOrder(e.Address, e.Worker, func(d time.Duration, a order.Answer) {
		respond(d, exchange.StartEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Fence: e.Order.Fence, Answer: a})
	}, true, func(f *fakeWorker) order.Answer {
		known := f.runs[e.Order.Run] != nil
		answer := f.start(e.Order)
		if !known && f.runs[e.Order.Run] != nil {
			w.checkEvacuation(b, f, e.Order)
		}
		return answer
	})
}

// stopRun sends a stop order to a worker.
func (w *world) stopRun(_ *fakeBox, e exchange.StopRun, respond func(time.Duration, exchange.Event)) {
	w.sendOrder(e.Address, e.Worker, func(d time.Duration, a order.Answer) {
		respond(d, exchange.StopEnded{Worker: e.Worker, Epoch: e.Epoch, Run: e.Order.Run, Fence: e.Order.Fence, Answer: a})
	}, true, func(f *fakeWorker) order.Answer { return f.stop(e.Order) })
}

// start carries out a start order, after checking that it breaks no guarantee.
func (f *fakeWorker) start(s order.Start) order.Answer {
	// A late order for an earlier incarnation of the same name can reach a new incarnation. A
	// holder can only prevent that once it has reached the new incarnation, so that until then such
	// starts are not checked.
	unreached := f.w.executingLateOrder && f.incarnationCount > 1 && (f.reachedAt.IsZero() || f.w.now.Sub(f.reachedAt) < maxRoundTrip)
	refused := func(r order.Reason) order.Answer {
		return order.Answer{Outcome: order.Refused, Reason: r, Clock: f.clock()}
	}
	switch {
	case f.rejectsFence(s.Fence):
		return refused(order.Fenced)
	case s.LeaseEnd <= f.clock():
		return refused(order.TooLate)
	}
	f.extendLease(s.LeaseEnd)
	if f.runs[s.Run] != nil {
		return order.Answer{Outcome: order.CarriedOut, Clock: f.clock()}
	}
	if s.Number <= f.highestRun[s.Task] {
		return refused(order.StaleRun)
	}
	if !unreached {
		f.w.checkStart(f, s)
	} else {
		f.w.unreachedStarts++
	}
	f.w.starts[s.Task]++
	f.w.recordStartAfterLoss(f, s.Run)
	a := f.w.jobs[s.Task.Job]
	if !unreached {
		a.recordStart(s.Task, taskStart{at: f.w.now, number: s.Number, worker: f.incarnation, late: f.w.executingLateOrder})
	}
	step := a.sub.Steps[s.Task.Step]
	failureDraw := f.w.rng.Intn(100)
	f.runs[s.Run] = &fakeRun{
		run: s.Run, step: step, arrivedAt: f.w.now, willFail: f.failsAllTasks || failureDraw < cmp.Or(f.w.failurePercent, defaultFailurePercent) && !f.w.noRandomFailures,
		stalled: f.stallsRuns, unreached: unreached,
		duration: step.Estimate.Duration() * time.Duration(50+f.w.rng.Intn(100)) / 100 * time.Duration(max(1, f.slowdown)),
	}
	f.startCount++
	f.w.guiltyTaskStarted(f, s.Run)
	return order.Answer{Outcome: order.CarriedOut, Clock: f.clock()}
}

// stop carries out a stop order. Later starts of the run, or of earlier runs of its task, are
// refused.
func (f *fakeWorker) stop(s order.Stop) order.Answer {
	if f.rejectsFence(s.Fence) {
		return order.Answer{Outcome: order.Refused, Reason: order.Fenced, Clock: f.clock()}
	}
	f.highestRun[s.Task] = max(f.highestRun[s.Task], s.Number)
	if r := f.runs[s.Run]; r != nil && r.endsAt.IsZero() {
		r.endsAt, r.endStatus = f.w.now.Add(f.w.runStopDuration()), order.Stopped
	}
	return order.Answer{Outcome: order.CarriedOut, Clock: f.clock()}
}

// runStopDuration returns how long a run takes to stop.
func (w *world) runStopDuration() time.Duration {
	if w.stopDuration > 0 {
		return w.stopDuration
	}
	return defaultStopDuration
}
