// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"saddlevane/services/blame"
)

const (
	// trialQuietTime is how long before the start of a likely suspect its worker starts nothing
	// else, and trialDuration is how long it starts nothing else afterwards.
	trialQuietTime = time.Second
	trialDuration  = 2 * time.Second
	// maxTrialPreparation is how long a worker is kept free for a likely suspect that does not
	// start.
	maxTrialPreparation = 3 * time.Second
)

// recordTrial records in the log that a suspect is tried on a worker from now on. It returns false
// if the task has no blame record.
func (h *holderState) recordTrial(now time.Time, s *step, index int, w *worker) bool {
	if !h.blame.RecordStart(s.blameUnit(index), w.Incarnation, h.core.unixMilli(now)) {
		return false
	}
	h.markDirty(s.job)
	return true
}

// startSuspects starts the waiting suspects of a step that may be tried now, each on an eligible
// worker without another suspect. Likely suspects get a worker that starts nothing else at the same
// time.
func (h *holderState) startSuspects(p *pass, r rankedStep, set *workerSet) {
	s := r.step
	for i := range s.tasks {
		if !h.isWaitingSuspect(s, i) || !h.canStartTrial(p.now, s, i) || h.slotsUnderCap(s) == 0 {
			continue
		}
		alone := blame.IsLikely(h.blameOf(s, i))
		if alone && !h.canPrepareTrial(s, i) {
			if blame.MustBeAlone(h.blameOf(s, i)) {
				continue
			}
			alone = false
		}
		w := h.trialWorker(p, r, set, i, alone)
		if w == nil {
			if r.queue.Advice != nil && !s.advice.hasCalls() {
				h.requestAdviceOnFreeWorkers(p.now, r, set.workers)
			}
			return
		}
		ticket, valid := s.advice.TicketFor(p.now, w)
		if r.queue.Advice != nil && !valid {
			h.refreshTickets(p.now, r, []allocation{{Worker: w, Tasks: 1}})
			return
		}
		if alone && (h.journal.hasPendingProgress(s.job) || !w.isQuiet(p.now)) {
			// The blame record and the trial must be in the log before the start. If they were
			// appended together with the start and the holder was lost right after it, the crash
			// would be lost too.
			continue
		}
		h.startTask(p.now, s, i, h.nextRunNumber(s), w, ticket)
		h.core.logEvent("suspected task started on trial", logField("job", string(s.job.id)), logField("task", s.blameUnit(i).String()),
			logField("run", s.lastRun),
			logField("worker", w.Incarnation.String()), logField("beside", len(w.attempts)-1), logField("crashes", h.blameOf(s, i).Crashes),
			logField("claim", h.epoch))
	}
}

// canPrepareTrial reports whether a worker is or may be kept free for a suspect. Only a few workers
// are kept free at the same time.
func (h *holderState) canPrepareTrial(s *step, index int) bool {
	dedicated := 0
	for _, w := range h.workersByName() {
		if w.trialPreparation != nil || w.isolatedAttempts > 0 {
			dedicated++
		}
	}
	return blame.MayDedicateWorker(dedicated, len(h.workers), h.hasAmpleFreeCapacity && !h.hasUnplacedTasks) || h.preparedWorker(s, index) != nil
}

// trialWorker returns a worker without another suspect for the trial of a task, or nil. If the
// suspect is to run alone, the worker with the fewest attempts is chosen and gets no other tasks
// from then on.
func (h *holderState) trialWorker(p *pass, r rankedStep, set *workerSet, index int, alone bool) *worker {
	s := r.step
	if w := h.preparedWorker(s, index); alone && w != nil {
		if w.slots(s, w.available()) > 0 {
			return w
		}
		// The worker's capacity has shrunk, or is used by a task that started late.
		w.trialPreparation = nil
	}
	var best *candidate
	for _, c := range h.candidates(p.now, s, r.eligibleWorkers(set)) {
		if c.Worker.suspectAttempts == 0 && c.Worker.trialPreparation == nil && (best == nil || c.isBetterForTrial(*best, alone)) {
			best = &c
		}
	}
	if best == nil {
		return nil
	}
	if alone {
		best.Worker.trialPreparation = &trialPreparation{step: s, index: index, since: p.now}
		h.recordTrial(p.now, s, index, best.Worker)
	}
	return best.Worker
}

// trialPreparation records that a worker is kept free for a likely suspect.
type trialPreparation struct {
	step  *step
	index int
	since time.Time
}

// matches reports whether the worker is kept free for the task of an attempt.
func (pr *trialPreparation) matches(a *attempt) bool {
	return pr != nil && pr.step == a.step && pr.index == a.index
}

// preparedWorker returns the worker that is kept free for a suspect, or nil.
func (h *holderState) preparedWorker(s *step, index int) *worker {
	for _, w := range h.workersByName() {
		if w.trialPreparation != nil && w.trialPreparation.step == s && w.trialPreparation.index == index {
			return w
		}
	}
	return nil
}

// expireTrialPreparation lets a worker take other tasks again if its suspect has not started in
// time, no longer waits, or can no longer start there.
func (h *holderState) expireTrialPreparation(now time.Time, w *worker) {
	if pr := w.trialPreparation; pr != nil && (now.Sub(pr.since) > maxTrialPreparation || !pr.step.open ||
		!h.isWaitingSuspect(pr.step, pr.index) || !h.isHealthy(now, w)) {
		w.trialPreparation = nil
		h.planDue = true
	}
}

// isQuiet reports whether nothing was started on a worker within trialQuietTime.
func (w *worker) isQuiet(now time.Time) bool {
	return !slices.ContainsFunc(w.sortedAttempts(), func(a *attempt) bool { return now.Sub(a.firstOrderedAt) < trialQuietTime })
}

// canStartTrial reports whether a suspect may be started now: its retry delay is over, the blame record of
// a likely suspect is in the log, and not too many workers are at risk.
func (h *holderState) canStartTrial(now time.Time, s *step, index int) bool {
	b := h.blameOf(s, index)
	if h.blame.MustWait(now, s.blameUnit(index)) || blame.IsLikely(b) && h.journal.hasPendingProgress(s.job) {
		return false
	}
	risk := blame.Probability(b)
	all, ofJob := h.expectedCrashes(s.job)
	return blame.MayTry(risk, all, ofJob, len(h.workers))
}

// expectedCrashes returns how many workers are expected to crash because of the suspects running on
// them, over all jobs and for the given job.
func (h *holderState) expectedCrashes(j *trackedJob) (all, ofJob float64) {
	for _, w := range h.workersByName() {
		if w.suspectAttempts == 0 {
			continue
		}
		for _, a := range w.sortedAttempts() {
			all += a.crashRisk
			if a.step.job == j {
				ofJob += a.crashRisk
			}
		}
	}
	return all, ofJob
}

// crashRisk returns the probability that one of the suspects on a worker crashes it.
func (w *worker) crashRisk() float64 {
	risk := 0.0
	for _, a := range w.attempts {
		risk += a.crashRisk
	}
	return min(1, risk)
}

// isBetterForTrial reports whether a candidate is a better worker for the trial of a suspect than
// another.
func (c candidate) isBetterForTrial(o candidate, alone bool) bool {
	byAttempts := 0
	if alone {
		byAttempts = cmp.Compare(len(c.Worker.attempts), len(o.Worker.attempts))
	}
	return cmp.Or(cmp.Compare(c.unticketed, o.unticketed), byAttempts, c.compare(o)) < 0
}
