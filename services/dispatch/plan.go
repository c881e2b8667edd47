// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/resource"
	"saddlevane/services/ranking"
)

// pass is one run of the plan over all open steps.
type pass struct {
	now  time.Time
	sets map[workerSetKey]*workerSet
	// misses counts the steps that found no room for all their tasks.
	misses int
	// roomy says that much of the workers' room is free, so that tasks which are
	// stopped find another place at once.
	ampleRoom bool
	// drained counts the workers that are kept until they are empty.
	drained int
	// ranks has the steps whose tasks may give way, as they rank in this pass: one step's
	// tasks are on many workers.
	victimRanks map[*step]victimRank
}

// victimRank is how a step ranks whose tasks are at work.
type victimRank struct {
	rankedStep
	slack time.Duration
}

// newPass returns a pass that has looked at no worker yet.
func newPass(now time.Time) *pass {
	return &pass{now: now, sets: map[workerSetKey]*workerSet{}, victimRanks: map[*step]victimRank{}}
}

// victimRankOf returns how a step ranks in a pass.
func (h *holderState) victimRankOf(p *pass, s *step) victimRank {
	r, ok := p.victimRanks[s]
	if !ok {
		r = victimRank{rankedStep: h.rank(p.now, s), slack: h.slack(p.now, s)}
		p.victimRanks[s] = r
	}
	return r
}

// plan places the tasks of open steps, the first in rank first.
func (h *holderState) plan(now time.Time) {
	h.planCount++
	ranked := h.rankOpenSteps(now)
	if len(ranked) == 0 {
		return
	}
	for _, w := range h.workersByName() {
		w.prevHeldFor, w.heldFor, w.heldInPass = w.heldFor, nil, resource.Vector{}
		w.prevDrainedFor, w.drainedFor = w.drainedFor, nil
	}
	h.setUnreportedUsage()
	p := newPass(now)
	p.ampleRoom = h.hasAmpleRoom
	defer func() { h.hasUnplacedTasks = p.misses > 0 }()
	for _, r := range ranked {
		if p.misses >= h.planBudget.MissLimit() && !h.planBudget.IsFullPlan(h.planCount) {
			return
		}
		if !h.placeStep(p, r) {
			p.misses++
			h.handleUnplaced(p, r)
		}
		if r.step.unplacedTasks > 0 {
			r.step.recordWait(now, r.step.waitCause())
		}
	}
}

// ampleRoomShare is the share of the processors that is free where room is plenty.
const ampleRoomShare = 0.4

// updateCapacity says whether much of the workers' room is free, and notes how much there is of it.
func (h *holderState) updateCapacity(now time.Time) bool {
	var free resource.Vector
	h.capacity = resource.Vector{}
	for _, w := range h.workersByName() {
		if h.isSchedulable(now, w) {
			free = free.Plus(w.free)
			h.capacity = h.capacity.Plus(w.Capacity)
		}
	}
	return float64(free.Processors) > ampleRoomShare*float64(h.capacity.Processors)
}

// handleUnplaced has a gang that found no room reserve some, if not too many gangs do, and
// any other step stop what may give way to it. Where that does not do, workers are
// kept free for tasks that share theirs with few others.
func (h *holderState) handleUnplaced(p *pass, r rankedStep) {
	if !r.step.spec.Gang {
		if !h.preemptFor(p, r) && r.Tier == ranking.OnTime && h.workersFor(p, r.step, r.queue.Pool).isLarge(r.step) {
			h.drainForLargeTasks(p, r)
		}
		return
	}
	if p.misses <= maxExplained {
		h.logGangWait(p, r)
	}
	if h.canReserve() {
		h.reserve(p, r)
	}
}

// maxExplained is of how many waiting steps a pass says why they wait.
const maxExplained = 20

// explainInterval is the least time between two lines about a gang that waits.
const explainInterval = 2 * time.Second

// logGangWait says why a gang does not start.
func (h *holderState) logGangWait(p *pass, r rankedStep) {
	s := r.step
	if p.now.Sub(s.explainedAt) < explainInterval {
		return
	}
	s.explainedAt = p.now
	suited := r.eligible(h.workersFor(p, s, r.queue.Pool))
	_, placed := h.fit(p.now, s, suited)
	h.core.logEvent("gang waits for room", logField("job", string(s.job.id)), logField("step", s.id.String()), logField("tasks", len(s.tasks)),
		logField("need", s.spec.Need.Processors.String()), logField("room_for", placed), logField("workers_asked", s.advice.knownCount()),
		logField("workers_suited", len(suited)), logField("gangs_reserving", h.reservations.Len()), logField("tier", int(r.Tier)),
		logField("slack", h.slack(p.now, s).String()))
}
