// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/services/advicecalls"
)

// widenInterval is the minimum time between two checks whether enough eligible workers are known for a
// gang.
const widenInterval = 200 * time.Millisecond

// slotsWhenEmpty returns how many tasks of a step fit on an empty worker of the given capacity.
func (s *step) slotsWhenEmpty(capacity resource.Vector) int {
	n := capacity.FitCount(s.spec.Reserved(), job.MaxTasks)
	if s.spec.PerWorker > 0 {
		n = min(n, s.spec.PerWorker)
	}
	return n
}

// waitedFor returns how long a step has been open, or 0 if it is not open yet.
func (s *step) waitedFor(now time.Time) time.Duration {
	if s.openedAt.IsZero() {
		return 0
	}
	return now.Sub(s.openedAt)
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
// eligible, and those expected to be by pending answers, have the slots that advicecalls.WantedSlots returns.
// The longer a gang has waited, the more workers advice is requested on.
func (h *holderState) widenCandidates(now time.Time, r rankedStep, candidates []*worker, ample bool) {
	s := r.step
	if now.Before(s.nextWidenAt) {
		return
	}
	s.nextWidenAt = now.Add(widenInterval)
	suitableShare := h.estimates.SuitableShare(r.queue.Name)
	missing := s.missingSlots(advicecalls.WantedSlots(len(s.tasks), s.waitedFor(now), ample), candidates, suitableShare)
	if missing <= 0 {
		return
	}
	if r.queue.Advice.BaseTime <= advicecalls.ShortCall {
		h.requestAdviceForUnplacedTasks(now, r, candidates)
		return
	}
	wanted := advicecalls.WorkersForSlots(r.queue.Advice, missing, s.slotsWhenEmpty(h.largestWorker), suitableShare)
	h.requestAdviceOn(now, r, s.unaskedByFreeCapacity(candidates, wanted))
}
