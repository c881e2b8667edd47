// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package shard

import (
	"slices"
	"time"

	"saddlevane/models/box"
	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/task"
	"saddlevane/models/worker"
	"saddlevane/modules/ordered"
)

// dueSyncs returns the Syncs that are due.
func (h *Holder) dueSyncs(now time.Time) []effect.Effect {
	care := h.isHolder() || h.isSuspecting() || h.phase == Claiming
	var effects []effect.Effect
	for _, w := range h.sortedWorkers {
		if w.leaseUntil.Before(now) && w.adopted && !w.leaseUntil.IsZero() {
			h.handleLapsedLease(now, w)
		}
		w.releasing = w.releasing && w.holdsLease(now)
		if w.inflight != nil || w.address == "" || w.listedState == box.Dead {
			continue
		}
		if h.members.Leaving() && !w.holdsLease(now) {
			continue
		}
		if (care || w.releasing) && w.isSyncDue(now) {
			effects = append(effects, h.startSync(now, w))
		}
	}
	return effects
}

func (w *workerState) isSyncDue(now time.Time) bool {
	if !now.Before(w.nextAt) {
		return true
	}
	return w.lastFailure == "" && w.holdsLease(now) && (len(w.starts) > 0 || len(w.acks) > 0 || len(w.stops) > 0 && now.Sub(w.sentAt) > minStopInterval)
}

// minStopInterval is the least time between two Syncs that ask to stop tasks.
const minStopInterval = 100 * time.Millisecond

func (h *Holder) startSync(now time.Time, w *workerState) effect.Effect {
	w.seq++
	s := worker.Sync{Holder: h.holderName(), Seq: w.seq, TTL: worker.MillisecondsOf(h.settings.Lease)}
	switch {
	case w.holdsLease(now):
		s.Epoch, s.Release = w.epoch, w.releasing
		s.Starts, s.Acks = slices.Clone(w.starts), slices.Clone(w.acks)
		w.sentStarts = len(s.Starts)
		if w.adopted {
			s.KnownVersion = w.inventoryVersion
		}
		for _, stop := range ordered.By(w.stops, task.ID.Compare) {
			s.Stops = append(s.Stops, stop)
		}
	case w.unanswered > 0 || (!h.isHolder() && !h.isCaretaker(now)):
		// Nothing is asked for until the worker answers again, so that its lease
		// surely lapses if it does not.
		s.TTL = 0
	}
	if s.TTL > 0 {
		w.unanswered++
	}
	w.inflight, w.sentAt = &s, now
	w.nextAt = now.Add(h.settings.RenewInterval - w.renewEarlyBy)
	return effect.SyncWorker{Worker: w.name, Address: w.address, Sync: s}
}

// holderName is what workers grant leases to.
func (h *Holder) holderName() string {
	self := h.members.Self()
	return self.Box + "/" + self.Incarnation
}

// WorkerAnswered takes the end of a Sync.
func (h *Holder) WorkerAnswered(now time.Time, e event.WorkerAnswered) {
	w, ok := h.workers[e.Worker]
	if !ok || w.inflight == nil || w.inflight.Seq != e.Seq {
		return
	}
	s := w.inflight
	w.inflight = nil
	w.lastFailure = e.Failure
	if e.Failure != "" {
		return
	}
	w.answeredAt, w.unanswered = now, 0
	w.leaving = e.Report.Leaving
	h.recordReportedHolder(now, w, e.Report)
	switch {
	case !e.Report.Granted:
		h.handleNotGranted(now, w, e)
	case s.Release:
		w.epoch, w.leaseUntil, w.releasing, w.adopted = 0, time.Time{}, false, false
	default:
		h.handleGranted(now, w, s, e)
	}
	h.updateIndex(now, w)
}

func (h *Holder) handleGranted(now time.Time, w *workerState, s *worker.Sync, e event.WorkerAnswered) {
	if s.Epoch == 0 {
		w.leaseSince = now
		h.postponeAbandoning(now, w)
		if h.isHolder() && w.lastEpoch != 0 && e.Report.Epoch != w.lastEpoch+1 {
			h.startReadoption(now)
		}
	}
	w.lastEpoch = e.Report.Epoch
	w.epoch = e.Report.Epoch
	w.leaseUntil = e.SentAt.Add(h.settings.Lease - h.settings.ClockMargin)
	if !h.isHolder() || w.releasing {
		return
	}
	w.node.SetCapacity(e.Report.Capacity)
	w.starts, w.sentStarts = w.starts[min(len(s.Starts), len(w.starts)):], 0
	w.acks = w.acks[min(len(s.Acks), len(w.acks)):]
	for _, id := range s.Acks {
		delete(w.ended, id)
	}
	if !w.adopted {
		w.adopted = true
		h.counts.Adoptions++
	}
	if !e.Report.Unchanged {
		w.inventoryVersion = e.Report.Version
		h.reconcile(now, w, s, e.Report)
	}
	h.syncAtExpectedEnd(now, w)
}

// syncAtExpectedEnd brings the next Sync forward to when a task is likely to end, so
// that its place is filled again soon.
func (h *Holder) syncAtExpectedEnd(now time.Time, w *workerState) {
	for _, t := range w.tasks {
		if t.object == nil || t.object.meanRunTime == 0 {
			continue
		}
		end := t.startedAt.Add(t.object.meanRunTime)
		if soon := now.Add(h.settings.RenewInterval / 10); end.Before(soon) {
			end = soon
		}
		if end.Before(w.nextAt) {
			w.nextAt = end
		}
	}
}

// handleNotGranted takes the answer of a worker that applied nothing. Its inventory
// still tells which of the starts sent before had been applied, since it refuses
// Syncs that are older than the one it answered.
func (h *Holder) handleNotGranted(now time.Time, w *workerState, e event.WorkerAnswered) {
	has := map[task.ID]bool{}
	for _, item := range e.Report.Tasks {
		has[item.Task] = true
	}
	h.withdrawStarts(w, slices.DeleteFunc(w.starts, func(s worker.Start) bool { return has[s.Task] }), "the worker did not grant the lease")
	w.starts, w.sentStarts = nil, 0
	w.epoch, w.leaseUntil, w.releasing, w.adopted, w.inventoryVersion = 0, time.Time{}, false, false, 0
	w.nextAt = now
	if e.Report.Holder == h.holderName() {
		w.lastEpoch = e.Report.Epoch
	}
	if e.Report.Holder != "" && e.Report.Holder != h.holderName() {
		w.nextAt = now.Add(min(e.Report.ExpiresIn.Duration(), h.settings.RenewInterval))
	}
}

// handleLapsedLease takes note that a lease has run out while the worker did not answer.
// Its tasks may still run; once they surely do not, they are given up.
func (h *Holder) handleLapsedLease(now time.Time, w *workerState) {
	h.updateIndex(now, w)
	h.withdrawStarts(w, w.starts[w.sentStarts:], "the worker's lease lapsed")
	w.starts = w.starts[:w.sentStarts]
	if gone := h.tasksStoppedAt(w); !now.Before(gone) && h.logEndReadAt.After(gone) && h.hasHeldLeaseSince(now, w) {
		h.abandonTasks(now, w, "the worker's lease has lapsed")
		w.epoch, w.leaseUntil = 0, time.Time{}
	}
}

// tasksStoppedAt is when the worker has surely stopped its tasks, if nobody else has kept
// them. Each grant that was not answered may have been taken as late as the end
// of the one before it. That no other box has become the holder is known once the
// log has been read to its end after that time and still names this one.
func (h *Holder) tasksStoppedAt(w *workerState) time.Time {
	grants := time.Duration(w.unanswered + 1)
	return w.answeredAt.Add(grants*h.settings.Lease + h.settings.TaskLease + h.settings.ClockMargin)
}

// hasHeldLeaseSince says whether this holder has had the lease of another worker ever
// since w answered. A caretaker keeps tasks only while it sees no worker of the
// shard in other hands, so there was none.
func (h *Holder) hasHeldLeaseSince(now time.Time, w *workerState) bool {
	for _, other := range h.sortedWorkers {
		if other != w && other.holdsLease(now) && !other.leaseSince.After(w.answeredAt) {
			return true
		}
	}
	return false
}

// postponeAbandoning takes note that this holder has a lease anew. While it had none,
// a caretaker may have kept the tasks of workers that this holder cannot reach,
// and it may do so until it sees the new lease.
func (h *Holder) postponeAbandoning(now time.Time, granted *workerState) {
	seen := now.Add(maxAnswerAgeRounds*h.settings.RenewInterval + h.settings.Lease)
	for _, w := range h.sortedWorkers {
		if w != granted && !w.holdsLease(now) && !w.answeredAt.IsZero() {
			w.answeredAt = seen
		}
	}
}

// startReadoption takes note that another box has had the lease of a worker since this
// holder had it. A later holder, of which this one has not read yet, takes every
// worker's lease before it starts what this one might start. So nothing is started
// until every worker has been adopted anew and the log still names this holder.
func (h *Holder) startReadoption(now time.Time) {
	h.phase, h.maybeSuperseded = Adopting, true
	for _, w := range h.sortedWorkers {
		w.adopted = w.adopted && w.holdsLease(now)
	}
}

// LogRead takes note that the log was read to its end by a read that began at
// the given time.
func (h *Holder) LogRead(began time.Time) { h.logEndReadAt = began }
