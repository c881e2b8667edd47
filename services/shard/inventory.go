// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
	"maps"
	"slices"
	"time"

	"saddlevane/models/task"
	"saddlevane/models/worker"
	"saddlevane/modules/ordered"
	"saddlevane/services/ledger"
)

// reconcile updates the holder's state from a worker's inventory that was read under this
// holder's lease. The inventory is authoritative for every task whose start was sent in an
// answered Sync.
func (h *Holder) reconcile(now time.Time, w *workerState, s *worker.Sync, r worker.Report) {
	refused := map[task.ID]string{}
	for _, f := range r.Refused {
		refused[f.Task] = f.Reason
	}
	items := make(map[task.ID]bool, len(r.Tasks))
	for _, item := range r.Tasks {
		items[item.Task] = true
		h.reconcileItem(now, w, item)
	}
	// A stop of a run that has no place here is needed only while the worker reports that run.
	maps.DeleteFunc(w.stops, func(id task.ID, _ worker.Stop) bool { return !items[id] && w.tasks[id] == nil })
	unsent := map[task.ID]bool{}
	for _, start := range w.starts {
		unsent[start.Task] = true
	}
	for id, t := range ordered.MapFunc(w.tasks, task.ID.Compare) {
		if items[id] || unsent[id] || t.stage == stageAwaitingIntent {
			continue
		}
		if reason, ok := refused[id]; ok {
			h.withdrawStarts(w, startsOf(s, id), reason)
			continue
		}
		h.handleLost(now, t, "the worker no longer has the task")
	}
}

// startsOf returns the start of the task in s, or a start with only the ID if s has none.
func startsOf(s *worker.Sync, id task.ID) []worker.Start {
	for i := range s.Starts {
		if s.Starts[i].Task == id {
			return s.Starts[i : i+1]
		}
	}
	return []worker.Start{{Task: id}}
}

// reconcileItem updates the holder's state from one task in a worker's inventory.
func (h *Holder) reconcileItem(now time.Time, w *workerState, item worker.Item) {
	t := w.tasks[item.Task]
	switch {
	case item.State != task.Running:
		h.handleEnded(now, w, t, item)
	case t == nil:
		h.adopt(now, w, item)
	case t.stage == stageStarting:
		t.stage = stageRunning
	}
}

// adopt takes over a task that runs on a worker and was not started by this holder. If the
// task has a place elsewhere too, the attempt with the lower number is stopped.
func (h *Holder) adopt(now time.Time, w *workerState, item worker.Item) {
	id := item.Task
	t := &attempt{
		id: id, object: h.objects[id.Object], worker: w, resources: item.Resources,
		version: item.Version, stage: stageRunning, startedAt: now,
	}
	other, placed := h.tasks[id.Key()]
	switch {
	case placed && other.id.Attempt >= id.Attempt:
		h.counts.Duplicates++
		w.stops[id] = worker.Stop{Task: id}
	case placed:
		h.counts.Duplicates++
		h.stopAttempt(other, false)
	default:
		h.track(t)
		h.unwantedScanDue = true
	}
}

// handleEnded handles the end of an attempt that a worker reports. Each one is handled
// once, although the worker repeats it until it is acknowledged.
func (h *Holder) handleEnded(now time.Time, w *workerState, t *attempt, item worker.Item) {
	if t != nil {
		h.untrack(t)
	}
	delete(w.stops, item.Task)
	if w.ended[item.Task] {
		return
	}
	w.ended[item.Task] = true
	o := h.objects[item.Task.Object]
	switch {
	case o == nil && item.Task.Object.Born > h.ledger.NextOffset():
		// The task belongs to a file that this process has not read yet. Asking for the
		// whole inventory again makes the worker repeat the outcome.
		delete(w.ended, item.Task)
		w.inventoryVersion = 0
	case o == nil || h.isStale(t, item, o):
		w.acks = append(w.acks, item.Task)
	case o.spec.Kind() == ledger.KindService:
		w.acks = append(w.acks, item.Task)
		h.requeueEnded(now, o, item)
	case item.State == task.Done:
		h.recordSuccess(now, w, o, t)
		h.outbox.addOutcome(w, item.Task, task.Done)
		h.endOtherAttempts(o, item.Task)
	default:
		h.handleFailure(now, w, o, item)
	}
}

// isStale reports whether an outcome no longer matters: the task has already ended, no
// longer belongs to the object, or another attempt is placed or queued. Then a success still
// matters, because the task must not be started again after it is acknowledged.
func (h *Holder) isStale(t *attempt, item worker.Item, o *object) bool {
	id := item.Task
	if !o.hasTask(id.Index) || h.hasEnded(o, id.Index) {
		return true
	}
	if item.State == task.Done && o.spec.Kind() != ledger.KindService {
		return false
	}
	if other, ok := h.tasks[id.Key()]; ok && other != t {
		return true
	}
	return o.retries.has(id.Index)
}

// hasEnded reports whether the log shows the end of a task of o, or will show it soon.
func (h *Holder) hasEnded(o *object, index int) bool {
	return h.ledger.Progress(o.spec.ID()).Ended(index) || h.outbox.unrecorded[taskKey(o, index)]
}

// endOtherAttempts stops the placed attempt of a task that has succeeded and drops its retry.
func (h *Holder) endOtherAttempts(o *object, id task.ID) {
	o.retries.remove(id.Index)
	if other := h.tasks[id.Key()]; other != nil {
		h.stopAttempt(other, false)
	}
}

// hasTask reports whether the task index is in the ranges of o that are assigned to this
// shard.
func (o *object) hasTask(index int) bool {
	return slices.ContainsFunc(o.ranges, func(s span) bool { return index >= s.from && index < s.to })
}

// handleLost handles an attempt that ended without an outcome. A task that may be repeated
// is requeued.
func (h *Holder) handleLost(now time.Time, t *attempt, reason string) {
	h.untrack(t)
	h.counts.Lost++
	o := t.object
	if o == nil || o.removed {
		return
	}
	o.reason = reason
	if !o.spec.Repeatable() {
		// The intent without an outcome marks the task as unknown from here on.
		return
	}
	h.requeueEnded(now, o, worker.Item{Task: t.id, State: task.Stopped})
	h.stopGang(o)
}

// abandonTasks drops all state of a worker that certainly runs no task any more. Its
// attempts count as lost.
func (h *Holder) abandonTasks(now time.Time, w *workerState, reason string) {
	w.inventoryVersion = 0
	w.dropStarts()
	w.acks = nil
	w.ended = map[task.ID]bool{}
	for _, t := range ordered.MapFunc(w.tasks, task.ID.Compare) {
		if t.stage == stageAwaitingIntent {
			h.outbox.withdrawIntent(t)
			h.untrack(t)
			h.requeueUnstarted(t.object, retry{index: t.id.Index, attempt: t.id.Attempt})
			continue
		}
		h.handleLost(now, t, reason)
	}
}
