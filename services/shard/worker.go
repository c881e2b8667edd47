// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
	"time"

	"saddlevane/models/box"
	"saddlevane/models/record"
	"saddlevane/models/spec"
	"saddlevane/models/task"
	"saddlevane/models/worker"
	"saddlevane/modules/ordered"
	"saddlevane/services/placement"

	"github.com/cespare/xxhash/v2"
)

// workerState is one worker of the shard as the holder knows it.
type workerState struct {
	name    string
	address string
	node    *placement.Node
	listed  box.State
	drained bool
	leaving bool
	epoch   int64
	seq     int64
	until   time.Time
	// heldSince is when the lease was first granted that has been renewed since.
	heldSince time.Time
	adopted   bool
	inflight  *worker.Sync
	sentAt    time.Time
	nextAt    time.Time
	// answeredAt is when the worker last answered; unanswered counts the grants
	// asked for since, any of which the worker may still take.
	answeredAt time.Time
	unanswered int
	// foreign is how long another holder's lease lasts, by the last answer.
	foreign   time.Time
	releasing bool
	// seen is the version of the inventory that this holder has taken, or 0 if it
	// needs all of it.
	seen int64
	// lastEpoch is the last lease that this holder had, or 0 if it had none.
	lastEpoch int64
	// early is how much sooner than the rest this worker's lease is renewed, so
	// that renewals spread out after a takeover.
	early   time.Duration
	failing string

	starts []worker.Start
	// sent is how many of starts have been sent and not been answered for.
	sent  int
	stops map[task.ID]worker.Stop
	acks  []task.ID
	tasks map[task.ID]*running
	// ended holds outcomes that wait for the log before they are forgotten.
	ended map[task.ID]bool

	// former says that no file names the worker any more; forgetting that the log
	// was asked to forget it.
	former, forgetting bool
	// absentSince is since when the platform's list has not named it.
	absentSince time.Time

	streak      []task.ObjectID
	quarantined time.Time
	penalties   int
}

// held says whether the worker's lease is surely this holder's.
func (w *workerState) held(now time.Time) bool { return w.epoch != 0 && now.Before(w.until) }

// release gives the lease back with the next Sync. What the worker runs goes on
// and is the next holder's.
func (w *workerState) release(now time.Time) {
	if w.held(now) && !w.releasing {
		w.releasing = true
		w.nextAt = now
	}
}

// forget drops all that is known of what the worker runs.
func (w *workerState) forget() {
	w.adopted, w.seen, w.forgetting, w.lastEpoch = false, 0, false, 0
	w.node.Clear()
	w.starts, w.sent, w.acks = nil, 0, nil
	w.stops, w.tasks, w.ended = map[task.ID]worker.Stop{}, map[task.ID]*running{}, map[task.ID]bool{}
}

// SetWorkers takes the shard's racks from the files in force and the platform's
// list. The files alone say which workers there are, because they are what the
// log orders beside the claims: a holder knows every worker that any earlier
// holder could have used.
func (h *Holder) SetWorkers(now time.Time) {
	h.look = true
	seen := map[string]bool{}
	for _, rack := range h.ledger.Racks(h.id) {
		for _, name := range rack.Workers {
			seen[name] = true
			w := h.workers[name]
			if w == nil {
				w = h.newWorker(name, rack)
			}
			w.former, w.forgetting = false, false
			h.refresh(now, w)
		}
	}
	for name, rack := range ordered.Map(h.ledger.Former(h.id)) {
		seen[name] = true
		w := h.workers[name]
		if w == nil {
			w = h.newWorker(name, spec.Rack{Name: rack})
		}
		w.former = true
		h.refresh(now, w)
	}
	for _, w := range ordered.Map(h.workers) {
		if !seen[w.name] {
			h.dropWorker(now, w)
		}
	}
	h.order = h.order[:0]
	for _, w := range ordered.Map(h.workers) {
		h.order = append(h.order, w)
	}
}

func (h *Holder) newWorker(name string, rack spec.Rack) *workerState {
	w := &workerState{
		name: name, node: placement.NewNode(name, rack.Name, rack.Each),
		stops: map[task.ID]worker.Stop{}, tasks: map[task.ID]*running{}, ended: map[task.ID]bool{},
	}
	w.early = time.Duration(xxhash.Sum64String(name) % uint64(max(h.settings.Renew/8, 1)))
	h.workers[name] = w
	return w
}

// dropWorker forgets a worker that no file names any more. One that may still
// run tasks is kept, drained, until they have ended.
func (h *Holder) dropWorker(now time.Time, w *workerState) {
	w.drained = true
	h.index(now, w)
	if len(w.tasks) == 0 && len(w.ended) == 0 && w.inflight == nil {
		if w.held(now) && !w.releasing {
			w.release(now)
			return
		}
		delete(h.workers, w.name)
	}
}

func (h *Holder) refresh(now time.Time, w *workerState) {
	h.takeListed(now, w)
	w.drained = w.former || h.ledger.Draining(w.name)
	h.index(now, w)
	if w.listed == box.Dead && len(w.tasks) > 0 {
		h.abandon(now, w, "the worker is dead")
	}
}

// takeListed takes what the platform's list says of a worker. One that the list
// has not named for long counts as dead: the platform no longer has it.
func (h *Holder) takeListed(now time.Time, w *workerState) {
	b, ok := h.members.Box(w.name)
	switch {
	case ok:
		w.address, w.listed, w.absentSince = b.Address, b.State, time.Time{}
	case h.members.ListedAt().IsZero():
	case w.absentSince.IsZero():
		w.absentSince = now
	case now.Sub(w.absentSince) >= h.settings.GoneAfter:
		w.listed = box.Dead
	}
}

// forgetFormer has the log forget workers that no file names and that are dead.
func (h *Holder) forgetFormer() {
	if h.phase != Active {
		return
	}
	for _, w := range h.order {
		if w.former && !w.forgetting && w.listed == box.Dead && len(w.tasks) == 0 {
			w.forgetting = true
			h.journal.Add(record.Entry{Forget: &record.Forget{Shard: h.id, Claim: h.claim, Workers: []string{w.name}}})
		}
	}
}

// index puts the worker in the index or takes it out, by whether it may be
// given tasks.
func (h *Holder) index(now time.Time, w *workerState) {
	h.plain.Remove(w.node)
	h.accelerated.Remove(w.node)
	if !h.mayStart(now, w) {
		return
	}
	if w.node.Capacity().Accelerators > 0 {
		h.accelerated.Add(w.node)
		return
	}
	h.plain.Add(w.node)
}

func (h *Holder) mayStart(now time.Time, w *workerState) bool {
	return w.adopted && w.held(now) && !w.releasing && !w.drained && !w.leaving &&
		(w.listed == box.Live || w.listed == "") && !now.Before(w.quarantined)
}

// allAdopted says whether no worker is left that could run a task unknown to
// this holder. A worker that cannot be reached is left out only if the platform
// has made sure that it is dead: the earlier holder may still reach it.
func (h *Holder) allAdopted() bool {
	for _, w := range h.workers {
		if !w.adopted && w.listed != box.Dead {
			return false
		}
	}
	return true
}
