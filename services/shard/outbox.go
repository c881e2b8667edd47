// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
	"slices"
	"time"

	"saddlevane/models/record"
	"saddlevane/models/task"
	"saddlevane/modules/ordered"
	"saddlevane/services/journal"
	"saddlevane/services/ledger"

	"github.com/RoaringBitmap/roaring/v2"
)

// logOutbox collects what must be recorded in the log: intents before tasks that may not be
// repeated are started, and outcomes before workers may forget them.
type logOutbox struct {
	intents        map[task.ObjectID]*roaring.Bitmap
	awaitingIntent []*attempt
	done           map[task.ObjectID]*roaring.Bitmap
	failed         map[task.ObjectID]*roaring.Bitmap
	// unqueued holds outcomes that have not been added to the journal yet, and queued those
	// of the batch in the journal.
	unqueued []ack
	queued   []ack
	// lastEntry is the last journal entry of that batch.
	lastEntry journal.EntryNumber
	// unrecorded holds the tasks of unqueued and queued: they have ended, but the log does
	// not show it yet.
	unrecorded map[task.Key]bool
}

// ack is an outcome that the worker may forget once it is recorded in the log.
type ack struct {
	worker *workerState
	task   task.ID
}

func newLogOutbox() logOutbox {
	return logOutbox{
		intents:    map[task.ObjectID]*roaring.Bitmap{},
		done:       map[task.ObjectID]*roaring.Bitmap{},
		failed:     map[task.ObjectID]*roaring.Bitmap{},
		unrecorded: map[task.Key]bool{},
	}
}

// isEmpty reports whether nothing waits to be recorded.
func (o *logOutbox) isEmpty() bool {
	return len(o.intents) == 0 && len(o.unqueued) == 0 && len(o.queued) == 0 && len(o.awaitingIntent) == 0
}

// addIntent queues the intent to start t.
func (o *logOutbox) addIntent(t *attempt) {
	addTask(o.intents, t.id)
	o.awaitingIntent = append(o.awaitingIntent, t)
}

// withdrawIntent drops an attempt that waits for its intent. The intent may still reach the
// log.
func (o *logOutbox) withdrawIntent(t *attempt) {
	o.awaitingIntent = slices.DeleteFunc(o.awaitingIntent, func(other *attempt) bool { return other == t })
}

// addOutcome queues the outcome of a task that ended on w. Any state but task.Done is
// recorded as failed.
func (o *logOutbox) addOutcome(w *workerState, id task.ID, state task.State) {
	set := o.done
	if state != task.Done {
		set = o.failed
	}
	addTask(set, id)
	o.unqueued = append(o.unqueued, ack{w, id})
	o.unrecorded[id.Key()] = true
}

// addTask adds the index of a task to the set of its object.
func addTask(sets map[task.ObjectID]*roaring.Bitmap, id task.ID) {
	if sets[id.Object] == nil {
		sets[id.Object] = roaring.New()
	}
	sets[id.Object].Add(uint32(id.Index))
}

// flushOutbox completes the batch in the journal once it has been read back from the log,
// and then adds the next batch to the journal.
func (h *Holder) flushOutbox(now time.Time) {
	o := &h.outbox
	if h.journal.Applied(o.lastEntry) {
		h.settleBatch(now)
		h.queueBatch()
	}
}

// settleBatch acts on a recorded batch: it acknowledges outcomes to the workers and queues
// the starts whose intents are recorded. A start whose worker can no longer be given tasks
// is requeued.
func (h *Holder) settleBatch(now time.Time) {
	o := &h.outbox
	for _, a := range o.queued {
		a.worker.acks = append(a.worker.acks, a.task)
		delete(o.unrecorded, a.task.Key())
	}
	o.queued = nil
	var rest []*attempt
	for _, t := range o.awaitingIntent {
		switch {
		case t.intentEntry == 0:
			rest = append(rest, t)
		case h.canStart(now, t.worker):
			h.queueStart(t)
		default:
			h.untrack(t)
			h.requeueUnstarted(t.object, retry{index: t.id.Index, attempt: t.id.Attempt})
		}
	}
	o.awaitingIntent = rest
}

// queueBatch adds the collected intents and outcomes to the journal, unless the journal is
// full.
func (h *Holder) queueBatch() {
	o := &h.outbox
	if h.journal.Full() {
		return
	}
	for id, set := range ordered.MapFunc(o.intents, task.ObjectID.Compare) {
		o.lastEntry = h.journal.Add(record.Entry{Intents: &record.Tasks{Object: id, Ranges: ledger.Ranges(set)}})
	}
	for id, set := range ordered.MapFunc(o.done, task.ObjectID.Compare) {
		o.lastEntry = h.journal.Add(record.Entry{Done: &record.Tasks{Object: id, Ranges: ledger.Ranges(set)}})
	}
	for id, set := range ordered.MapFunc(o.failed, task.ObjectID.Compare) {
		o.lastEntry = h.journal.Add(record.Entry{Failed: &record.Tasks{Object: id, Ranges: ledger.Ranges(set)}})
	}
	for _, t := range o.awaitingIntent {
		t.intentEntry = o.lastEntry
	}
	clear(o.intents)
	clear(o.done)
	clear(o.failed)
	o.queued, o.unqueued = o.unqueued, nil
}
