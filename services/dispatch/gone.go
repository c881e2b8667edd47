// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/services/blame"
)

// handleWorkerUnresponsive notes that a worker does not answer from now on.
func (h *holderState) handleWorkerUnresponsive(now time.Time, w *worker) {
	w.presence.RecordSilence(now, h.core.settings.RenewWait+renewMargin)
	if w.isolatedAttempts == 0 {
		h.blame.RecordSilence(now, w.Incarnation, w.Rack, w.crashRisk())
	}
}

// endingOf tells how the life of a worker has ended that does not answer any more, or
// of which it is sure that it is over.
func (h *holderState) endingOf(now time.Time, w *worker, over bool) exchange.Ending {
	if w.presence.SilentSince().IsZero() {
		h.handleWorkerUnresponsive(now, w)
	}
	return w.presence.Ending(over)
}

// loseAttempts frees the tasks of a worker that has surely ended them. Later is the life that has
// taken its place, or nil: tasks that it may begin are handed down to it.
func (h *holderState) loseAttempts(now time.Time, w, later *worker, how exchange.Ending, why string) {
	lost := exchange.TasksLost{Ending: how, Tasks: len(w.attempts)}
	at := w.presence.SilentSince()
	var suspects []blame.RunningTask
	if how == exchange.Crashed {
		suspects = h.tasksAtCrash(w, at)
	}
	for _, a := range w.sortedAttempts() {
		lost.Worked += a.maxWorkTime(at)
		a.task().lostRuns++
		if later != nil && a.mayStartOnSuccessor() {
			h.moveToSuccessor(now, a, later)
			continue
		}
		h.loseAttempt(now, a, why)
	}
	h.core.emit(lost)
	if how == exchange.Crashed {
		h.recordCrash(now, w, suspects)
	}
}

// workTime returns for how long an attempt had been at work when its worker fell silent
// at a time, if that is known.
func (a *attempt) workTime(at time.Time) (time.Duration, bool) {
	if a.firstOrderedAt.IsZero() {
		return a.workedUntilSilence, a.workedUntilSilenceKnown
	}
	return a.maxWorkTime(at), true
}

// detectionDelay returns by how much the silence of a worker may have been seen too late: while no
// look waits there a crash is seen by the next, and not at its time.
func (w *worker) detectionDelay() time.Duration {
	if w.unresponsive.detectionDelay > 0 || w.aliveAt.IsZero() {
		return w.unresponsive.detectionDelay
	}
	return max(0, w.presence.SilentSince().Sub(w.aliveAt))
}

// maxWorkTime returns for how long at most an attempt had been at work at a time, or 0
// if an earlier holder started it.
func (a *attempt) maxWorkTime(at time.Time) time.Duration {
	if a.firstOrderedAt.IsZero() {
		return 0
	}
	return max(0, at.Sub(a.firstOrderedAt))
}
