// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/services/delays"
)

// applyReport brings what is believed of a worker in line with its own word.
func (h *holding) applyReport(now time.Time, w *worker, e exchange.RenewEnded) {
	h.applyEnds(now, w, e.Report.Ended)
	clear(w.orphans)
	present := make(map[order.Run]bool, len(e.Report.Running))
	for _, r := range e.Report.Running {
		present[r.Run] = true
		h.applyRunning(now, w, r)
	}
	h.throttle(now, w)
	for _, a := range w.sortedAttempts() {
		if !present[a.name()] {
			h.applyAbsence(now, a, e.Look)
		}
	}
	h.moveStalled(now, w)
}

// applyEnds takes the ends of a list that were not heard before.
func (h *holding) applyEnds(now time.Time, w *worker, all []order.End) {
	for _, end := range all {
		if note, news := w.reportedEnds.Add(w, end.Number); news {
			h.ended(now, w, end, note)
		}
	}
}

// applyRunning notes that a run is at work on a worker.
func (h *holding) applyRunning(now time.Time, w *worker, r order.Running) {
	a := w.attempts[r.Run]
	if a == nil {
		a = h.adopt(now, w, r)
		if a == nil {
			w.orphans[r.Run] = true
			h.stopOrphan(now, w, r.Run)
			return
		}
	}
	a.silentKnown, a.handedDown = false, false
	a.seen(now, r)
	h.worksOn(now, a)
	if a.step.spec.Checkpoints && r.Checkpoint != "" {
		a.task().saved = r.Checkpoint
	}
	if a.state == unsure || a.state == starting {
		a.state = running
		h.mark(now, a)
		h.started(a)
	}
}

// adopt takes over a run that an earlier holder started. It returns nil if the
// run should not be there.
func (h *holding) adopt(now time.Time, w *worker, r order.Running) *attempt {
	s := h.findStep(r.Task.StepID)
	if s == nil || r.Task.Index >= len(s.tasks) || s.job.state.Final() {
		return nil
	}
	t := &s.tasks[r.Task.Index]
	if t.done || !t.isSupersededBy(r.Run) {
		return nil
	}
	if t.attempt != nil {
		h.unplace(t.attempt)
	}
	a := &attempt{
		step: s, index: r.Task.Index, run: r.Number, worker: w, state: running, since: now, looks: h.looks, confirmed: true, adopted: true,
		pace: paceUnknown,
	}
	h.place(now, a)
	s.lastRun = max(s.lastRun, r.Number)
	h.started(a)
	return a
}

// findStep returns a step, or nil if it is not known or nothing runs of its job any
// more.
func (h *holding) findStep(id job.StepID) *step {
	j := h.jobs[id.Job]
	if j == nil || j.instances == nil {
		return nil
	}
	in := j.instances[id.Instance]
	if in == nil || id.Step >= len(in.steps) {
		return nil
	}
	return in.steps[id.Step]
}

// stopOrphan ends a run that the holder would not have started.
func (h *holding) stopOrphan(now time.Time, w *worker, run order.Run) {
	h.core.note("a run that should not be there is stopped", field("task", run.Task.String()), field("run", run.Number), field("worker", w.Life.String()))
	h.orderStop(now, w, run)
}

// applyAbsence acts on an attempt that a report does not name. A look that was asked
// for before the attempt came to its present state proves nothing: the worker may
// have answered it earlier. A run that is being stopped is named as running until
// its end is told.
func (h *holding) applyAbsence(now time.Time, a *attempt, look int64) {
	if a.state == starting || look <= a.looks {
		return
	}
	if a.handedDown {
		h.loseAttempt(now, a, "the worker's present life has not begun it")
		return
	}
	if a.state == unsure {
		h.stop(now, a)
		return
	}
	switch {
	case a.state == running:
		h.loseAttempt(now, a, "the worker no longer has it")
	case a.confirmed:
		h.loseAttempt(now, a, "it was stopped before it began")
	}
}

// loseAttempt frees an attempt of which the worker knows nothing any more.
func (h *holding) loseAttempt(now time.Time, a *attempt, why string) {
	h.unplace(a)
	a.task().runs.RecordInterruption(delays.RunLost)
	h.core.note("task lost", field("job", string(a.step.job.id)), field("task", a.name().Task.String()), field("run", a.run),
		field("worker", a.worker.Life.String()), field("state", string(a.state)), field("reason", why),
		field("worked_most", a.maxWorkTime(a.worker.presence.SilentSince()).String()), field("times_lost", a.task().lost))
	if !a.step.job.state.Final() {
		h.gangBroke(now, a.step)
	}
	h.afterEnd(a.step)
}
