// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/models/resource"
	"saddlevane/services/delays"
	"saddlevane/services/ranking"
)

// queueOf returns the queue settings that apply to a job: those of the current configuration or, if
// it no longer has the queue, those in force when the job was accepted. These apply as well if this box has
// not yet read the configuration under which an earlier holder accepted the job, but an older one.
func (h *holderState) queueOf(j *trackedJob) job.Queue {
	if q, ok := h.core.config.Queues[j.queue]; ok && h.core.config.Version >= j.acceptedVersion {
		return q
	}
	return j.acceptedQueue
}

// objective returns the time, counted from the instance's due time, within which the instance
// should finish.
func objective(in *instance, q job.Queue) time.Duration {
	return time.Duration(q.Stretch*float64(in.criticalPath())) + q.Latency
}

// slack returns by how much the start of a step can be delayed from now so that its instance still
// finishes within its objective. It is negative if the instance will be late.
func (h *holderState) slack(now time.Time, s *step) time.Duration {
	deadline := s.instance.dueAt.Add(objective(s.instance, h.queueOf(s.job)))
	return deadline.Sub(now) - h.remainingCriticalPath(now, s)
}

// rankedStep is a step with its sort key and queue settings.
type rankedStep struct {
	ranking.Rank
	step  *step
	queue job.Queue
}

// rank returns the sort key of a step. A service never ends, so it always counts as on time.
func (h *holderState) rank(now time.Time, s *step) rankedStep {
	q := h.queueOf(s.job)
	remaining := h.remainingCriticalPath(now, s)
	t := ranking.Times{DueAt: s.instance.dueAt, Objective: objective(s.instance, q), Finish: now.Add(remaining)}
	r := rankedStep{step: s, queue: q, Rank: ranking.Rank{
		AdviceExpiring: s.advice.prioritized, Tier: t.Tier(now), Priority: q.Priority, Deadline: t.Deadline(), Step: s.id,
	}}
	if s.spec.Service {
		r.Tier = ranking.OnTime
	}
	if !t.IsOverdue(now) {
		r.Work = s.spec.Need.Times(s.unplacedTasks).DominantShare(h.capacity) * remaining.Seconds()
	}
	return r
}

// rankOpenSteps returns the open steps that have tasks to place, highest rank first, and drops
// closed steps from h.openSteps. Steps of inherited jobs are left out until all workers of earlier
// holders have reported, because their tasks may still be running there. So are steps one of whose
// waiting tasks still runs as an orphan. In a backlog, the steps of workspaces that take more than their
// share go after others.
func (h *holderState) rankOpenSteps(now time.Time) []rankedStep {
	stillOpen := h.openSteps[:0]
	var all []rankedStep
	var waiting resource.Vector
	for _, s := range h.openSteps {
		if !s.open || s.job.state.IsFinal() {
			continue
		}
		stillOpen = append(stillOpen, s)
		if s.unplacedTasks == 0 || now.Before(s.notBefore) || s.spec.Gang && s.placedTasks > 0 || h.waitsForOrphan(s) {
			continue
		}
		if s.job.inherited && len(h.unreportedWorkers) > 0 {
			s.recordWait(now, delays.Takeover)
			continue
		}
		all = append(all, h.rank(now, s))
		waiting = waiting.Plus(s.spec.Need.Times(s.unplacedTasks))
	}
	clear(h.openSteps[len(stillOpen):])
	h.openSteps = stillOpen
	h.observeShares(now)
	backlog := ranking.IsBacklog(waiting, h.capacity)
	for i := range all {
		r := &all[i]
		r.OverShare = backlog && h.isEnabled(mechanism.SharedOrder) && h.shares.IsOver(r.step.job.workspace, r.Work)
	}
	leastWork := backlog && h.isEnabled(mechanism.LeastWork)
	slices.SortFunc(all, func(a, b rankedStep) int { return a.Compare(b.Rank, leastWork) })
	return all
}
