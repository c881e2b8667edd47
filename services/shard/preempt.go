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

func keyOf(o *object, index int) task.Key {
	return task.Key{Object: o.spec.ID(), Index: index}
}

// preemptAgain is how long room that was made counts as coming: the stopped tasks
// need about as long to give their places up.
const preemptAgain = 500 * time.Millisecond

// sacrifice is tasks on one worker whose end makes room for one urgent task.
type sacrifice struct{ victims []*running }

// preempt makes room for the waiting tasks of urgent work by stopping, with a
// checkpoint, the fewest tasks of jobs of the lowest priority that may be
// repeated.
func (h *Holder) preempt(now time.Time, o *object, need resource.Vector) {
	if o.spec.Work().Priority != spec.Urgent {
		return
	}
	if now.Sub(o.preempted) >= preemptAgain {
		o.making = 0
	}
	missing := min(h.waitingCount(o), h.settings.StopsPerTick) - o.making
	if missing <= 0 {
		return
	}
	for _, s := range h.sacrifices(now, need) {
		if missing <= 0 || h.stops < len(s.victims) {
			break
		}
		for _, t := range s.victims {
			h.stop(t, true)
			h.counts.Preemptions++
		}
		missing--
		o.making++
		o.preempted = now
		o.reason = "waits for the tasks that it preempted to stop"
	}
}

// waitingCount returns about how many tasks of o wait.
func (h *Holder) waitingCount(o *object) int {
	p := h.ledger.Progress(o.spec.ID())
	return max(o.size()-o.active-int(p.Done().GetCardinality()+p.Failed().GetCardinality()), 1)
}

// sacrifices returns what could be stopped on each worker, fewest tasks first.
func (h *Holder) sacrifices(now time.Time, need resource.Vector) []sacrifice {
	var all []sacrifice
	for _, w := range h.order {
		if !h.mayStart(now, w) || len(w.stops) > 0 || !need.Fits(w.node.Capacity()) {
			continue
		}
		if v := victims(w, need); v != nil {
			all = append(all, sacrifice{v})
		}
	}
	slices.SortStableFunc(all, func(a, b sacrifice) int { return len(a.victims) - len(b.victims) })
	return all
}

// victims returns tasks on w whose end would make room for need, or nil.
func victims(w *workerState, need resource.Vector) []*running {
	free := w.node.Free()
	var stopped []*running
	for _, t := range ordered.By(w.tasks, task.ID.Compare) {
		if need.Fits(free) {
			break
		}
		if t.preemptible() {
			free = free.Plus(t.resources)
			stopped = append(stopped, t)
		}
	}
	if !need.Fits(free) || len(stopped) == 0 {
		return nil
	}
	return stopped
}

func (t *running) preemptible() bool {
	return t.object != nil && t.stage == stageRunning && t.object.spec.Kind() == ledger.KindJob &&
		t.object.spec.Work().Priority == spec.Bulk && t.object.spec.Repeatable()
}

// stopUnwanted stops, at a bounded rate, tasks that no file asks for any more,
// that are to move off a drained worker, or that a newer form replaces. Tasks are
// looked through only after something changed, until none of these is left.
func (h *Holder) stopUnwanted() {
	if !h.look {
		return
	}
	h.look = false
	looked := map[*object]bool{}
	for _, t := range ordered.By(h.tasks, task.Key.Compare) {
		why := h.unwanted(t)
		if why == wanted {
			continue
		}
		h.look = true
		if h.stops <= 0 {
			return
		}
		if t.stage != stageStopping && (why == unwantedNow || h.canSpareOne(t.object, looked)) {
			h.stop(t, true)
		}
	}
}

// want is whether a task should go on.
type want string

const (
	wanted want = "wanted"
	// unwantedNow should stop at once.
	unwantedNow want = "unwanted now"
	// unwantedSoon should stop once the service can spare a task.
	unwantedSoon want = "unwanted soon"
)

func (h *Holder) unwanted(t *running) want {
	o := t.object
	switch {
	case o == nil && t.id.Object.Born > h.ledger.Next():
		// It belongs to a file that this process has not read yet.
		return wanted
	case o == nil || o.gone || o.spec.Cancelled() || !o.has(t.id.Index):
		return unwantedNow
	case o.spec.Kind() == ledger.KindService && (t.worker.drained || t.version != o.spec.Version()):
		return unwantedSoon
	case t.worker.drained && o.spec.Repeatable():
		return unwantedNow
	default:
		return wanted
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
			if t, ok := h.tasks[keyOf(o, i)]; !ok || t.stage != stageRunning {
				return false
			}
		}
	}
	return true
}

func (o *object) size() int {
	n := 0
	for _, s := range o.ranges {
		n += s.to - s.from
	}
	return n
}
