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

// logOutbox gathers what the log has to take in: intents before tasks that may
// not be repeated start, and outcomes before workers forget them.
type logOutbox struct {
	intents        map[task.ObjectID]*roaring.Bitmap
	awaitingIntent []*attempt
	done           map[task.ObjectID]*roaring.Bitmap
	failed         map[task.ObjectID]*roaring.Bitmap
	// fresh holds outcomes not yet queued for the log, sent those that are.
	unqueued  []ack
	queued    []ack
	lastEntry journal.EntryNumber
	// ending holds the tasks of both: they have ended, though the log does not
	// say so yet.
	unrecorded map[task.Key]bool
}

// ack is an outcome that a worker may forget once the log has it.
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

func (o *logOutbox) isEmpty() bool {
	return len(o.intents) == 0 && len(o.unqueued) == 0 && len(o.queued) == 0 && len(o.awaitingIntent) == 0
}

func (o *logOutbox) addIntent(t *attempt) {
	addTask(o.intents, t.id)
	o.awaitingIntent = append(o.awaitingIntent, t)
}

// withdrawIntent forgets an attempt that waits for its intent. The intent may reach
// the log all the same.
func (o *logOutbox) withdrawIntent(t *attempt) {
	o.awaitingIntent = slices.DeleteFunc(o.awaitingIntent, func(other *attempt) bool { return other == t })
}

func (o *logOutbox) addOutcome(w *workerState, id task.ID, state task.State) {
	set := o.done
	if state != task.Done {
		set = o.failed
	}
	addTask(set, id)
	o.unqueued = append(o.unqueued, ack{w, id})
	o.unrecorded[id.Key()] = true
}

func addTask(sets map[task.ObjectID]*roaring.Bitmap, id task.ID) {
	if sets[id.Object] == nil {
		sets[id.Object] = roaring.New()
	}
	sets[id.Object].Add(uint32(id.Index))
}

// flushOutbox hands what has gathered to the journal, one batch at a time,
// and acts on what the log has taken in.
func (h *Holder) flushOutbox(now time.Time) {
	o := &h.outbox
	if h.journal.Applied(o.lastEntry) {
		h.settleBatch(now)
		h.queueBatch()
	}
}

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

func (h *Holder) queueBatch() {
	o := &h.outbox
	if h.journal.Full() {
		return
	}
	for id, set := range ordered.By(o.intents, task.ObjectID.Compare) {
		o.lastEntry = h.journal.Add(record.Entry{Intents: &record.Tasks{Object: id, Ranges: ledger.Ranges(set)}})
	}
	for id, set := range ordered.By(o.done, task.ObjectID.Compare) {
		o.lastEntry = h.journal.Add(record.Entry{Done: &record.Tasks{Object: id, Ranges: ledger.Ranges(set)}})
	}
	for id, set := range ordered.By(o.failed, task.ObjectID.Compare) {
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
