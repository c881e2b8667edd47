// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/mechanism"
	"saddlevane/services/kept"
)

// saveRunTimesInterval is the time between two records of what is known of run times.
const saveRunTimesInterval = 3 * time.Second

// saveRunTimes has the log keep what is known of run times, if there is more of it.
func (h *holderState) saveRunTimes(now time.Time) {
	if now.Before(h.nextRunTimesAt) || h.phase != phaseActive || !h.history.HasChanged() || h.journal.isFailing(now) {
		return
	}
	h.nextRunTimesAt = now.Add(saveRunTimesInterval)
	h.journal.addRecord(kept.RunTimesRecord(h.history.TakeRunTimes()))
}

// expectedTime returns how long a step takes: what it took if it is done, else what
// steps of its queue with its estimate should take.
func (h *holderState) expectedTime(s *step) time.Duration {
	if s.longestRun > 0 && s.doneTasks == len(s.tasks) {
		return s.longestRun
	}
	return h.usualTime(s)
}

// usualTime returns what steps of a step's queue with its estimate usually take.
func (h *holderState) usualTime(s *step) time.Duration {
	if !h.isEnabled(mechanism.LearnedTimes) {
		return s.spec.Estimate.Duration()
	}
	return h.history.ExpectedRunTime(s.job.queue, s.spec.Estimate.Duration())
}

// recordRunTime notes that a task of a step ends well at now. Only whole runs show
// how long a step takes.
func (s *step) recordRunTime(now time.Time, a *attempt) {
	if a == nil || a.adopted || a.resumed || a.state != attemptRunning {
		s.interrupted = true
		return
	}
	s.longestRun = max(s.longestRun, now.Sub(a.stateSince))
}

// learnRunTime takes how long a step took that is done, and sets anew how much work
// follows the steps of its instance.
func (h *holderState) learnRunTime(s *step) {
	if s.interrupted || s.longestRun == 0 {
		s.longestRun = 0
	} else {
		h.history.ObserveRunTime(s.job.queue, s.spec.Estimate.Duration(), s.longestRun)
	}
	h.updateCriticalPaths(s.instance.steps)
}
