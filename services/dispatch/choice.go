// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/services/advisers"
)

const (
	// gangCandidateFactor is for how many times its tasks a gang is to know workers, so that
	// it need not wait for particular ones, and gangCandidateGrowth how much that is
	// more for each second for which it has waited.
	gangCandidateFactor = 2
	gangCandidateGrowth = 0.5
	// maxGangCandidateFactor bounds gangCandidateFactor as it grows, maxAmpleRoomCandidateFactor while much of the
	// workers' room is free: nobody else needs the advice then.
	maxGangCandidateFactor      = 3.5
	maxAmpleRoomCandidateFactor = 12
	// widenInterval is the time between two looks whether a gang knows enough workers.
	widenInterval = 200 * time.Millisecond
)

// slotsWhenEmpty returns how many tasks of a step an empty worker takes.
func (s *step) slotsWhenEmpty(capacity resource.Vector) int {
	n := capacity.FitCount(s.spec.Reserved(), job.MaxTasks)
	if s.spec.PerWorker > 0 {
		n = min(n, s.spec.PerWorker)
	}
	return n
}

// largestCapacity returns the capacity of the worker with most processors.
func (h *holderState) largestCapacity() resource.Vector {
	most := resource.Vector{}
	for _, w := range h.workersByName() {
		if w.Capacity.Processors > most.Processors {
			most = w.Capacity
		}
	}
	return most
}

// wantedSlots returns for how many tasks a gang is to know room on workers.
func (s *step) wantedSlots(now time.Time, roomy bool) float64 {
	times := float64(gangCandidateFactor)
	if !s.openedAt.IsZero() {
		times += gangCandidateGrowth * max(0, now.Sub(s.openedAt).Seconds())
	}
	most := maxGangCandidateFactor
	if roomy {
		most = maxAmpleRoomCandidateFactor
	}
	return min(times, most) * float64(len(s.tasks))
}

// missingSlots returns for how many of some tasks there is no room yet on candidates that
// are known to suit, if they were empty, or are asked about now, of which a share
// should be good.
func (s *step) missingSlots(tasks float64, candidates []*worker, good float64) float64 {
	for _, w := range candidates {
		slots := float64(s.slotsWhenEmpty(w.Capacity))
		switch suits, known := s.advice.IsEligible(w); {
		case known && suits:
			tasks -= slots
		case !known && s.advice.IsPending(w):
			tasks -= slots * good
		}
	}
	return tasks
}

// widenCandidates asks about more workers for a gang until those known to suit, and
// those that will be by the answers under way, could hold its tasks a few times
// over. A gang that has waited asks for a wider choice.
func (h *holderState) widenCandidates(now time.Time, r rankedStep, candidates []*worker, roomy bool) {
	s := r.step
	if now.Before(s.nextWidenAt) {
		return
	}
	s.nextWidenAt = now.Add(widenInterval)
	good := h.history.SuitableShare(r.queue.Name)
	missing := s.missingSlots(s.wantedSlots(now, roomy), candidates, good)
	if missing <= 0 {
		return
	}
	if r.queue.Advice.BaseTime <= advisers.ShortCall {
		h.requestAdviceForRoom(now, r, candidates)
		return
	}
	each := float64(max(1, s.slotsWhenEmpty(h.largestCapacity()))) * good
	unknown := s.unaskedByRoom(candidates)
	wanted := max(advisers.MinWorkersPerCall(r.queue.Advice), int(math.Ceil(missing/each)))
	h.requestAdviceOn(now, r, unknown[:min(len(unknown), wanted)])
}
