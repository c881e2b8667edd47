// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import "time"

// Ending is how the life of a worker ended, as far as the holder saw it.
type Ending string

// The endings.
const (
	// Crashed: it was listed, was not leaving, and is gone.
	Crashed Ending = "crashed"
	// Left: it was leaving, or its entry went while it answered.
	Left Ending = "left"
	// CutOff: it is listed, but has not answered for as long as its lease lasts.
	CutOff Ending = "cut off"
)

// TasksLost says that tasks were lost with their worker. It is told for the metrics.
type TasksLost struct {
	How   Ending
	Tasks int
	// Worked is how long they had been at work together.
	Worked time.Duration
}

func (TasksLost) effect() {}

// silent notes that a worker does not answer from now on.
func (w *worker) silent(now time.Time) {
	w.silentSince = now
	w.silentListed = w.staysListed()
}

// staysListed says whether a worker is listed, and not about to leave.
func (w *worker) staysListed() bool { return w.listed && w.missingSince.IsZero() && !w.Leaving }

// endedAs tells how the life of a worker has ended that does not answer any more, or
// of which it is sure that it is over.
func (w *worker) endedAs(now time.Time, over bool) Ending {
	if w.silentSince.IsZero() {
		w.silent(now)
	}
	switch {
	case !w.silentListed:
		return Left
	case over || !w.listed:
		return Crashed
	default:
		return CutOff
	}
}

// loseAll frees the tasks of a worker that has surely ended them.
func (h *holding) loseAll(now time.Time, w *worker, how Ending, why string) {
	lost := TasksLost{How: how, Tasks: len(w.attempts)}
	for _, a := range w.sorted() {
		lost.Worked += a.workedUntil(w.silentSince)
		a.task().lost++
		h.lose(now, a, why)
	}
	if lost.Tasks > 0 {
		h.core.do(lost)
	}
}

// workedUntil returns for how long at most an attempt had been at work at a time, or 0
// if an earlier holder started it.
func (a *attempt) workedUntil(at time.Time) time.Duration {
	if a.beganAt.IsZero() {
		return 0
	}
	return max(0, at.Sub(a.beganAt))
}
