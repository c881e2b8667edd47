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

// object is a service, job or gang with tasks assigned to the shard.
type object struct {
	spec   *ledger.Object
	team   *team
	ranges []span
	// rangeIndex and nextIndex are the range in ranges and the task index in it from which
	// on tasks may never have been started.
	rangeIndex int
	nextIndex  int
	retries    retries
	// active is the number of tasks with an attempt on a worker.
	active int
	// waitingSince is when this holder first saw the object, taken as the time since when
	// its tasks wait.
	waitingSince time.Time
	// notBefore delays all tasks of the object after failures.
	notBefore time.Time
	failures  int
	// failuresByTask counts the failures of each task that has had any.
	failuresByTask map[int]int
	// failedOn lists the workers on which tasks of the object have failed since its last
	// success.
	failedOn []string
	// meanRunTime is the moving average of the run times of its tasks, or 0 if none has
	// finished.
	meanRunTime time.Duration
	// reason says why tasks of the object wait, or is "".
	reason string
	// preemptedAt is when tasks were last preempted for the object, and expectedPlaces for
	// how many of its tasks that frees resources which are not used yet.
	preemptedAt    time.Time
	expectedPlaces int
	// removed is set when the object is no longer in the files in force or has no task
	// assigned to the shard.
	removed bool
	// onWorker and onRack count the tasks with an attempt on each worker and in each rack.
	onWorker, onRack map[string]int
}

// addPlacement counts the attempt t on its worker and rack.
func (o *object) addPlacement(t *attempt) {
	o.active++
	if o.onWorker == nil {
		o.onWorker, o.onRack = map[string]int{}, map[string]int{}
	}
	o.onWorker[t.worker.name]++
	o.onRack[t.worker.node.Rack()]++
}

// removePlacement undoes addPlacement.
func (o *object) removePlacement(t *attempt) {
	o.active--
	decrement(o.onWorker, t.worker.name)
	decrement(o.onRack, t.worker.node.Rack())
}

// decrement lowers the count of key by one and deletes it at zero.
func decrement(counts map[string]int, key string) {
	if counts[key]--; counts[key] <= 0 {
		delete(counts, key)
	}
}

// span is the range of task indexes from from up to, but not including, to.
type span struct{ from, to int }

// team is a team's quota in the shard, the resources that its tasks have reserved, and its
// objects with waiting tasks by rank of priority.
type team struct {
	spec     spec.Team
	quota    resource.Vector
	reserved resource.Vector
	queues   [3][]*object
}

// totals holds the capacity of the shard, to which shares of teams refer.
type totals struct{ capacity resource.Vector }

// SetObjects updates the shard's objects and teams to the files in force.
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

// homeRanges returns the ranges of o's tasks that are assigned to this shard.
func (h *Holder) homeRanges(o *ledger.Object) []span {
	var ranges []span
	for _, home := range o.Homes() {
		if home.Shard == h.id {
			ranges = append(ranges, span{home.From, home.To})
		}
	}
	return ranges
}

// setObject adds or updates an object. Its search for tasks never started begins anew if
// its ranges have changed, and always before the phase is Active.
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

// setTeams updates the teams to the files in force. A team's quota in the shard is its
// quota in the cell times the shard's fraction of the cell.
func (h *Holder) setTeams() {
	fraction := h.ledger.CapacityShare(h.id)
	for name, t := range h.ledger.Teams() {
		if h.teams[name] == nil {
			h.teams[name] = &team{}
		}
		h.teams[name].spec = t
		h.teams[name].quota = ledger.ShardQuota(t, fraction)
	}
	h.total.capacity = h.ledger.Capacity(h.id)
}

// rebuildQueues builds the queues of all teams from the objects with waiting tasks, oldest
// first.
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

// enqueue puts an object whose tasks are waiting again back in its queue, in order of age.
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

// hasWaiting reports whether o has a task that waits for a retry or has never been started.
func (h *Holder) hasWaiting(o *object) bool {
	if o.retries.len() > 0 {
		return true
	}
	_, ok := h.peekUnstarted(o)
	return ok
}

// peekUnstarted returns the index of the next task of o that has never been started, and
// moves rangeIndex and nextIndex to it. It returns false if there is none.
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

// hasAttempt reports whether a task has an attempt on a worker, an end that is not recorded
// in the log yet, or a queued retry.
func (h *Holder) hasAttempt(o *object, index int) bool {
	key := taskKey(o, index)
	_, ok := h.tasks[key]
	return ok || h.outbox.unrecorded[key] || o.retries.has(index)
}

// popWaiting removes the next task of o that may start now and returns it: first retries
// that are due, then tasks never started.
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

// requeueUnstarted puts a task whose attempt was not started back at the front of the
// retries.
func (h *Holder) requeueUnstarted(o *object, r retry) {
	if o.removed || o.spec.Cancelled() || !o.hasTask(r.index) || h.hasEnded(o, r.index) {
		return
	}
	o.retries.pushFront(r)
	h.enqueue(o)
}
