// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"errors"
	"time"

	"saddlevane/models/order"
	"saddlevane/services/jobrecords"
	"saddlevane/services/transit"
)

// A start order without an answer may be carried out seconds later, also after a takeover. Package transit keeps
// account of these orders, and of what the log says about them.

// recordStartInTransit records that an order to start a run on a worker of the given name got no answer. Until the
// order is over, the ends of its task stay unacknowledged, and so do all ends of the worker: a later incarnation
// that carries the order out would take an acknowledgement for that of its own end.
func (h *holderState) recordStartInTransit(now time.Time, name string, run order.Run) {
	if w := h.workers[name]; w != nil {
		w.hold.Extend(now.Add(transit.MaxDelay))
	}
	if s := h.findStep(run.Task.StepID); s != nil && run.Task.Index < len(s.tasks) {
		s.tasks[run.Task.Index].startsInTransit.RecordUnanswered(now)
	}
}

// repeatStart sends the order to start an attempt again, or has it sent once the log names the start. It returns
// false if that is not allowed, or if the log accepts no records.
func (h *holderState) repeatStart(now time.Time, a *attempt) bool {
	switch {
	case !h.canRetryStart(now, a):
		return false
	case h.startOrders.MayRepeat(a.runID()):
		h.sendStart(now, a)
	case h.journal.isFailing(now):
		return false
	default:
		h.startOrders.Await(a.runID())
		h.waitingRepeats = append(h.waitingRepeats, a)
		h.core.logEvent("repetition of a start order waits for the log", logField("job", string(a.step.job.id)),
			logField("task", a.runID().Task.String()), logField("run", a.run), logField("worker", a.worker.Incarnation.String()))
	}
	return true
}

// resumeRepeats sends the repetitions that waited for the log, and gives up those that are not allowed any more.
func (h *holderState) resumeRepeats(now time.Time) {
	waiting := h.waitingRepeats
	h.waitingRepeats = nil
	for _, a := range waiting {
		switch {
		case a.state != attemptStarting || a.worker.attempts[a.runID()] != a:
			// The worker has reported the run, or has restarted.
		case !h.startOrders.MayRepeat(a.runID()) && !h.journal.isFailing(now):
			h.waitingRepeats = append(h.waitingRepeats, a)
		case !h.repeatStart(now, a):
			h.markUnconfirmed(now, a, "it was not repeated in time")
		}
	}
}

// addStartsInTransit adds to a batch what the next holder has to know about the starts of this one.
func (h *holderState) addStartsInTransit(now time.Time, b *batch) {
	if h.phase != phaseActive {
		return
	}
	for _, number := range h.startOrders.TakeObsolete(now) {
		b.addRecord(jobrecords.DropStartsInTransit(number))
	}
	if number, starts := h.startOrders.Take(now); len(starts) > 0 {
		b.addRecord(jobrecords.StartsInTransitRecord(number, starts))
	}
	if exempt, isNew := h.startOrders.TakeExempt(now, h.nextRun); isNew {
		b.addRecord(jobrecords.ExemptRunsRecord(exempt))
	}
}

// readStartsInTransit returns what the log says about the starts of earlier holders. What cannot be decoded is
// logged.
func (h *holderState) readStartsInTransit(state jobrecords.State) transit.Log {
	var log transit.Log
	var errs []error
	for _, r := range state.StartsInTransit {
		errs = append(errs, log.AddRecord(r.Number, r.Value))
	}
	if state.ExemptRuns != nil {
		errs = append(errs, log.SetExempt(state.ExemptRuns))
	}
	if err := errors.Join(errs...); err != nil {
		h.core.logEvent("failed to decode logged starts in transit", logField("error", err.Error()))
	}
	return log
}

// restoreStartsInTransit restores the starts of earlier holders that may still be carried out.
func (h *holderState) restoreStartsInTransit(now time.Time, log transit.Log) {
	h.inheritedTransit = log.Inherit(now, h.startedAt)
	h.startOrders.Inherit(h.inheritedTransit)
	for _, start := range h.inheritedTransit.Starts() {
		if s := h.findRunStep(now, start.Task.StepID); s != nil && start.Task.Index < len(s.tasks) {
			h.recordInheritedTransit(s, start.Run())
		}
	}
}

// recordInheritedTransit records with a task that a copy of an earlier holder's order to start a run of it may be
// in transit, if that is so, and reports whether it is.
func (h *holderState) recordInheritedTransit(s *step, run order.Run) bool {
	until := h.inheritedTransit.UntilOf(run)
	s.tasks[run.Task.Index].startsInTransit.Extend(until)
	return !until.IsZero()
}
