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

func taskKey(o *object, index int) task.Key {
	return task.Key{Object: o.spec.ID(), Index: index}
}

// preemptRetryDelay is how long room that was made counts as coming: the stopped tasks
// need about as long to give their places up.
const preemptRetryDelay = 500 * time.Millisecond

// preemption is tasks on one worker whose end makes room for one urgent task.
type preemption struct{ victims []*attempt }

// preemptFor makes room for the waiting tasks of urgent work by stopping, with a
// checkpoint, the fewest tasks of jobs of the lowest priority that may be
// repeated.
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
		o.reason = "waits for the tasks that it preempted to stop"
	}
}

// estimateWaiting returns about how many tasks of o wait.
func (h *Holder) estimateWaiting(o *object) int {
	p := h.ledger.Progress(o.spec.ID())
	return max(o.taskCount()-o.active-int(p.Done().GetCardinality()+p.Failed().GetCardinality()), 1)
}

// possiblePreemptions returns what could be stopped on each worker, fewest tasks first.
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

// selectVictims returns tasks on w whose end would make room for need, or nil.
func selectVictims(w *workerState, need resource.Vector) []*attempt {
	free := w.node.Free()
	var stopped []*attempt
	for _, t := range ordered.By(w.tasks, task.ID.Compare) {
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

func (t *attempt) isPreemptible() bool {
	return t.object != nil && t.stage == stageRunning && t.object.spec.Kind() == ledger.KindJob &&
		t.object.spec.Work().Priority == spec.Bulk && t.object.spec.Repeatable()
}

// stopUnwanted stops, at a bounded rate, tasks that no file asks for any more,
// that are to move off a drained worker, or that a newer form replaces. Tasks are
// looked through only after something changed, until none of these is left.
func (h *Holder) stopUnwanted() {
	if !h.unwantedScanDue {
		return
	}
	h.unwantedScanDue = false
	looked := map[*object]bool{}
	for _, t := range ordered.By(h.tasks, task.Key.Compare) {
		why := h.dispositionOf(t)
		if why == keepRunning {
			continue
		}
		h.unwantedScanDue = true
		if h.stopBudget <= 0 {
			return
		}
		if t.stage != stageStopping && (why == stopAtOnce || h.canSpareOne(t.object, looked)) {
			h.stopAttempt(t, true)
		}
	}
}

// disposition is whether a task should go on.
type disposition string

const (
	keepRunning disposition = "wanted"
	// stopAtOnce should stop at once.
	stopAtOnce disposition = "unwanted now"
	// stopWhenSpare should stop once the service can spare a task.
	stopWhenSpare disposition = "unwanted soon"
)

func (h *Holder) dispositionOf(t *attempt) disposition {
	o := t.object
	switch {
	case o == nil && t.id.Object.Born > h.ledger.NextOffset():
		// It belongs to a file that this process has not read yet.
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

// canSpareOne says whether a service can spare one task: all of its tasks run. It
// says so once for each object in looked.
func (h *Holder) canSpareOne(o *object, looked map[*object]bool) bool {
	if looked[o] {
		return false
	}
	looked[o] = true
	for _, s := range o.ranges {
		for i := s.from; i < s.to; i++ {
			if t, ok := h.tasks[taskKey(o, i)]; !ok || t.stage != stageRunning {
				return false
			}
		}
	}
	return true
}

func (o *object) taskCount() int {
	n := 0
	for _, s := range o.ranges {
		n += s.to - s.from
	}
	return n
}
