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
	ticket journal.EntryNumber
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
