// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"time"

	"saddlevane/models/mechanism"
	"saddlevane/services/speeds"
)

// speedLifetime is how long the estimated speed of a worker is used before it is computed again.
const speedLifetime = 100 * time.Millisecond

// speedOf returns the estimated speed of a worker.
func (h *holderState) speedOf(now time.Time, w *worker) speeds.Estimate {
	if !h.isEnabled(mechanism.SlowWorkers) {
		return speeds.Estimate{}
	}
	if age := now.Sub(w.speedAt); age < 0 || age >= speedLifetime {
		w.speed, w.speedAt = h.speeds.Of(now, w.Name), now
	}
	return w.speed
}

// suitsGang reports whether a worker is fast enough for the members of gangs.
func (h *holderState) suitsGang(now time.Time, w *worker) bool { return h.speedOf(now, w).SuitsGang() }

// hasteOf returns how much the speed of the workers matters for a step.
func (h *holderState) hasteOf(now time.Time, s *step) speeds.Haste {
	work := h.expectedTime(s)
	return speeds.Haste{Work: work, Slack: h.slack(now, s), Urgent: s.spec.Gang || work <= maxShortStep}
}

// recordRunTime records that a task of a step succeeds at now. Only an uninterrupted run that this
// holder started, and whose start the worker confirmed, shows how long a step takes. Only the first
// member of a gang counts.
func (h *holderState) recordRunTime(now time.Time, s *step, a *attempt) {
	if s.spec.Gang && s.doneTasks > 0 {
		return
	}
	if a == nil || a.adopted || a.resumed || a.state != attemptRunning {
		s.interrupted = true
		return
	}
	took := now.Sub(a.stateSince)
	work := h.speedOf(now, a.worker).WorkOf(took)
	if s.spec.Gang {
		work = min(work, h.recordGangRun(now, s, took))
	} else if !s.spec.Service && !s.spec.Filler {
		s.runs = append(s.runs, speeds.Run{Worker: a.worker.Name, Took: took})
	}
	s.longestRun = max(s.longestRun, work)
}

// recordGangRun records that a gang has taken the given time, and returns that time at mean speed. A gang is
// as slow as its slowest member, and all members end together, so only the progress that their workers have
// reported shows the speeds of these.
func (h *holderState) recordGangRun(now time.Time, s *step, took time.Duration) time.Duration {
	work := time.Duration(math.MaxInt64)
	var members []speeds.Member
	for i := range s.tasks {
		m := s.tasks[i].attempt
		if m == nil {
			continue
		}
		work = min(work, h.speedOf(now, m.worker).WorkOf(took))
		if m.state == attemptRunning && !m.adopted && !m.resumed && m.progress >= minProgressForEstimate && m.progress < fullProgress {
			members = append(members, speeds.Member{Worker: m.worker.Name, Ran: m.progressAt.Sub(m.stateSince), Done: float64(m.progress) / fullProgress})
		}
	}
	s.runs = speeds.RunsOfGang(members)
	return work
}

// learnSpeeds updates the speeds of the workers with the runs of a step that is done.
func (h *holderState) learnSpeeds(now time.Time, s *step) {
	h.speeds.Observe(now, s.runs, h.estimates.Work(s.job.queue, s.spec.Estimate.Duration()))
	s.runs = nil
}
