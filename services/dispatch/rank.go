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

// queueOf returns how the configuration treats a job. Jobs of a queue that is
// gone are treated as when they were accepted.
func (h *holderState) queueOf(j *trackedJob) job.Queue {
	if q, ok := h.core.config.Queues[j.queue]; ok {
		return q
	}
	return j.acceptedQueue
}

// objective returns the time within which an instance is wanted.
func objective(in *instance, q job.Queue) time.Duration {
	return time.Duration(q.Stretch*float64(in.criticalPath())) + q.Latency
}

// slack returns how much later than now a step may start and be on time.
func (h *holderState) slack(now time.Time, s *step) time.Duration {
	wanted := s.instance.dueAt.Add(objective(s.instance, h.queueOf(s.job)))
	return wanted.Sub(now) - h.remainingCriticalPath(now, s)
}

// rankedStep is a step with what orders it.
type rankedStep struct {
	ranking.Rank
	step  *step
	queue job.Queue
}

// rank says what orders a step. A service has no end, so it is never late.
func (h *holderState) rank(now time.Time, s *step) rankedStep {
	q := h.queueOf(s.job)
	left := h.remainingCriticalPath(now, s)
	t := ranking.Times{DueAt: s.instance.dueAt, Objective: objective(s.instance, q), Finish: now.Add(left)}
	r := rankedStep{step: s, queue: q, Rank: ranking.Rank{
		AdviceExpiring: s.advice.prioritized, Tier: t.Tier(now), OverShare: s.job.beyondShare && h.isEnabled(mechanism.SharedOrder),
		Priority: q.Priority, Deadline: t.Deadline(), Step: s.id,
	}}
	if s.spec.Service {
		r.Tier = ranking.OnTime
	}
	if !t.IsOverdue(now) {
		r.Work = s.spec.Need.Times(s.unplacedTasks).DominantShare(h.capacity) * left.Seconds()
	}
	return r
}

// rankOpenSteps returns the steps that have tasks to place, in order.
func (h *holderState) rankOpenSteps(now time.Time) []rankedStep {
	kept := h.openSteps[:0]
	var all []rankedStep
	var waiting resource.Vector
	for _, s := range h.openSteps {
		if !s.open || s.job.state.IsFinal() {
			continue
		}
		kept = append(kept, s)
		if s.unplacedTasks == 0 || now.Before(s.notBefore) || s.spec.Gang && s.placedTasks > 0 {
			continue
		}
		if s.job.inherited && len(h.unreportedWorkers) > 0 {
			s.recordWait(now, delays.Takeover)
			continue
		}
		all = append(all, h.rank(now, s))
		waiting = waiting.Plus(s.spec.Need.Times(s.unplacedTasks))
	}
	clear(h.openSteps[len(kept):])
	h.openSteps = kept
	backlog := h.isEnabled(mechanism.LeastWork) && ranking.IsBacklog(waiting, h.capacity)
	slices.SortFunc(all, func(a, b rankedStep) int { return a.Compare(b.Rank, backlog) })
	return all
}
