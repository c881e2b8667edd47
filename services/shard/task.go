// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
	"time"

	"saddlevane/models/resource"
	"saddlevane/models/task"
	"saddlevane/models/worker"
	"saddlevane/services/journal"
)

// stage is the progress of an attempt.
type stage string

const (
	// stageAwaitingIntent waits for the intent to be recorded in the log.
	stageAwaitingIntent stage = "intending"
	// stageStarting means that the start was sent to the worker or is queued to be sent.
	stageStarting stage = "starting"
	// stageRunning means that the worker has reported the task as running.
	stageRunning stage = "running"
	// stageStopping means that a request to stop was sent to the worker or is queued to be
	// sent.
	stageStopping stage = "stopping"
)

// attempt is an attempt to run a task that has a place on a worker.
type attempt struct {
	id        task.ID
	object    *object
	worker    *workerState
	resources resource.Vector
	version   int64
	stage     stage
	// intentEntry is the journal entry after which the intent is recorded, or 0 if the
	// intent is not in the journal yet.
	intentEntry journal.EntryNumber
	startedAt   time.Time
}

// placeTask reserves resources for a task on w and queues its start, or first its intent if
// the task may not be repeated.
func (h *Holder) placeTask(now time.Time, o *object, r retry, w *workerState) *attempt {
	t := &attempt{
		id:     task.ID{Object: o.spec.ID(), Index: r.index, Attempt: r.attempt},
		object: o, worker: w, resources: o.spec.Work().Resources, version: o.spec.Version(),
		stage: stageStarting, startedAt: now,
	}
	h.track(t)
	if o.spec.Repeatable() {
		h.queueStart(t)
		return t
	}
	t.stage = stageAwaitingIntent
	h.outbox.addIntent(t)
	return t
}

// queueStart queues the start of t for the next Sync with its worker.
func (h *Holder) queueStart(t *attempt) {
	t.stage = stageStarting
	t.worker.starts = append(t.worker.starts, worker.Start{
		Task: t.id, Resources: t.resources, Command: t.object.spec.Work().Command, Version: t.version,
	})
	h.counts.Starts++
}

// track adds an attempt to the tasks, its worker, object and team.
func (h *Holder) track(t *attempt) {
	h.tasks[t.id.Key()] = t
	t.worker.tasks[t.id] = t
	t.worker.node.Reserve(t.resources)
	if t.object == nil {
		return
	}
	t.object.retries.remove(t.id.Index)
	t.object.expectedPlaces = max(t.object.expectedPlaces-1, 0)
	t.object.addPlacement(t)
	if t.object.team != nil {
		t.object.team.reserved = t.object.team.reserved.Plus(t.resources)
	}
}

// untrack undoes track.
func (h *Holder) untrack(t *attempt) {
	if h.tasks[t.id.Key()] == t {
		delete(h.tasks, t.id.Key())
	}
	delete(t.worker.tasks, t.id)
	delete(t.worker.stops, t.id)
	t.worker.node.Release(t.resources)
	if t.object == nil {
		return
	}
	t.object.removePlacement(t)
	if t.object.team != nil {
		t.object.team.reserved = t.object.team.reserved.Minus(t.resources)
	}
}

// withdrawStarts requeues tasks whose starts a worker certainly did not apply.
func (h *Holder) withdrawStarts(w *workerState, starts []worker.Start, reason string) {
	for _, s := range starts {
		t, ok := w.tasks[s.Task]
		if !ok || t.stage != stageStarting {
			continue
		}
		h.untrack(t)
		if t.object != nil {
			t.object.reason = reason
			h.requeueUnstarted(t.object, retry{index: t.id.Index, attempt: t.id.Attempt})
			h.stopGang(t.object)
		}
	}
}

// stopAttempt requests the worker to stop an attempt. An attempt that waits for its intent
// is dropped and requeued instead.
func (h *Holder) stopAttempt(t *attempt, checkpoint bool) {
	if t.stage == stageStopping {
		return
	}
	if t.stage == stageAwaitingIntent {
		h.outbox.withdrawIntent(t)
		h.untrack(t)
		h.requeueUnstarted(t.object, retry{index: t.id.Index, attempt: t.id.Attempt})
		return
	}
	t.stage = stageStopping
	t.worker.stops[t.id] = worker.Stop{Task: t.id, Checkpoint: checkpoint}
	h.stopBudget--
}
