// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
	"slices"
	"time"

	"saddlevane/models/resource"
	"saddlevane/models/spec"
	"saddlevane/models/task"
	"saddlevane/services/ledger"
)

// object is a service, job or gang with tasks at home in the shard.
type object struct {
	spec   *ledger.Object
	team   *team
	ranges []span
	// cursor is the range and index to look at next for tasks never started.
	rangeIndex int
	nextIndex  int
	retries    retries
	active     int
	// since is when tasks of the object began to wait.
	waitingSince time.Time
	// notBefore holds the object back after failures.
	notBefore time.Time
	failures  int
	// failuresByTask counts the failures of each task that had any.
	failuresByTask map[int]int
	failedOn       []string
	meanRunTime    time.Duration
	reason         string
	// preempted is when room was last made for the object, making how much of it
	// is still to come.
	preemptedAt    time.Time
	expectedPlaces int
	removed        bool
	// onWorker and onRack count the places of a service that spreads.
	onWorker, onRack map[string]int
}

// addPlacement counts a task's place.
func (o *object) addPlacement(t *attempt) {
	o.active++
	if o.onWorker == nil {
		o.onWorker, o.onRack = map[string]int{}, map[string]int{}
	}
	o.onWorker[t.worker.name]++
	o.onRack[t.worker.node.Rack()]++
}

// removePlacement ends join.
func (o *object) removePlacement(t *attempt) {
	o.active--
	decrement(o.onWorker, t.worker.name)
	decrement(o.onRack, t.worker.node.Rack())
}

func decrement(counts map[string]int, key string) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// span is a range of tasks, To exclusive.
type span struct{ from, to int }

// team is a team's work in the shard.
type team struct {
	spec     spec.Team
	quota    resource.Vector
	reserved resource.Vector
	queues   [3][]*object
}

// totals is what the shard has, for shares and quotas.
type totals struct{ capacity resource.Vector }

// SetObjects takes the objects in force.
func (h *Holder) SetObjects(now time.Time) {
	if !h.isHolder() {
		return
	}
	h.setTeams()
	h.unwantedScanDue = true
	seen := map[task.ObjectID]bool{}
	for _, o := range h.ledger.Objects() {
		ranges := h.homeRanges(o)
		if len(ranges) == 0 {
			continue
		}
		seen[o.ID()] = true
		h.setObject(now, o, ranges)
	}
	for id, o := range h.objects {
		if !seen[id] {
			o.removed = true
			delete(h.objects, id)
		}
	}
	h.rebuildQueues()
}

func (h *Holder) homeRanges(o *ledger.Object) []span {
	var ranges []span
	for _, home := range o.Homes() {
		if home.Shard == h.id {
			ranges = append(ranges, span{home.From, home.To})
		}
	}
	return ranges
}

func (h *Holder) setObject(now time.Time, spec *ledger.Object, ranges []span) {
	o := h.objects[spec.ID()]
	if o == nil {
		o = &object{waitingSince: now}
		h.objects[spec.ID()] = o
		for _, t := range h.tasks {
			if t.id.Object == spec.ID() {
				t.object = o
				o.addPlacement(t)
			}
		}
	}
	if !slices.Equal(o.ranges, ranges) || h.phase != Active {
		o.ranges, o.rangeIndex = ranges, 0
		o.nextIndex = ranges[0].from
	}
	o.spec = spec
	o.team = h.teams[spec.Work().Team]
}

// setTeams takes the teams in force. A team's quota in the shard is its quota in
// the cell by the shard's part of the cell.
func (h *Holder) setTeams() {
	part := h.ledger.CapacityShare(h.id)
	for name, t := range h.ledger.Teams() {
		if h.teams[name] == nil {
			h.teams[name] = &team{}
		}
		h.teams[name].spec = t
		h.teams[name].quota = ledger.ShardQuota(t, part)
	}
	h.total.capacity = h.ledger.Capacity(h.id)
}

// rebuildQueues sorts objects into their teams' queues, oldest first.
func (h *Holder) rebuildQueues() {
	for _, t := range h.teams {
		t.queues = [3][]*object{}
	}
	for _, s := range h.ledger.Objects() {
		o := h.objects[s.ID()]
		if o == nil || o.team == nil || s.Cancelled() || !h.hasWaiting(o) {
			continue
		}
		rank := s.Work().Priority.Rank()
		o.team.queues[rank] = append(o.team.queues[rank], o)
	}
}

// enqueue puts an object that has waiting tasks again back in its queue.
func (h *Holder) enqueue(o *object) {
	if o.team == nil || o.removed || o.spec.Cancelled() {
		return
	}
	rank := o.spec.Work().Priority.Rank()
	queue := o.team.queues[rank]
	at, found := slices.BinarySearchFunc(queue, o, func(a, b *object) int {
		return a.spec.ID().Compare(b.spec.ID())
	})
	if !found {
		o.team.queues[rank] = slices.Insert(queue, at, o)
	}
}

// hasWaiting says whether a task of o has neither ended nor a place.
func (h *Holder) hasWaiting(o *object) bool {
	if o.retries.len() > 0 {
		return true
	}
	_, ok := h.peekUnstarted(o)
	return ok
}

// peekUnstarted returns the next task of o that was never started by this holder,
// and moves the cursor up to it.
func (h *Holder) peekUnstarted(o *object) (int, bool) {
	progress := h.ledger.Progress(o.spec.ID())
	for o.rangeIndex < len(o.ranges) {
		for ; o.nextIndex < o.ranges[o.rangeIndex].to; o.nextIndex++ {
			if !progress.Ended(o.nextIndex) && !progress.MayHaveStarted(o.nextIndex) && !h.hasAttempt(o, o.nextIndex) {
				return o.nextIndex, true
			}
		}
		o.rangeIndex++
		if o.rangeIndex < len(o.ranges) {
			o.nextIndex = o.ranges[o.rangeIndex].from
		}
	}
	return 0, false
}

// hasAttempt says whether a task has a place, had one and has ended, or is to be
// started again.
func (h *Holder) hasAttempt(o *object, index int) bool {
	key := taskKey(o, index)
	_, ok := h.tasks[key]
	return ok || h.outbox.unrecorded[key] || o.retries.has(index)
}

// popWaiting takes the next task of o from its queue.
func (h *Holder) popWaiting(now time.Time, o *object) (retry, bool) {
	if r, ok := o.retries.popDue(now); ok {
		return r, true
	}
	index, ok := h.peekUnstarted(o)
	if !ok {
		return retry{}, false
	}
	o.nextIndex++
	return retry{index: index}, true
}

// requeueUnstarted returns a task that was not started.
func (h *Holder) requeueUnstarted(o *object, r retry) {
	if o.removed || o.spec.Cancelled() || !o.hasTask(r.index) {
		return
	}
	o.retries.pushFront(r)
	h.enqueue(o)
}
