// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"time"

	"saddlevane/models/job"
	"saddlevane/services/blame"
)

// Tasks under which workers have crashed are suspects. Package blame computes how likely each is to
// be guilty, and the log keeps its blame record. Suspects are started on workers apart from each
// other, as trials.

// blameUnit returns the task under which the blame of a task is recorded. The members of a gang run
// together, so the first member stands for all of them.
func (s *step) blameUnit(index int) job.TaskID {
	if s.spec.Gang {
		index = 0
	}
	return job.TaskID{StepID: s.id, Index: index}
}

// blameOf returns the blame record of a task.
func (h *holderState) blameOf(s *step, index int) job.Blame { return h.blame.Blame(s.blameUnit(index)) }

// isSuspectedGang reports whether a step is a gang that must be kept apart from other suspects.
func (h *holderState) isSuspectedGang(s *step) bool {
	return s.spec.Gang && h.blame.SuspectCount(s.id) > 0
}

// isWaitingSuspect reports whether a task waits and is a suspect that must be tried apart. Gangs are
// handled as a whole by isSuspectedGang.
func (h *holderState) isWaitingSuspect(s *step, index int) bool {
	t := &s.tasks[index]
	return !s.spec.Gang && !t.done && t.attempt == nil && h.blame.SuspectCount(s.id) > 0 && blame.IsSuspect(h.blameOf(s, index))
}

// unsuspectedWaiting counts the waiting tasks of a step that are not suspects.
func (h *holderState) unsuspectedWaiting(s *step) int {
	n := s.unplacedTasks
	if h.blame.SuspectCount(s.id) == 0 {
		return n
	}
	for i := range s.tasks {
		if h.isWaitingSuspect(s, i) {
			n--
		}
	}
	return n
}

// untrackUnsuspected reverts what trackSuspect did for the attempts of a task that is no suspect any more.
func (h *holderState) untrackUnsuspected(t job.TaskID) {
	s := h.findStep(t.StepID)
	if s == nil || blame.IsSuspect(h.blame.Blame(t)) {
		return
	}
	if !s.spec.Gang {
		if a := s.tasks[t.Index].attempt; a != nil {
			a.untrackSuspect()
		}
		return
	}
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil {
			a.untrackSuspect()
		}
	}
}

// clearBlame drops the blame record of a task after one of its runs has succeeded or has been
// running for long. The crashes attributed to it had other causes.
func (h *holderState) clearBlame(s *step, index int) {
	if !h.blame.Clear(s.blameUnit(index)) {
		return
	}
	h.untrackUnsuspected(s.blameUnit(index))
	if !s.job.state.IsFinal() {
		h.markDirty(s.job)
	}
}

// confirmRunning updates the blame of an attempt that is running on a live worker: it clears the
// task if the run has lasted long enough, and ends the isolation of the worker after trialDuration.
func (h *holderState) confirmRunning(now time.Time, a *attempt) {
	worked := now.Sub(a.stateSince)
	if b := h.blameOf(a.step, a.index); b.Crashes > 0 && blame.IsClearedBy(b, min(worked, a.provenRunTime())) {
		h.clearBlame(a.step, a.index)
	}
	if a.isolated && worked > trialDuration {
		a.endIsolation()
	}
}

// provenRunTime returns how long all members of an attempt's gang are known to have been running.
// When a member has crashed its worker, the remaining members only wait for it but are still
// reported as running, so their own run time proves nothing.
func (a *attempt) provenRunTime() time.Duration {
	shortest := a.worker.aliveAt.Sub(a.stateSince)
	if !a.step.spec.Gang {
		return shortest
	}
	for i := range a.step.tasks {
		m := a.step.tasks[i].attempt
		if m == nil || m.state != attemptRunning {
			return 0
		}
		shortest = min(shortest, m.worker.aliveAt.Sub(m.stateSince))
	}
	return shortest
}

// trackSuspect updates the worker's counters if an attempt runs a suspect. It also records the start
// of any task that has a blame record, for the next holder.
func (h *holderState) trackSuspect(now time.Time, a *attempt) {
	if !h.recordTrial(now, a.step, a.index, a.worker) {
		return
	}
	b := h.blameOf(a.step, a.index)
	if !blame.IsSuspect(b) {
		return
	}
	a.crashRisk = blame.Probability(b)
	if a.step.spec.Gang {
		a.crashRisk /= float64(len(a.step.tasks))
	}
	a.worker.suspectAttempts++
	if blame.MustBeAlone(b) || a.worker.trialPreparation.matches(a) {
		a.isolated = true
		a.worker.isolatedAttempts++
	}
	a.worker.trialPreparation = nil
}

// untrackSuspect reverts the changes that trackSuspect made to the worker's counters.
func (a *attempt) untrackSuspect() {
	if a.crashRisk == 0 {
		return
	}
	a.crashRisk = 0
	a.worker.suspectAttempts--
	a.endIsolation()
}

// endIsolation lets the worker of a likely suspect take other tasks again.
func (a *attempt) endIsolation() {
	if a.isolated {
		a.isolated = false
		a.worker.isolatedAttempts--
	}
}

// suspectReason explains why a suspect of the step waits, or returns "" if the step has no
// suspects.
func (h *holderState) suspectReason(s *step) string {
	for i := range s.tasks {
		if b := h.blameOf(s, i); blame.IsSuspect(b) {
			return fmt.Sprintf("%d workers crashed or went missing under task %d, which crashes them with probability %.2g; it is started apart from other suspects",
				b.Crashes, i, blame.Probability(b))
		}
	}
	return ""
}
