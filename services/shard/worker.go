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
	name        string
	address     string
	node        *placement.Node
	listedState box.State
	drained     bool
	leaving     bool
	epoch       int64
	seq         int64
	leaseUntil  time.Time
	// leaseSince is when the lease was first granted that has been renewed since.
	leaseSince time.Time
	adopted    bool
	inflight   *worker.Sync
	sentAt     time.Time
	nextAt     time.Time
	// answeredAt is when the worker last answered; unanswered counts the grants
	// asked for since, any of which the worker may still take.
	answeredAt time.Time
	unanswered int
	// foreign is how long another holder's lease lasts, by the last answer.
	otherLeaseUntil time.Time
	releasing       bool
	// seen is the version of the inventory that this holder has taken, or 0 if it
	// needs all of it.
	inventoryVersion int64
	// lastEpoch is the last lease that this holder had, or 0 if it had none.
	lastEpoch int64
	// early is how much sooner than the rest this worker's lease is renewed, so
	// that renewals spread out after a takeover.
	renewEarlyBy time.Duration
	lastFailure  string

	starts []worker.Start
	// sent is how many of starts have been sent and not been answered for.
	sentStarts int
	stops      map[task.ID]worker.Stop
	acks       []task.ID
	tasks      map[task.ID]*attempt
	// ended holds outcomes that wait for the log before they are forgotten.
	ended map[task.ID]bool

	// former says that no file names the worker any more; forgetting that the log
	// was asked to forget it.
	former, forgetting bool
	// absentSince is since when the platform's list has not named it.
	absentSince time.Time

	failureStreak    []task.ObjectID
	quarantinedUntil time.Time
	quarantineCount  int
}

// holdsLease says whether the worker's lease is surely this holder's.
func (w *workerState) holdsLease(now time.Time) bool { return w.epoch != 0 && now.Before(w.leaseUntil) }

// requestRelease gives the lease back with the next Sync. What the worker runs goes on
// and is the next holder's.
func (w *workerState) requestRelease(now time.Time) {
	if w.holdsLease(now) && !w.releasing {
		w.releasing = true
		w.nextAt = now
	}
}

// reset drops all that is known of what the worker runs.
func (w *workerState) reset() {
	w.adopted, w.inventoryVersion, w.forgetting, w.lastEpoch = false, 0, false, 0
	w.node.Clear()
	w.starts, w.sentStarts, w.acks = nil, 0, nil
	w.stops, w.tasks, w.ended = map[task.ID]worker.Stop{}, map[task.ID]*attempt{}, map[task.ID]bool{}
}

// SetWorkers takes the shard's racks from the files in force and the platform's
// list. The files alone say which workers there are, because they are what the
// log orders beside the claims: a holder knows every worker that any earlier
// holder could have used.
func (h *Holder) SetWorkers(now time.Time) {
	h.unwantedScanDue = true
	seen := map[string]bool{}
	for _, rack := range h.ledger.Racks(h.id) {
		for _, name := range rack.Workers {
			seen[name] = true
			w := h.workers[name]
			if w == nil {
				w = h.addWorker(name, rack)
			}
			w.former, w.forgetting = false, false
			h.refreshWorker(now, w)
		}
	}
	for name, rack := range ordered.Map(h.ledger.FormerWorkers(h.id)) {
		seen[name] = true
		w := h.workers[name]
		if w == nil {
			w = h.addWorker(name, spec.Rack{Name: rack})
		}
		w.former = true
		h.refreshWorker(now, w)
	}
	for _, w := range ordered.Map(h.workers) {
		if !seen[w.name] {
			h.removeWorker(now, w)
		}
	}
	h.sortedWorkers = h.sortedWorkers[:0]
	for _, w := range ordered.Map(h.workers) {
		h.sortedWorkers = append(h.sortedWorkers, w)
	}
}

func (h *Holder) addWorker(name string, rack spec.Rack) *workerState {
	w := &workerState{
		name: name, node: placement.NewNode(name, rack.Name, rack.Each),
		stops: map[task.ID]worker.Stop{}, tasks: map[task.ID]*attempt{}, ended: map[task.ID]bool{},
	}
	w.renewEarlyBy = time.Duration(xxhash.Sum64String(name) % uint64(max(h.settings.RenewInterval/8, 1)))
	h.workers[name] = w
	return w
}

// removeWorker forgets a worker that no file names any more. One that may still
// run tasks is kept, drained, until they have ended.
func (h *Holder) removeWorker(now time.Time, w *workerState) {
	w.drained = true
	h.updateIndex(now, w)
	if len(w.tasks) == 0 && len(w.ended) == 0 && w.inflight == nil {
		if w.holdsLease(now) && !w.releasing {
			w.requestRelease(now)
			return
		}
		delete(h.workers, w.name)
	}
}

func (h *Holder) refreshWorker(now time.Time, w *workerState) {
	h.updateListing(now, w)
	w.drained = w.former || h.ledger.Draining(w.name)
	h.updateIndex(now, w)
	if w.listedState == box.Dead && len(w.tasks) > 0 {
		h.abandonTasks(now, w, "the worker is dead")
	}
}

// updateListing takes what the platform's list says of a worker. One that the list
// has not named for long counts as dead: the platform no longer has it.
func (h *Holder) updateListing(now time.Time, w *workerState) {
	b, ok := h.members.Box(w.name)
	switch {
	case ok:
		w.address, w.listedState, w.absentSince = b.Address, b.State, time.Time{}
	case h.members.ListReadAt().IsZero():
	case w.absentSince.IsZero():
		w.absentSince = now
	case now.Sub(w.absentSince) >= h.settings.GoneAfter:
		w.listedState = box.Dead
	}
}

// forgetDeadFormerWorkers has the log forget workers that no file names and that are dead.
func (h *Holder) forgetDeadFormerWorkers() {
	if h.phase != Active {
		return
	}
	for _, w := range h.sortedWorkers {
		if w.former && !w.forgetting && w.listedState == box.Dead && len(w.tasks) == 0 {
			w.forgetting = true
			h.journal.Add(record.Entry{Forget: &record.Forget{Shard: h.id, Claim: h.claimRevision, Workers: []string{w.name}}})
		}
	}
}

// updateIndex puts the worker in the index or takes it out, by whether it may be
// given tasks.
func (h *Holder) updateIndex(now time.Time, w *workerState) {
	h.plainIndex.Remove(w.node)
	h.acceleratorIndex.Remove(w.node)
	if !h.canStart(now, w) {
		return
	}
	if w.node.Capacity().Accelerators > 0 {
		h.acceleratorIndex.Add(w.node)
		return
	}
	h.plainIndex.Add(w.node)
}

func (h *Holder) canStart(now time.Time, w *workerState) bool {
	return w.adopted && w.holdsLease(now) && !w.releasing && !w.drained && !w.leaving &&
		(w.listedState == box.Live || w.listedState == "") && !now.Before(w.quarantinedUntil)
}

// allAdopted says whether no worker is left that could run a task unknown to
// this holder. A worker that cannot be reached is left out only if the platform
// has made sure that it is dead: the earlier holder may still reach it.
func (h *Holder) allAdopted() bool {
	for _, w := range h.workers {
		if !w.adopted && w.listedState != box.Dead {
			return false
		}
	}
	return true
}
