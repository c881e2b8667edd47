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
	sets map[setKey]*workerSet
	// misses counts the steps that found no room for all their tasks.
	misses int
	// roomy says that much of the workers' room is free, so that tasks which are
	// stopped find another place at once.
	roomy bool
	// drained counts the workers that are kept until they are empty.
	drained int
	// ranks has the steps whose tasks may give way, as they rank in this pass: one step's
	// tasks are on many workers.
	ranks map[*step]placed
}

// placed is how a step ranks whose tasks are at work.
type placed struct {
	ranked
	slack time.Duration
}

// newPass returns a pass that has looked at no worker yet.
func newPass(now time.Time) *pass {
	return &pass{now: now, sets: map[setKey]*workerSet{}, ranks: map[*step]placed{}}
}

// rankOf returns how a step ranks in a pass.
func (h *holderState) rankOf(p *pass, s *step) placed {
	r, ok := p.ranks[s]
	if !ok {
		r = placed{ranked: h.rank(p.now, s), slack: h.slack(p.now, s)}
		p.ranks[s] = r
	}
	return r
}

// plan places the tasks of open steps, the first in rank first.
func (h *holderState) plan(now time.Time) {
	h.planCount++
	ranked := h.rankOpen(now)
	if len(ranked) == 0 {
		return
	}
	for _, w := range h.workersByName() {
		w.prevHeldFor, w.heldFor, w.heldInPass = w.heldFor, nil, resource.Vector{}
		w.prevDrainedFor, w.drainedFor = w.drainedFor, nil
	}
	h.hearUsage()
	p := newPass(now)
	p.roomy = h.hasAmpleRoom
	defer func() { h.hasUnplacedTasks = p.misses > 0 }()
	for _, r := range ranked {
		if p.misses >= h.planBudget.MissLimit() && !h.planBudget.IsFullPlan(h.planCount) {
			return
		}
		if !h.placeStep(p, r) {
			p.misses++
			h.missed(p, r)
		}
		if r.step.unplacedTasks > 0 {
			r.step.waited(now, r.step.waitsFor())
		}
	}
}

// roomyShare is the share of the processors that is free where room is plenty.
const roomyShare = 0.4

// roomy says whether much of the workers' room is free, and notes how much there is of it.
func (h *holderState) roomy(now time.Time) bool {
	var free resource.Vector
	h.capacity = resource.Vector{}
	for _, w := range h.workersByName() {
		if h.isSchedulable(now, w) {
			free = free.Plus(w.free)
			h.capacity = h.capacity.Plus(w.Capacity)
		}
	}
	return float64(free.Processors) > roomyShare*float64(h.capacity.Processors)
}

// missed has a gang that found no room reserve some, if not too many gangs do, and
// any other step stop what may give way to it. Where that does not do, workers are
// kept free for tasks that share theirs with few others.
func (h *holderState) missed(p *pass, r ranked) {
	if !r.step.spec.Gang {
		if !h.makeWay(p, r) && r.Tier == ranking.OnTime && h.workersFor(p, r.step, r.queue.Pool).large(r.step) {
			h.drainSoonest(p, r)
		}
		return
	}
	if p.misses <= explained {
		h.explainWait(p, r)
	}
	if h.mayReserve() {
		h.reserve(p, r)
	}
}

// explained is of how many waiting steps a pass says why they wait.
const explained = 20

// explainEvery is the least time between two lines about a gang that waits.
const explainEvery = 2 * time.Second

// explainWait says why a gang does not start.
func (h *holderState) explainWait(p *pass, r ranked) {
	s := r.step
	if p.now.Sub(s.explainedAt) < explainEvery {
		return
	}
	s.explainedAt = p.now
	suited := r.suited(h.workersFor(p, s, r.queue.Pool))
	_, placed := h.fit(p.now, s, suited)
	h.core.logEvent("gang waits for room", logField("job", string(s.job.id)), logField("step", s.id.String()), logField("tasks", len(s.tasks)),
		logField("need", s.spec.Need.Processors.String()), logField("room_for", placed), logField("workers_asked", s.advice.told()),
		logField("workers_suited", len(suited)), logField("gangs_reserving", h.reservations.Len()), logField("tier", int(r.Tier)),
		logField("slack", h.slack(p.now, s).String()))
}
