// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
	"slices"
	"time"

	"saddlevane/models/task"
	"saddlevane/models/worker"
	"saddlevane/modules/ordered"
	"saddlevane/services/ledger"
)

// recordSuccess updates the object and the worker after a task has finished successfully.
// It clears their failure records and, if the attempt t is known, adds its run time to the
// object's moving average.
func (h *Holder) recordSuccess(now time.Time, w *workerState, o *object, t *attempt) {
	o.failures, o.failedOn = 0, nil
	w.failureStreak, w.quarantineCount = nil, 0
	if t == nil {
		return
	}
	took := now.Sub(t.startedAt)
	if o.meanRunTime == 0 {
		o.meanRunTime = took
		return
	}
	o.meanRunTime += (took - o.meanRunTime) / meanSmoothing
}

// meanSmoothing is the divisor of the moving average of run times: each new run time counts
// for 1/meanSmoothing.
const meanSmoothing = 8

// handleFailure handles a failed or stopped attempt of a job or gang. The task is recorded
// as failed if it may not be repeated, is cancelled or has no retries left; otherwise it is
// requeued. Stopped attempts do not count as failures.
func (h *Holder) handleFailure(now time.Time, w *workerState, o *object, item worker.Item) {
	if item.State == task.Failed {
		h.blame(now, w, o)
	}
	if o.spec.Cancelled() || !o.spec.Repeatable() {
		h.outbox.addOutcome(w, item.Task, task.Failed)
		return
	}
	if item.State == task.Failed && o.countFailure(item.Task.Index) > o.spec.Batch().Retries {
		h.outbox.addOutcome(w, item.Task, task.Failed)
		return
	}
	w.acks = append(w.acks, item.Task)
	h.requeueEnded(now, o, item)
	h.stopGang(o)
}

// countFailure counts one more failure of a task and returns how many there have been. A
// new holder counts from zero, because it has no record of why earlier attempts ended.
func (o *object) countFailure(index int) int {
	if o.failuresByTask == nil {
		o.failuresByTask = map[int]int{}
	}
	o.failuresByTask[index]++
	return o.failuresByTask[index]
}

// requeueEnded puts a task whose attempt has ended back in the queue, unless another attempt of it
// has succeeded. Failed attempts wait for the backoff; stopped ones are due at once.
func (h *Holder) requeueEnded(now time.Time, o *object, item worker.Item) {
	if o.removed || o.spec.Cancelled() || !o.hasTask(item.Task.Index) || h.hasEnded(o, item.Task.Index) {
		return
	}
	r := retry{index: item.Task.Index, attempt: item.Task.Attempt + 1}
	if item.State != task.Stopped {
		wait := h.settings.Backoff << min(item.Task.Attempt, maxDoublings)
		r.notBefore = now.Add(min(wait, h.settings.MaxBackoff))
	}
	o.retries.pushBack(r)
	h.enqueue(o)
}

// maxDoublings limits how often a backoff or quarantine doubles.
const maxDoublings = 12

// stopGang stops all remaining tasks of o if it is a gang, because the tasks of a gang may
// only start together.
func (h *Holder) stopGang(o *object) {
	if o.spec.Kind() != ledger.KindGang {
		return
	}
	for _, t := range ordered.MapFunc(h.tasks, task.Key.Compare) {
		if t.object == o {
			h.stopAttempt(t, true)
		}
	}
}

// blame records a failure against the worker and the object. Consecutive failures of different
// objects on one worker quarantine the worker; failures of one object on different workers
// delay the object.
func (h *Holder) blame(now time.Time, w *workerState, o *object) {
	if !slices.Contains(o.failedOn, w.name) {
		o.failedOn = append(o.failedOn, w.name)
	}
	o.failures++
	if len(o.failedOn) >= h.settings.QuarantineAfter {
		wait := h.settings.Backoff << min(o.failures, maxDoublings)
		o.notBefore = now.Add(min(wait, h.settings.MaxBackoff))
		o.reason = "its tasks have failed on several workers"
		return
	}
	if id := o.spec.ID(); !slices.Contains(w.failureStreak, id) {
		w.failureStreak = append(w.failureStreak, id)
	}
	if len(w.failureStreak) >= h.settings.QuarantineAfter || (w.quarantineCount > 0 && len(w.failureStreak) > 0) {
		w.quarantinedUntil = now.Add(h.settings.QuarantineFor << min(w.quarantineCount, maxDoublings))
		w.quarantineCount++
		w.failureStreak = nil
		h.updateIndex(now, w)
	}
}
