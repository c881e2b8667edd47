// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
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

// preemptAgain is the least time between two preemptions for one object: the
// stopped tasks need about as long to give their place up.
const preemptAgain = 500 * time.Millisecond

// preempt makes room for urgent work by stopping, with a checkpoint, the fewest
// tasks of jobs of the lowest priority that may be repeated.
func (h *Holder) preempt(now time.Time, o *object, need resource.Vector) {
	if o.spec.Work().Priority != spec.Urgent || now.Sub(o.preempted) < preemptAgain {
		return
	}
	var best []*running
	for _, w := range h.order {
		if !h.mayStart(now, w) || !need.Fits(w.node.Capacity()) {
			continue
		}
		if victims := victims(w, need); victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
		if len(best) == 1 {
			break
		}
	}
	for _, t := range best {
		h.stop(t, true)
		h.counts.Preemptions++
	}
	if best != nil {
		o.preempted = now
		o.reason = "waits for the tasks that it preempted to stop"
	}
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
// that are to move off a drained worker, or that a newer form replaces.
func (h *Holder) stopUnwanted() {
	looked := map[*object]bool{}
	for _, t := range ordered.By(h.tasks, task.Key.Compare) {
		if h.stops <= 0 {
			return
		}
		if t.stage == stageStopping || !h.unwanted(t, looked) {
			continue
		}
		h.stop(t, true)
	}
}

func (h *Holder) unwanted(t *running, looked map[*object]bool) bool {
	o := t.object
	switch {
	case o == nil && t.id.Object.Born > h.ledger.Next():
		// It belongs to a file that this process has not read yet.
		return false
	case o == nil || o.gone || o.spec.Cancelled() || !o.has(t.id.Index):
		return true
	case t.worker.drained && o.spec.Repeatable():
		return o.spec.Kind() != ledger.KindService || h.canSpareOne(o, looked)
	case t.version != o.spec.Version() && o.spec.Kind() == ledger.KindService:
		return h.canSpareOne(o, looked)
	default:
		return false
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
