// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/mechanism"
	"saddlevane/services/speeds"
)

// speedOf returns the estimated speed of a worker.
func (h *holderState) speedOf(now time.Time, w *worker) speeds.Estimate {
	if !h.isEnabled(mechanism.SlowWorkers) {
		return speeds.Estimate{}
	}
	return w.speed.Of(now, h.speeds, w.Name)
}

// urgencyOf returns how much the speed of the workers matters for a step.
func (h *holderState) urgencyOf(now time.Time, s *step) speeds.Urgency {
	return speeds.Urgency{Work: h.expectedTime(s), Slack: h.slack(now, s), Urgent: s.spec.Gang || h.expectedTime(s) <= maxShortStep}
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
	if s.spec.Gang {
		members := h.membersOf(now, s, a)
		s.longestRun, s.runs = speeds.WorkOfGang(now, members), speeds.RunsOfGang(members)
		return
	}
	took := now.Sub(a.stateSince)
	s.longestRun = max(s.longestRun, h.speedOf(now, a.worker).WorkOf(took))
	if !s.spec.Service && !s.spec.Filler {
		s.runs = append(s.runs, speeds.Run{Worker: a.worker.Name, Took: took})
	}
}

// membersOf returns the members of a gang of which one has ended, with the progress that is reported of the others.
func (h *holderState) membersOf(now time.Time, s *step, ended *attempt) []speeds.Member {
	members := []speeds.Member{{Worker: ended.worker.Name, Speed: h.speedOf(now, ended.worker), StartedAt: ended.stateSince}}
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil && !a.adopted && !a.resumed && a.state == attemptRunning {
			members = append(members, speeds.Member{
				Worker: a.worker.Name, Speed: h.speedOf(now, a.worker), StartedAt: a.stateSince, Ran: a.progressAt.Sub(a.stateSince), Done: float64(a.progress) / fullProgress,
			})
		}
	}
	return members
}
