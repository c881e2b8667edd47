// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
	"slices"
	"time"

	"saddlevane/models/resource"
	"saddlevane/models/spec"
	"saddlevane/models/task"
	"saddlevane/modules/ordered"
	"saddlevane/services/ledger"
)

// taskKey returns the key of the task index of o.
func taskKey(o *object, index int) task.Key {
	return task.Key{Object: o.spec.ID(), Index: index}
}

// preemptRetryDelay is how long preempted capacity counts as being freed: preempted tasks
// need about that long to stop. After that, more tasks may be preempted.
const preemptRetryDelay = 500 * time.Millisecond

// preemption is a set of tasks on one worker that would have to stop to free the resources
// for one urgent task.
type preemption struct{ victims []*attempt }

// preemptFor frees resources for the waiting tasks of an urgent object. It stops, with a
// checkpoint, tasks of jobs of the lowest priority that may be repeated, using the workers
// where the fewest have to stop.
func (h *Holder) preemptFor(now time.Time, o *object, need resource.Vector) {
	if o.spec.Work().Priority != spec.Urgent {
		return
	}
	if now.Sub(o.preemptedAt) >= preemptRetryDelay {
		o.expectedPlaces = 0
	}
	missing := min(h.estimateWaiting(o), h.settings.StopsPerTick) - o.expectedPlaces
	if missing <= 0 {
		return
	}
	for _, s := range h.possiblePreemptions(now, need) {
		if missing <= 0 || h.stopBudget < len(s.victims) {
			break
		}
		for _, t := range s.victims {
			h.stopAttempt(t, true)
			h.counts.Preemptions++
		}
		missing--
		o.expectedPlaces++
		o.preemptedAt = now
		o.reason = "the tasks preempted for it have not stopped yet"
	}
}

// estimateWaiting returns about how many tasks of o wait, and at least 1.
func (h *Holder) estimateWaiting(o *object) int {
	p := h.ledger.Progress(o.spec.ID())
	return max(o.taskCount()-o.active-int(p.Done().GetCardinality()+p.Failed().GetCardinality()), 1)
}

// possiblePreemptions returns what could be preempted on each worker, fewest tasks first.
func (h *Holder) possiblePreemptions(now time.Time, need resource.Vector) []preemption {
	var all []preemption
	for _, w := range h.sortedWorkers {
		if !h.canStart(now, w) || len(w.stops) > 0 || !need.Fits(w.node.Capacity()) {
			continue
		}
		if v := selectVictims(w, need); v != nil {
			all = append(all, preemption{v})
		}
	}
	slices.SortStableFunc(all, func(a, b preemption) int { return len(a.victims) - len(b.victims) })
	return all
}

// selectVictims returns tasks on w that would have to stop to free the resources need, or nil if
// stopping tasks is not enough or not necessary.
func selectVictims(w *workerState, need resource.Vector) []*attempt {
	free := w.node.Free()
	var stopped []*attempt
	for _, t := range ordered.MapFunc(w.tasks, task.ID.Compare) {
		if need.Fits(free) {
			break
		}
		if t.isPreemptible() {
			free = free.Plus(t.resources)
			stopped = append(stopped, t)
		}
	}
	if !need.Fits(free) || len(stopped) == 0 {
		return nil
	}
	return stopped
}

// isPreemptible reports whether t runs a repeatable task of a job of the lowest priority.
func (t *attempt) isPreemptible() bool {
	return t.object != nil && t.stage == stageRunning && t.object.spec.Kind() == ledger.KindJob &&
		t.object.spec.Work().Priority == spec.Bulk && t.object.spec.Repeatable()
}

// stopUnwanted stops, at a limited rate, tasks that are no longer in the files in force,
// tasks that should move off a drained worker, and tasks of services whose definition has
// changed. It scans the tasks only after a change, until no such task is left.
func (h *Holder) stopUnwanted() {
	if !h.unwantedScanDue {
		return
	}
	h.unwantedScanDue = false
	checked := map[*object]bool{}
	for _, t := range ordered.MapFunc(h.tasks, task.Key.Compare) {
		d := h.dispositionOf(t)
		if d == keepRunning {
			continue
		}
		h.unwantedScanDue = true
		if h.stopBudget <= 0 {
			return
		}
		if t.stage != stageStopping && (d == stopAtOnce || h.canSpareOne(t.object, checked)) {
			h.stopAttempt(t, true)
		}
	}
}

// disposition says whether a task should go on running.
type disposition string

const (
	keepRunning disposition = "wanted"
	// stopAtOnce means that the task should stop as soon as the rate limit allows.
	stopAtOnce disposition = "unwanted now"
	// stopWhenSpare means that the task should stop once all other tasks of its service
	// run.
	stopWhenSpare disposition = "unwanted soon"
)

// dispositionOf returns whether the task of t should go on running.
func (h *Holder) dispositionOf(t *attempt) disposition {
	o := t.object
	switch {
	case o == nil && t.id.Object.Born > h.ledger.NextOffset():
		// The task belongs to a file that this process has not read yet.
		return keepRunning
	case o == nil || o.removed || o.spec.Cancelled() || !o.hasTask(t.id.Index):
		return stopAtOnce
	case o.spec.Kind() == ledger.KindService && (t.worker.drained || t.version != o.spec.Version()):
		return stopWhenSpare
	case t.worker.drained && o.spec.Repeatable():
		return stopAtOnce
	default:
		return keepRunning
	}
}

// canSpareOne reports whether a service can spare one task, which is when all of its tasks
// run. It returns true at most once for each object, and adds the objects that it was asked
// about to checked.
func (h *Holder) canSpareOne(o *object, checked map[*object]bool) bool {
	if checked[o] {
		return false
	}
	checked[o] = true
	for _, s := range o.ranges {
		for i := s.from; i < s.to; i++ {
			if t, ok := h.tasks[taskKey(o, i)]; !ok || t.stage != stageRunning {
				return false
			}
		}
	}
	return true
}

// taskCount returns how many tasks of o are assigned to this shard.
func (o *object) taskCount() int {
	n := 0
	for _, s := range o.ranges {
		n += s.to - s.from
	}
	return n
}
