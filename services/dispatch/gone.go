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

// GivenUp says that a job was given up because workers crashed under a task of it. It is
// told for the metrics.
type GivenUp struct{ Crashes int }

func (TasksLost) effect() {}
func (GivenUp) effect()   {}

// silent notes that a worker does not answer from now on.
func (h *holding) silent(now time.Time, w *worker) {
	w.silentSince = now
	w.silentListed = h.staysListed(now, w)
	if w.trials == 0 {
		h.docket.Silent(now, w.ID, w.Rack)
	}
}

// answersAgain notes that a worker has answered.
func (h *holding) answersAgain(w *worker) {
	if !w.silentSince.IsZero() {
		w.silentSince = time.Time{}
		h.docket.Answers(w.ID)
	}
}

// staysListed says whether a worker that is found silent now was listed until then, and
// not about to leave. The entry of one that has crashed goes some time after the crash,
// which is found by the next look; one that leaves answers for long after its entry went.
func (h *holding) staysListed(now time.Time, w *worker) bool {
	missing := !w.missingSince.IsZero() && now.Sub(w.missingSince) > h.core.settings.Wait+lookMargin
	return !missing && !w.Leaving
}

// endedAs tells how the life of a worker has ended that does not answer any more, or
// of which it is sure that it is over.
func (h *holding) endedAs(now time.Time, w *worker, over bool) Ending {
	if w.silentSince.IsZero() {
		h.silent(now, w)
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
	suspects := h.tasksOn(w, w.silentSince)
	for _, a := range w.sorted() {
		lost.Worked += a.workedUntil(w.silentSince)
		a.task().lost++
		h.lose(now, a, why)
	}
	if lost.Tasks > 0 {
		h.core.do(lost)
	}
	if how == Crashed {
		h.judge(now, w, suspects)
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
