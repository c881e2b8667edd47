// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/services/advicecalls"
)

const (
	// gangCandidateFactor is how many slots on eligible workers should be known for each task of a
	// gang, so that it does not have to wait for particular workers. The factor grows by
	// gangCandidateGrowth for each second that the gang has waited.
	gangCandidateFactor = 2
	gangCandidateGrowth = 0.5
	// maxGangCandidateFactor limits the grown factor, and maxAmpleCapacityCandidateFactor does so while
	// much of the workers' capacity is free: no other step needs the advice calls then.
	maxGangCandidateFactor          = 3.5
	maxAmpleCapacityCandidateFactor = 12
	// widenInterval is the minimum time between two checks whether enough eligible workers are known
	// for a gang.
	widenInterval = 200 * time.Millisecond
)

// slotsWhenEmpty returns how many tasks of a step fit on an empty worker of the given capacity.
func (s *step) slotsWhenEmpty(capacity resource.Vector) int {
	n := capacity.FitCount(s.spec.Reserved(), job.MaxTasks)
	if s.spec.PerWorker > 0 {
		n = min(n, s.spec.PerWorker)
	}
	return n
}

// wantedSlots returns the number of task slots on eligible workers that should be known for a gang.
func (s *step) wantedSlots(now time.Time, ampleRoom bool) float64 {
	factor := float64(gangCandidateFactor)
	if !s.openedAt.IsZero() {
		factor += gangCandidateGrowth * max(0, now.Sub(s.openedAt).Seconds())
	}
	maxFactor := maxGangCandidateFactor
	if ampleRoom {
		maxFactor = maxAmpleCapacityCandidateFactor
	}
	return min(factor, maxFactor) * float64(len(s.tasks))
}

// missingSlots returns how many of the wanted slots are not covered by the candidates yet. It is
// negative if they cover more. A candidate known to be eligible counts with all slots that it has
// when empty, and one whose answer is pending with the share of them expected to be suitable.
func (s *step) missingSlots(wanted float64, candidates []*worker, suitableShare float64) float64 {
	for _, w := range candidates {
		slots := float64(s.slotsWhenEmpty(w.Capacity))
		switch eligible, known := s.advice.IsEligible(w); {
		case known && eligible:
			wanted -= slots
		case !known && s.advice.IsPending(w):
			wanted -= slots * suitableShare
		}
	}
	return wanted
}

// widenCandidates requests advice on more workers for a gang until the workers known to be
// eligible, and those expected to be by pending answers, have the slots that wantedSlots returns.
// The longer a gang has waited, the more workers advice is requested on.
func (h *holderState) widenCandidates(now time.Time, r rankedStep, candidates []*worker, ampleRoom bool) {
	s := r.step
	if now.Before(s.nextWidenAt) {
		return
	}
	s.nextWidenAt = now.Add(widenInterval)
	suitableShare := h.estimates.SuitableShare(r.queue.Name)
	missing := s.missingSlots(s.wantedSlots(now, ampleRoom), candidates, suitableShare)
	if missing <= 0 {
		return
	}
	if r.queue.Advice.BaseTime <= advicecalls.ShortCall {
		h.requestAdviceForUnplacedTasks(now, r, candidates)
		return
	}
	slotsPerWorker := float64(max(1, s.slotsWhenEmpty(h.largestWorker))) * suitableShare
	wanted := max(advicecalls.MinWorkersPerCall(r.queue.Advice), int(math.Ceil(missing/slotsPerWorker)))
	h.requestAdviceOn(now, r, s.unaskedByFreeCapacity(candidates, wanted))
}
