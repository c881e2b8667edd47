// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
	"slices"
	"time"

	"github.com/RoaringBitmap/roaring/v2"

	"saddlevane/models/record"
	"saddlevane/models/task"
	"saddlevane/models/worker"
	"saddlevane/modules/ordered"
	"saddlevane/services/journal"
	"saddlevane/services/ledger"
)

// outcomes gathers what the log has to take in: intents before tasks that may
// not be repeated start, and outcomes before workers forget them.
type outcomes struct {
	intents   map[task.ObjectID]*roaring.Bitmap
	intending []*running
	done      map[task.ObjectID]*roaring.Bitmap
	failed    map[task.ObjectID]*roaring.Bitmap
	// fresh holds outcomes not yet queued for the log, sent those that are.
	fresh  []ack
	sent   []ack
	ticket journal.Ticket
	// ending holds the tasks of both: they have ended, though the log does not
	// say so yet.
	ending map[task.Key]bool
}

// ack is an outcome that a worker may forget once the log has it.
type ack struct {
	worker *workerState
	task   task.ID
}

func newOutcomes() outcomes {
	return outcomes{
		intents: map[task.ObjectID]*roaring.Bitmap{},
		done:    map[task.ObjectID]*roaring.Bitmap{},
		failed:  map[task.ObjectID]*roaring.Bitmap{},
		ending:  map[task.Key]bool{},
	}
}

func (o *outcomes) empty() bool {
	return len(o.intents) == 0 && len(o.fresh) == 0 && len(o.sent) == 0 && len(o.intending) == 0
}

func (o *outcomes) intend(t *running) {
	add(o.intents, t.id)
	o.intending = append(o.intending, t)
}

// withdraw forgets an attempt that waits for its intent. The intent may reach
// the log all the same.
func (o *outcomes) withdraw(t *running) {
	o.intending = slices.DeleteFunc(o.intending, func(other *running) bool { return other == t })
}

func (o *outcomes) end(w *workerState, id task.ID, state task.State) {
	set := o.done
	if state != task.Done {
		set = o.failed
	}
	add(set, id)
	o.fresh = append(o.fresh, ack{w, id})
	o.ending[id.Key()] = true
}

func add(sets map[task.ObjectID]*roaring.Bitmap, id task.ID) {
	if sets[id.Object] == nil {
		sets[id.Object] = roaring.New()
	}
	sets[id.Object].Add(uint32(id.Index))
}

// flushOutcomes hands what has gathered to the journal, one batch at a time,
// and acts on what the log has taken in.
func (h *Holder) flushOutcomes(now time.Time) {
	o := &h.outbox
	if h.journal.Applied(o.ticket) {
		h.settleBatch(now)
		h.queueBatch()
	}
}

func (h *Holder) settleBatch(now time.Time) {
	o := &h.outbox
	for _, a := range o.sent {
		a.worker.acks = append(a.worker.acks, a.task)
		delete(o.ending, a.task.Key())
	}
	o.sent = nil
	var rest []*running
	for _, t := range o.intending {
		switch {
		case t.intent == 0:
			rest = append(rest, t)
		case h.mayStart(now, t.worker):
			h.queueStart(t)
		default:
			h.untrack(t)
			h.putBack(t.object, retry{index: t.id.Index, attempt: t.id.Attempt})
		}
	}
	o.intending = rest
}

func (h *Holder) queueBatch() {
	o := &h.outbox
	if h.journal.Full() {
		return
	}
	for id, set := range ordered.By(o.intents, task.ObjectID.Compare) {
		o.ticket = h.journal.Add(record.Entry{Intents: &record.Tasks{Object: id, Ranges: ledger.Ranges(set)}})
	}
	for id, set := range ordered.By(o.done, task.ObjectID.Compare) {
		o.ticket = h.journal.Add(record.Entry{Done: &record.Tasks{Object: id, Ranges: ledger.Ranges(set)}})
	}
	for id, set := range ordered.By(o.failed, task.ObjectID.Compare) {
		o.ticket = h.journal.Add(record.Entry{Failed: &record.Tasks{Object: id, Ranges: ledger.Ranges(set)}})
	}
	for _, t := range o.intending {
		t.intent = o.ticket
	}
	clear(o.intents)
	clear(o.done)
	clear(o.failed)
	o.sent, o.fresh = o.fresh, nil
}

// reconcile takes a worker's inventory, read under this holder's lease. It is
// the truth for every task that was started by a Sync the worker answered.
func (h *Holder) reconcile(now time.Time, w *workerState, s *worker.Sync, r worker.Report) {
	refused := map[task.ID]string{}
	for _, f := range r.Refused {
		refused[f.Task] = f.Reason
	}
	items := make(map[task.ID]bool, len(r.Tasks))
	for _, item := range r.Tasks {
		items[item.Task] = true
		h.takeItem(now, w, item)
	}
	unsent := map[task.ID]bool{}
	for _, start := range w.starts {
		unsent[start.Task] = true
	}
	for id, t := range ordered.By(w.tasks, task.ID.Compare) {
		if items[id] || unsent[id] || t.stage == stageIntending {
			continue
		}
		if reason, ok := refused[id]; ok {
			h.unstart(w, startsOf(s, id), reason)
			continue
		}
		h.lost(now, t, "the worker no longer has it")
	}
}

func startsOf(s *worker.Sync, id task.ID) []worker.Start {
	for i := range s.Starts {
		if s.Starts[i].Task == id {
			return s.Starts[i : i+1]
		}
	}
	return []worker.Start{{Task: id}}
}

// takeItem takes one task of a worker's inventory.
func (h *Holder) takeItem(now time.Time, w *workerState, item worker.Item) {
	t := w.tasks[item.Task]
	switch {
	case item.State != task.Running:
		h.takeEnd(now, w, t, item)
	case t == nil:
		h.adopt(now, w, item)
	case t.stage == stageStarting:
		t.stage = stageRunning
	}
}

// adopt takes over a task that runs on a worker and is not known to this holder.
func (h *Holder) adopt(now time.Time, w *workerState, item worker.Item) {
	id := item.Task
	t := &running{
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
		h.stop(other, false)
	default:
		h.track(t)
		h.look = true
	}
}

// takeEnd takes an outcome that a worker reports.
func (h *Holder) takeEnd(now time.Time, w *workerState, t *running, item worker.Item) {
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
	case o == nil && item.Task.Object.Born > h.ledger.Next():
		// It belongs to a file that this process has not read yet.
		delete(w.ended, item.Task)
	case o == nil || h.stale(t, item.Task, o):
		w.acks = append(w.acks, item.Task)
	case o.spec.Kind() == ledger.KindService:
		w.acks = append(w.acks, item.Task)
		h.requeueEnded(now, w, o, item)
	case item.State == task.Done:
		h.learn(now, w, o, t)
		h.outbox.end(w, item.Task, task.Done)
	default:
		h.takeFailure(now, w, o, item)
	}
}

// stale says whether an outcome no longer matters: the task has ended, is none
// of the object's any more, or a later attempt has its place or waits for one.
func (h *Holder) stale(t *running, id task.ID, o *object) bool {
	if h.ledger.Progress(id.Object).Ended(id.Index) {
		return true
	}
	if other, ok := h.tasks[id.Key()]; ok && other != t {
		return true
	}
	return !o.has(id.Index) || o.retry.has(id.Index)
}

func (o *object) has(index int) bool {
	return slices.ContainsFunc(o.ranges, func(s span) bool { return index >= s.from && index < s.to })
}

// learn takes a success into what is known of the object and the worker.
func (h *Holder) learn(now time.Time, w *workerState, o *object, t *running) {
	o.failures, o.failedOn = 0, nil
	w.streak, w.penalties = nil, 0
	if t == nil {
		return
	}
	took := now.Sub(t.startedAt)
	if o.mean == 0 {
		o.mean = took
		return
	}
	o.mean += (took - o.mean) / meanSmoothing
}

const meanSmoothing = 8

// takeFailure decides what follows a failed or stopped attempt of a job or gang.
func (h *Holder) takeFailure(now time.Time, w *workerState, o *object, item worker.Item) {
	if item.State == task.Failed {
		h.blame(now, w, o)
	}
	if o.spec.Cancelled() || !o.spec.Repeatable() {
		h.outbox.end(w, item.Task, task.Failed)
		return
	}
	if item.State == task.Failed && item.Task.Attempt >= o.spec.Batch().Retries {
		h.outbox.end(w, item.Task, task.Failed)
		return
	}
	w.acks = append(w.acks, item.Task)
	h.requeueEnded(now, w, o, item)
	h.disbandGang(o)
}

// requeueEnded puts a task whose attempt ended back in the queue. Attempts that
// were stopped, not failed, do not count against it.
func (h *Holder) requeueEnded(now time.Time, _ *workerState, o *object, item worker.Item) {
	if o.gone || o.spec.Cancelled() || !o.has(item.Task.Index) {
		return
	}
	r := retry{index: item.Task.Index, attempt: item.Task.Attempt + 1}
	if item.State != task.Stopped {
		wait := h.settings.Backoff << min(item.Task.Attempt, maxDoublings)
		r.notBefore = now.Add(min(wait, h.settings.BackoffMost))
	}
	o.retry.put(r)
	h.enqueue(o)
}

const maxDoublings = 12

// disbandGang stops what still runs of a gang, so that it can start together
// again.
func (h *Holder) disbandGang(o *object) {
	if o.spec.Kind() != ledger.KindGang {
		return
	}
	for _, t := range ordered.By(h.tasks, task.Key.Compare) {
		if t.object == o {
			h.stop(t, true)
		}
	}
}

// blame holds a failure against the worker or the object. Different objects that
// fail on one worker in a row speak against the worker; one object that fails on
// different workers speaks against the object.
func (h *Holder) blame(now time.Time, w *workerState, o *object) {
	if !slices.Contains(o.failedOn, w.name) {
		o.failedOn = append(o.failedOn, w.name)
	}
	o.failures++
	if len(o.failedOn) >= h.settings.QuarantineAfter {
		wait := h.settings.Backoff << min(o.failures, maxDoublings)
		o.notBefore = now.Add(min(wait, h.settings.BackoffMost))
		o.reason = "its tasks fail on every worker"
		return
	}
	if id := o.spec.ID(); !slices.Contains(w.streak, id) {
		w.streak = append(w.streak, id)
	}
	if len(w.streak) >= h.settings.QuarantineAfter || (w.penalties > 0 && len(w.streak) > 0) {
		w.quarantined = now.Add(h.settings.QuarantineFor << min(w.penalties, maxDoublings))
		w.penalties++
		w.streak = nil
		h.index(now, w)
	}
}

// lost takes note that an attempt ended without an outcome.
func (h *Holder) lost(now time.Time, t *running, reason string) {
	h.untrack(t)
	h.counts.Lost++
	o := t.object
	if o == nil || o.gone {
		return
	}
	o.reason = reason
	if !o.spec.Repeatable() {
		// The intent without an outcome shows it as unknown from here on.
		return
	}
	h.requeueEnded(now, t.worker, o, worker.Item{Task: t.id, State: task.Stopped})
	h.disbandGang(o)
}

// abandon gives up everything on a worker that surely runs nothing any more.
func (h *Holder) abandon(now time.Time, w *workerState, reason string) {
	w.starts, w.sent, w.acks = nil, 0, nil
	w.ended = map[task.ID]bool{}
	for _, t := range ordered.By(w.tasks, task.ID.Compare) {
		if t.stage == stageIntending {
			h.outbox.withdraw(t)
			h.untrack(t)
			h.putBack(t.object, retry{index: t.id.Index, attempt: t.id.Attempt})
			continue
		}
		h.lost(now, t, reason)
	}
}
