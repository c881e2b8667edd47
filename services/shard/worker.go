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

// workerState is the holder's state of one worker of the shard.
type workerState struct {
	name        string
	address     string
	node        *placement.Node
	listedState box.State
	drained     bool
	leaving     bool
	// epoch is the lease that this holder has, or 0; seq numbers the Syncs.
	epoch int64
	seq   int64
	// incarnation is the incarnation of the worker that granted the last lease, or "" if it
	// named none.
	incarnation string
	// leaseUntil is when the lease expires, with ClockMargin subtracted.
	leaseUntil time.Time
	// leaseSince is when the lease was first granted that has been renewed since.
	leaseSince time.Time
	adopted    bool
	inflight   *worker.Sync
	sentAt     time.Time
	nextAt     time.Time
	// answeredAt is when the worker last answered. unanswered counts the grants requested
	// since then, each of which may still reach the worker.
	answeredAt time.Time
	unanswered int
	// otherLeaseUntil is when another holder's lease expires according to the last answer,
	// or zero if there is none.
	otherLeaseUntil time.Time
	releasing       bool
	// inventoryVersion is the version of the last inventory that this holder has processed,
	// or 0 if it needs the whole inventory.
	inventoryVersion int64
	// lastEpoch is the last lease that this holder had, or 0 if it had none.
	lastEpoch int64
	// renewEarlyBy is subtracted from the renewal interval. It differs between workers, so
	// that renewals spread out after a takeover.
	renewEarlyBy time.Duration
	lastFailure  string

	starts []worker.Start
	// sentStarts is how many of starts were in the last Sync and are not confirmed yet.
	sentStarts int
	// unansweredStarts is how many of starts were in Syncs without an answer before the last one,
	// so that the worker may have carried them out.
	unansweredStarts int
	stops            map[task.ID]worker.Stop
	acks             []task.ID
	tasks            map[task.ID]*attempt
	// ended holds tasks whose outcomes have been handled, until the worker has received the
	// acknowledgement.
	ended map[task.ID]bool

	// former is set if the worker is no longer in the files in force, and forgetting once
	// an entry that removes it from the log's state has been queued.
	former, forgetting bool
	// absentSince is when the platform's list was first found not to name the worker, or
	// zero if it does.
	absentSince time.Time

	// failureStreak lists different objects of which tasks have failed on the worker since
	// its last success or quarantine.
	failureStreak    []task.ObjectID
	quarantinedUntil time.Time
	quarantineCount  int
}

// holdsLease reports whether this holder certainly has the worker's lease.
func (w *workerState) holdsLease(now time.Time) bool { return w.epoch != 0 && now.Before(w.leaseUntil) }

// requestRelease gives the lease back with the next Sync. The tasks on the worker keep
// running and are adopted by the next holder.
func (w *workerState) requestRelease(now time.Time) {
	if w.holdsLease(now) && !w.releasing {
		w.releasing = true
		w.nextAt = now
	}
}

// reset drops the state of the worker's tasks.
func (w *workerState) reset() {
	w.adopted, w.inventoryVersion, w.forgetting, w.lastEpoch = false, 0, false, 0
	w.node.Clear()
	w.dropStarts()
	w.acks = nil
	w.stops, w.tasks, w.ended = map[task.ID]worker.Stop{}, map[task.ID]*attempt{}, map[task.ID]bool{}
}

// dropStarts drops all starts that wait to be sent or answered.
func (w *workerState) dropStarts() { w.starts, w.sentStarts, w.unansweredStarts = nil, 0, 0 }

// SetWorkers updates the workers to the files in force and the platform's list. Only the
// files determine which workers the shard has, because the log orders the files relative to
// the claims: so a holder includes every worker that any earlier holder could have used.
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

// addWorker adds a worker of the rack.
func (h *Holder) addWorker(name string, rack spec.Rack) *workerState {
	w := &workerState{
		name: name, node: placement.NewNode(name, rack.Name, rack.Each),
		stops: map[task.ID]worker.Stop{}, tasks: map[task.ID]*attempt{}, ended: map[task.ID]bool{},
	}
	w.renewEarlyBy = time.Duration(xxhash.Sum64String(name) % uint64(max(h.settings.RenewInterval/8, 1)))
	h.workers[name] = w
	return w
}

// removeWorker removes a worker that is neither in the files nor in the list of former
// workers. A worker that may still run tasks is drained and kept until they have ended.
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

// refreshWorker updates a worker's listing and whether it is drained, and abandons its
// tasks if it is dead.
func (h *Holder) refreshWorker(now time.Time, w *workerState) {
	h.updateListing(now, w)
	w.drained = w.former || h.ledger.Draining(w.name)
	h.updateIndex(now, w)
	if w.listedState == box.Dead && len(w.tasks) > 0 {
		h.abandonTasks(now, w, "the worker is dead")
	}
}

// updateListing updates a worker's address and state from the platform's list. A worker
// that has been missing from the list for GoneAfter counts as dead, because the platform no
// longer has it.
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

// forgetDeadFormerWorkers queues entries that remove former workers from the log's state
// once they are dead.
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

// updateIndex adds the worker to the placement index if it can be given tasks, and removes
// it otherwise.
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

// canStart reports whether tasks may be started on the worker.
func (h *Holder) canStart(now time.Time, w *workerState) bool {
	return w.adopted && w.holdsLease(now) && !w.releasing && !w.drained && !w.leaving &&
		(w.listedState == box.Live || w.listedState == "") && !now.Before(w.quarantinedUntil)
}

// allAdopted reports whether no worker can run a task that is missing from this holder's
// state. An unreachable worker is left out only if the platform confirms that it is dead,
// because the previous holder may still reach it.
func (h *Holder) allAdopted() bool {
	for _, w := range h.workers {
		if !w.adopted && w.listedState != box.Dead {
			return false
		}
	}
	return true
}
