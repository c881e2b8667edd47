// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/ordered"
)

// deliveryWorker is a simulated worker. Each incarnation begins without fence number, runs and ends.
type deliveryWorker struct {
	c              *deliveryCell
	incarnation    order.Incarnation
	bornAt         time.Time
	fence          int64
	leaseEnd       time.Time
	runs           map[order.Run]time.Time
	paces          map[order.Run]int
	endsNumbered   int64
	ended          []order.End
	highestRun     map[job.TaskID]int64
	waitingAnswers []*waitingAnswer
	// runTime is how long a run takes. tail is the tail latency that serving tasks report.
	runTime time.Duration
	tail    int64
}

// waitingAnswer is a renewal that waits at a worker for the end of a run, up to a time. partUntil is when
// its current call ends.
type waitingAnswer struct {
	known            order.Incarnation
	fence            int64
	until, partUntil time.Time
	answer           func(order.Answer, order.Report)
}

// begin begins an incarnation.
func (w *deliveryWorker) begin(id order.Incarnation) {
	w.incarnation, w.bornAt, w.fence, w.leaseEnd, w.endsNumbered = id, w.c.now, 0, time.Time{}, 0
	w.runs, w.paces, w.highestRun = map[order.Run]time.Time{}, map[order.Run]int{}, map[job.TaskID]int64{}
	w.ended, w.waitingAnswers = nil, nil
}

// clock returns the time of the worker's clock, which begins at 1000 ms in each incarnation.
func (w *deliveryWorker) clock() order.WorkerClock {
	return order.WorkerClock(w.c.now.Sub(w.bornAt).Milliseconds()) + 1000
}

// refuses returns the answer to an order whose fence number is lower than one seen before, and whether
// that is so. Otherwise it stores the number.
func (w *deliveryWorker) refuses(fence int64) (order.Answer, bool) {
	if fence < w.fence {
		return order.Answer{Outcome: order.Refused, Reason: order.Fenced, Clock: w.clock()}, true
	}
	w.fence = fence
	return order.Answer{Outcome: order.CarriedOut, Clock: w.clock()}, false
}

// extendLease extends the lease, by at most its longest duration.
func (w *deliveryWorker) extendLease(until order.WorkerClock) {
	if until == 0 {
		return
	}
	end := w.c.now.Add(min(lease, time.Duration(until-w.clock())*time.Millisecond))
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// start carries out a start.
func (w *deliveryWorker) start(s order.Start) order.Answer {
	answer, refused := w.refuses(s.Fence)
	switch {
	case refused:
		return answer
	case s.LeaseEnd <= w.clock():
		return order.Answer{Outcome: order.Refused, Reason: order.TooLate, Clock: w.clock()}
	}
	w.extendLease(s.LeaseEnd)
	if _, running := w.runs[s.Run]; running {
		return answer
	}
	if s.Number <= w.highestRun[s.Task] {
		return order.Answer{Outcome: order.Refused, Reason: order.StaleRun, Clock: w.clock()}
	}
	w.c.trace("%v starts %v run %d under fence %d", w.incarnation, s.Task, s.Number, s.Fence)
	if other := w.c.workerOf(s.Task); other != nil {
		w.c.besideStarts = append(w.c.besideStarts, fmt.Sprintf("%v run %d on %v beside %v", s.Task, s.Number, w.incarnation, other.incarnation))
	}
	if w.c.acknowledged[w.c.unit(s.Task)] {
		w.c.doneStarts = append(w.c.doneStarts, fmt.Sprintf("%v run %d on %v", s.Task, s.Number, w.incarnation))
	}
	w.c.starts = append(w.c.starts, carriedOutStart{w.incarnation, s.Run})
	w.runs[s.Run], w.paces[s.Run] = w.c.now.Add(w.runTime), 100
	return answer
}

// stop carries out a stop. The run ends at once.
func (w *deliveryWorker) stop(s order.Stop) order.Answer {
	answer, refused := w.refuses(s.Fence)
	if refused {
		return answer
	}
	w.highestRun[s.Task] = max(w.highestRun[s.Task], s.Number)
	if _, running := w.runs[s.Run]; running {
		w.endRun(s.Run, order.Stopped)
	}
	return answer
}

// throttle carries out a change of pace.
func (w *deliveryWorker) throttle(s order.Throttle) order.Answer {
	answer, refused := w.refuses(s.Fence)
	if refused {
		return answer
	}
	if _, running := w.runs[s.Run]; running {
		w.paces[s.Run] = s.Percent
	}
	return answer
}

// renew carries out a renewal. It is answered at the next end of a run, or when its wait is over.
func (w *deliveryWorker) renew(e exchange.Renew, answer func(order.Answer, order.Report)) {
	got, refused := w.refuses(e.Order.Fence)
	if refused {
		answer(got, order.Report{})
		return
	}
	w.extendLease(e.Order.LeaseEnd)
	w.forgetEnds(e.Order.Acknowledged)
	until := w.c.now.Add(e.Order.MaxWait.Duration())
	w.waitingAnswers = append(w.waitingAnswers, &waitingAnswer{
		known: e.Worker, fence: e.Order.Fence, until: until, partUntil: w.c.now.Add(partialWait), answer: answer,
	})
}

// forgetEnds drops the ends that a renewal acknowledges.
func (w *deliveryWorker) forgetEnds(acknowledged int64) {
	for len(w.ended) > 0 && w.ended[0].Number <= acknowledged {
		end := w.ended[0]
		w.ended = w.ended[1:]
		w.c.trace("end %d of %v (%v run %d, %s) is acknowledged", end.Number, w.incarnation, end.Task, end.Run.Number, end.Status)
		if !w.c.reported[reportedEnd{w.incarnation, end.Number}] {
			w.c.lostEnds = append(w.c.lostEnds, fmt.Sprintf("end %d of %v: %v run %d, %s", end.Number, w.incarnation, end.Task, end.Run.Number, end.Status))
		}
		if end.Status == order.Done {
			w.c.acknowledged[w.c.unit(end.Task)] = true
		}
	}
}

// report returns the report of the worker.
func (w *deliveryWorker) report() order.Report {
	r := order.Report{Incarnation: w.incarnation, Clock: w.clock(), Ended: slices.Clone(w.ended)}
	for run := range ordered.MapFunc(w.runs, order.Run.Compare) {
		r.Running = append(r.Running, order.Running{Run: run, Progress: 100, Measurement: w.tail})
	}
	return r
}

// endRun ends a run.
func (w *deliveryWorker) endRun(run order.Run, status order.EndStatus) {
	delete(w.runs, run)
	w.highestRun[run.Task] = max(w.highestRun[run.Task], run.Number)
	w.endsNumbered++
	w.ended = append(w.ended, order.End{Number: w.endsNumbered, Run: run, Status: status})
	w.c.trace("%v: %v run %d ends as end %d, %s", w.incarnation, run.Task, run.Number, w.endsNumbered, status)
}

// advance ends the runs that are complete or without a lease and answers the renewals whose wait is over.
func (w *deliveryWorker) advance() {
	for run, endsAt := range ordered.MapFunc(w.runs, order.Run.Compare) {
		switch {
		case w.c.now.After(w.leaseEnd):
			w.endRun(run, order.LeaseExpired)
		case !w.c.now.Before(endsAt):
			w.endRun(run, order.Done)
		}
	}
	waiting := w.waitingAnswers
	w.waitingAnswers = nil
	for _, a := range waiting {
		if !w.answerWaiting(a) {
			w.waitingAnswers = append(w.waitingAnswers, a)
		}
	}
}

// answerWaiting answers a renewal that waits and returns true if a run has ended, its wait is over, or one call of
// a longer wait has ended and the next one is refused or reports more than that the known incarnation is idle.
func (w *deliveryWorker) answerWaiting(a *waitingAnswer) bool {
	answer := order.Answer{Outcome: order.CarriedOut, Clock: w.clock()}
	if len(w.ended) == 0 && w.c.now.Before(a.until) {
		if w.c.now.Before(a.partUntil) {
			return false
		}
		a.partUntil = w.c.now.Add(partialWait)
		refusal, refused := w.refuses(a.fence)
		if refused {
			a.answer(refusal, order.Report{})
			return true
		}
		if len(w.runs) == 0 && !a.known.DiffersFrom(w.incarnation) {
			return false
		}
	}
	a.answer(answer, w.report())
	return true
}
