// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/mechanism"
	"saddlevane/services/jobrecords"
)

// saveRunTimesInterval is the minimum time between two records of the learned run times.
const saveRunTimesInterval = 3 * time.Second

// saveRunTimes appends the learned run times and speeds to the log, each if it has changed since its last
// record.
func (h *holderState) saveRunTimes(now time.Time) {
	if h.phase != phaseActive || h.journal.isFailing(now) {
		return
	}
	if h.estimates.HasChanged() && !now.Before(h.nextRunTimesAt) {
		h.nextRunTimesAt = now.Add(saveRunTimesInterval)
		h.journal.addRecord(jobrecords.RunTimesRecord(h.estimates.TakeRunTimes()))
	}
	if h.speeds.IsRecordDue(now) {
		h.journal.addRecord(jobrecords.SpeedsRecord(h.speeds.Record(now)))
	}
}

// expectedTime returns the run time of a step: the actual one if the step is done, otherwise the
// usual one.
func (h *holderState) expectedTime(s *step) time.Duration {
	if s.longestRun > 0 && s.doneTasks == len(s.tasks) {
		return s.longestRun
	}
	return h.usualTime(s)
}

// usualTime returns the usual run time of steps of the same queue with the same estimate. If
// learned times are disabled, it is the estimate.
func (h *holderState) usualTime(s *step) time.Duration {
	return h.usualTimeOf(s.job.queue, s.spec.Estimate.Duration())
}

// usualTimeOf returns the usual run time of steps of a queue with an estimate.
func (h *holderState) usualTimeOf(queue string, estimate time.Duration) time.Duration {
	if !h.isEnabled(mechanism.LearnedTimes) {
		return estimate
	}
	return h.estimates.ExpectedRunTime(queue, estimate)
}

// learnRunTime updates the learned run times and speeds with a step that is done, and recomputes the
// critical paths of its instance.
func (h *holderState) learnRunTime(now time.Time, s *step) {
	h.speeds.Observe(now, s.runs, h.estimates.Work(s.job.queue, s.spec.Estimate.Duration()))
	s.runs = nil
	if s.interrupted || s.longestRun == 0 {
		s.longestRun = 0
	} else {
		h.estimates.ObserveRunTime(s.job.queue, s.spec.Estimate.Duration(), s.longestRun)
	}
	h.updateCriticalPaths(s.instance.steps)
}
