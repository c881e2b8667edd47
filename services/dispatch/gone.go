// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/services/blame"
)

// handleWorkerUnresponsive records that a worker stopped answering at now.
func (h *holderState) handleWorkerUnresponsive(now time.Time, w *worker) {
	w.presence.RecordUnresponsive(now, h.core.settings.RenewWait+renewMargin)
	if w.isolatedAttempts == 0 {
		h.blame.RecordUnresponsive(now, w.Incarnation, w.Rack, w.crashRisk())
	}
}

// endingOf returns how the incarnation of an unresponsive worker ended. Over says that the
// incarnation itself has ended, not only its lease.
func (h *holderState) endingOf(now time.Time, w *worker, over bool) exchange.Ending {
	if w.presence.UnresponsiveSince().IsZero() {
		h.handleWorkerUnresponsive(now, w)
	}
	return w.presence.Ending(over)
}

// loseAttempts frees the tasks of an incarnation that has certainly ended them. Later is the
// incarnation that has replaced it, or nil: attempts that it may still start are moved to it.
func (h *holderState) loseAttempts(now time.Time, w, later *worker, ending exchange.Ending, reason string) {
	lost := exchange.TasksLost{Ending: ending, Tasks: len(w.attempts)}
	silentAt := w.presence.UnresponsiveSince()
	var suspects []blame.RunningTask
	if ending == exchange.Crashed {
		suspects = h.tasksAtCrash(w, silentAt)
	}
	for _, a := range w.sortedAttempts() {
		lost.Worked += a.maxWorkTime(silentAt)
		a.task().lostRuns++
		if later != nil && a.mayStartOnSuccessor() {
			h.moveToSuccessor(now, a, later)
			continue
		}
		h.loseAttempt(now, a, reason)
	}
	h.core.emit(lost)
	if ending == exchange.Crashed {
		h.recordCrash(now, w, suspects)
	}
}

// workTime returns how long the attempt had been running when its worker stopped answering at
// silentAt, and whether that is known.
func (a *attempt) workTime(silentAt time.Time) (time.Duration, bool) {
	if a.firstOrderedAt.IsZero() {
		return a.workedUntilUnresponsive, a.workedUntilUnresponsiveKnown
	}
	return a.maxWorkTime(silentAt), true
}

// detectionDelay returns how late it may have been detected that the worker stopped answering.
// While no renewal waits at the worker, a crash is detected only by the next one.
func (w *worker) detectionDelay() time.Duration {
	if w.unresponsive.detectionDelay > 0 || w.aliveAt.IsZero() {
		return w.unresponsive.detectionDelay
	}
	return max(0, w.presence.UnresponsiveSince().Sub(w.aliveAt))
}

// maxWorkTime returns how long the attempt had been running at a time at most, or 0 if an earlier
// holder started it.
func (a *attempt) maxWorkTime(at time.Time) time.Duration {
	if a.firstOrderedAt.IsZero() {
		return 0
	}
	return max(0, at.Sub(a.firstOrderedAt))
}
