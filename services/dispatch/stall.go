// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/mechanism"
	"saddlevane/models/order"
	"saddlevane/services/delays"
)

// A worker may answer and list its runs as running although they stand still. What a
// look tells of their progress shows it.

const (
	// stallShare is the part of the usual time of a step's tasks after which one that
	// has come no further stands still, beginShare that of one that has shown no progress
	// at all, and stallLeast the least such time: progress is told in whole percents.
	stallShare = 0.08
	beginShare = 0.25
	stallLeast = 400 * time.Millisecond
	// stallSteps is for how many times as long as a percent took so far a run may show
	// no further one: its work may be many times what is usual.
	stallSteps = 3
	// resumeTakes is how long a run may take to go on from a checkpoint: of that it
	// shows no progress.
	resumeTakes = time.Second
	// workDone is the progress of a run that is about to end, in percent.
	workDone = 100
)

// seen takes what a look tells of a run at work.
func (a *attempt) seen(now time.Time, r order.Running) {
	a.figure, a.seenAt = r.Figure, now
	if r.Progress > a.progress {
		a.progress, a.progressAt = r.Progress, now
	}
}

// standsStill says whether a run has come no further for longer than it should take.
// Services make no progress once they have started.
func (h *holding) standsStill(a *attempt) bool {
	if a.state != running || a.step.spec.Service || a.step.spec.Filler || a.progress >= workDone {
		return false
	}
	return a.seenAt.Sub(maxTime(a.since, a.progressAt)) > h.stallPatience(a)
}

// stallPatience returns how long a run may show no further progress.
func (h *holding) stallPatience(a *attempt) time.Duration {
	usual := float64(max(h.usual(a.step), a.step.spec.Estimate.Duration()))
	if a.resumed || a.adopted {
		return max(stallLeast, time.Duration(beginShare*usual)) + resumeTakes
	}
	if a.progress == 0 {
		return max(stallLeast, time.Duration(beginShare*usual))
	}
	percentTook := a.progressAt.Sub(a.since) / time.Duration(a.progress)
	return max(stallLeast, time.Duration(stallShare*usual), stallSteps*percentTook)
}

// moveStalled stops the runs on a worker that stand still, so that their tasks start
// elsewhere, and leaves the worker out. A gang is stopped if all its members stand
// still.
func (h *holding) moveStalled(now time.Time, w *worker) {
	if !h.uses(mechanism.MovedRuns) {
		return
	}
	for _, a := range w.sorted() {
		if !h.standsStill(a) || a.step.spec.Gang && !h.gangStandsStill(a.step) {
			continue
		}
		h.core.note("a run stands still and is moved", field("job", string(a.step.job.id)), field("task", a.name().Task.String()),
			field("run", a.run), field("worker", w.ID), field("progress", a.progress), field("ran", now.Sub(a.since).String()),
			field("usual", h.usual(a.step).String()))
		w.excludedTill = maxTime(w.excludedTill, now.Add(excludeFor))
		a.task().interrupted(delays.Stalled)
		if a.step.spec.Gang {
			h.gangBroke(now, a.step)
		} else {
			h.stop(now, a)
		}
	}
}

// gangStandsStill says whether all members of a gang stand still.
func (h *holding) gangStandsStill(s *step) bool {
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a == nil || !h.standsStill(a) {
			return false
		}
	}
	return true
}
