// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/services/blame"
)

// handleWorkerUnresponsive records that a worker stopped answering at now. If a likely suspect runs
// alone on the worker, that does not count as a sign that other workers crash from the same cause.
func (h *holderState) handleWorkerUnresponsive(now time.Time, w *worker) {
	w.presence.RecordUnresponsive(now, h.core.settings.RenewWait+renewMargin)
	if w.isolatedAttempts == 0 {
		h.blame.RecordUnresponsive(now, w.Incarnation, w.Rack, w.crashRisk())
	}
}

// endingOf returns how a worker ended whose incarnation is known to have ended.
func (h *holderState) endingOf(now time.Time, w *worker) exchange.Ending {
	h.ensureUnresponsive(now, w)
	return w.presence.Ending()
}

// lapsedEndingOf returns how a worker ended of which only the lease is known to have expired.
func (h *holderState) lapsedEndingOf(now time.Time, w *worker) exchange.Ending {
	h.ensureUnresponsive(now, w)
	ending := w.presence.LapsedEnding(w.incarnations.HasCandidate())
	if ending == exchange.Missing && h.isReplaced(w) {
		return exchange.Crashed
	}
	return ending
}

// isReplaced reports whether another worker answers at a worker's address.
func (h *holderState) isReplaced(w *worker) bool {
	if h.answeringByAddress == nil {
		h.answeringByAddress = map[string]*worker{}
		for _, o := range h.workers {
			if o.reported && o.failedRenewals == 0 {
				h.answeringByAddress[o.Address] = o
			}
		}
	}
	o := h.answeringByAddress[w.Address]
	return o != nil && o.Name != w.Name
}

// ensureUnresponsive records that a worker stopped answering, if that was not recorded yet.
func (h *holderState) ensureUnresponsive(now time.Time, w *worker) {
	if w.presence.UnresponsiveSince().IsZero() {
		h.handleWorkerUnresponsive(now, w)
	}
}

// loseAttempts releases the attempts of an incarnation that certainly no longer runs them, so that
// their tasks can be started elsewhere. later is the incarnation that has replaced it, or nil;
// attempts that the later incarnation may still start are moved to it.
func (h *holderState) loseAttempts(now time.Time, w, later *worker, ending exchange.Ending, reason string) {
	lost := exchange.TasksLost{Ending: ending, Tasks: len(w.attempts)}
	unresponsiveSince := w.presence.UnresponsiveSince()
	mayHaveCrashed := ending == exchange.Crashed || ending == exchange.Missing
	var suspects []blame.RunningTask
	if mayHaveCrashed {
		suspects = h.tasksAtCrash(w, unresponsiveSince)
	}
	for _, a := range w.sortedAttempts() {
		lost.Worked += a.maxWorkTime(unresponsiveSince)
		a.task().lostRuns++
		if later != nil && a.mayStartOnSuccessor() {
			h.moveToSuccessor(now, a, later)
			continue
		}
		h.loseAttempt(now, a, reason)
	}
	h.core.emit(lost)
	if mayHaveCrashed {
		h.recordCrash(now, w, suspects, ending)
	}
}

// workTime returns how long the attempt had been running when its worker stopped answering, at
// unresponsiveSince, and whether that is known.
func (a *attempt) workTime(unresponsiveSince time.Time) (time.Duration, bool) {
	if a.firstOrderedAt.IsZero() {
		return a.workedUntilUnresponsive, a.workedUntilUnresponsiveKnown
	}
	return a.maxWorkTime(unresponsiveSince), true
}

// detectionDelay returns how long the worker may have been unresponsive before that was detected.
// While no renewal waits at the worker, a crash is detected only by the next renewal.
func (w *worker) detectionDelay() time.Duration {
	if w.inheritedDetectionDelay > 0 || w.aliveAt.IsZero() {
		return w.inheritedDetectionDelay
	}
	return max(0, w.presence.UnresponsiveSince().Sub(w.aliveAt))
}

// maxWorkTime returns the longest time that the attempt can have been running at the given time, or
// 0 if an earlier holder started it.
func (a *attempt) maxWorkTime(at time.Time) time.Duration {
	if a.firstOrderedAt.IsZero() {
		return 0
	}
	return max(0, at.Sub(a.firstOrderedAt))
}
