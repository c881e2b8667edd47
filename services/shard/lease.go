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

// dueSyncs handles leases that have expired and returns the Syncs that are due.
func (h *Holder) dueSyncs(now time.Time) []effect.Effect {
	needsSyncs := h.isHolder() || h.isSuspecting() || h.phase == Claiming
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
		if (needsSyncs || w.releasing) && w.isSyncDue(now) {
			effects = append(effects, h.startSync(now, w))
		}
	}
	return effects
}

// isSyncDue reports whether a Sync should be sent now: at the scheduled time, or earlier if
// starts, stops or acknowledgements are waiting.
func (w *workerState) isSyncDue(now time.Time) bool {
	if !now.Before(w.nextAt) {
		return true
	}
	return w.lastFailure == "" && w.holdsLease(now) && (len(w.starts) > 0 || len(w.acks) > 0 || len(w.stops) > 0 && now.Sub(w.sentAt) > minStopInterval)
}

// minStopInterval is the minimum time from one Sync to the next that is sent ahead of
// schedule only to request stops.
const minStopInterval = 100 * time.Millisecond

// startSync builds the next Sync with a worker and records it as in flight.
func (h *Holder) startSync(now time.Time, w *workerState) effect.Effect {
	w.seq++
	w.unansweredStarts = w.sentStarts
	s := worker.Sync{Holder: h.holderName(), Seq: w.seq, TTL: worker.MillisecondsOf(h.settings.Lease)}
	switch {
	case w.holdsLease(now):
		s.Epoch, s.Incarnation, s.Release = w.epoch, w.incarnation, w.releasing
		s.Starts, s.Acks = slices.Clone(w.starts), slices.Clone(w.acks)
		w.sentStarts = len(s.Starts)
		if w.adopted {
			s.KnownVersion = w.inventoryVersion
		}
		for _, stop := range ordered.MapFunc(w.stops, task.ID.Compare) {
			s.Stops = append(s.Stops, stop)
		}
	case w.unanswered > 0 || (!h.isHolder() && !h.isCaretaker(now)):
		// Without a TTL the worker reports but grants nothing. No lease is requested until
		// the worker answers again, so that its lease is certain to expire if it does not.
		s.TTL = 0
	}
	if s.TTL > 0 {
		w.unanswered++
	}
	w.inflight, w.sentAt = &s, now
	w.nextAt = now.Add(h.settings.RenewInterval - w.renewEarlyBy)
	return effect.SyncWorker{Worker: w.name, Address: w.address, Sync: s}
}

// holderName returns the name under which this process holds leases.
func (h *Holder) holderName() string {
	self := h.members.Self()
	return self.Box + "/" + self.Incarnation
}

// WorkerAnswered handles the end of a Sync, answered or failed. Answers to any other than
// the Sync in flight are ignored.
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

// handleGranted handles the answer of a worker that granted or renewed the lease and
// applied the Sync.
func (h *Holder) handleGranted(now time.Time, w *workerState, s *worker.Sync, e event.WorkerAnswered) {
	if s.Epoch == 0 {
		w.leaseSince = now
		h.postponeAbandoning(now, w)
		if h.isHolder() && h.mayHaveLaterHolder(now, w, e.Report) {
			h.startReadoption(now)
		}
	}
	w.lastEpoch = e.Report.Epoch
	w.epoch, w.incarnation = e.Report.Epoch, e.Report.Incarnation
	w.leaseUntil = e.SentAt.Add(h.settings.Lease - h.settings.ClockMargin)
	if !h.isHolder() || w.releasing {
		return
	}
	w.node.SetCapacity(e.Report.Capacity)
	w.starts, w.sentStarts = w.starts[min(len(s.Starts), len(w.starts)):], 0
	w.unansweredStarts = 0
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

// mayHaveLaterHolder reports whether a later holder may have had the worker's lease before the
// worker granted it to this one with the report r.
func (h *Holder) mayHaveLaterHolder(now time.Time, w *workerState, r worker.Report) bool {
	if w.lastEpoch == 0 {
		// There is no earlier lease to compare with, as for a worker that is new in the shard.
		return h.phase != Adopting && !h.excludesLaterHolder(now)
	}
	return r.Epoch != w.lastEpoch+1 || w.isOtherIncarnation(r)
}

// syncAtExpectedEnd moves the next Sync forward to the expected end of the first task to
// end, but no closer than a tenth of RenewInterval, so that the freed resources are used
// again soon.
func (h *Holder) syncAtExpectedEnd(now time.Time, w *workerState) {
	for _, t := range w.tasks {
		if t.object == nil || t.object.meanRunTime == 0 {
			continue
		}
		end := t.startedAt.Add(t.object.meanRunTime)
		if earliest := now.Add(h.settings.RenewInterval / 10); end.Before(earliest) {
			end = earliest
		}
		if end.Before(w.nextAt) {
			w.nextAt = end
		}
	}
}

// handleNotGranted handles the answer of a worker that did not apply the Sync. Its
// inventory still shows which of the starts sent before were applied, since a worker
// refuses Syncs older than the one that it has answered. A later incarnation does not show
// it: the attempts of these starts are kept, and count as lost once it grants a lease.
func (h *Holder) handleNotGranted(now time.Time, w *workerState, e event.WorkerAnswered) {
	reported := map[task.ID]bool{}
	for _, item := range e.Report.Tasks {
		reported[item.Task] = true
	}
	withdrawn := w.starts
	if w.isOtherIncarnation(e.Report) {
		withdrawn = w.starts[w.unansweredStarts:]
	}
	h.withdrawStarts(w, slices.DeleteFunc(withdrawn, func(s worker.Start) bool { return reported[s.Task] }), "the worker did not grant the lease")
	w.dropStarts()
	w.epoch, w.leaseUntil, w.releasing, w.adopted, w.inventoryVersion = 0, time.Time{}, false, false, 0
	w.nextAt = now
	if e.Report.Holder == h.holderName() {
		w.lastEpoch = e.Report.Epoch
	}
	if e.Report.Holder != "" && e.Report.Holder != h.holderName() {
		w.nextAt = now.Add(min(e.Report.ExpiresIn.Duration(), h.settings.RenewInterval))
	}
}

// isOtherIncarnation reports whether another incarnation of the worker has sent the report
// than the one that granted this holder's last lease.
func (w *workerState) isOtherIncarnation(r worker.Report) bool {
	return w.incarnation != "" && r.Incarnation != w.incarnation
}

// handleLapsedLease handles a lease that has expired because the worker did not answer.
// Starts not yet sent are withdrawn at once. Tasks on the worker may still run; they are
// abandoned once it is certain that they do not.
func (h *Holder) handleLapsedLease(now time.Time, w *workerState) {
	h.updateIndex(now, w)
	h.withdrawStarts(w, w.starts[w.sentStarts:], "the worker's lease expired before the task was started")
	w.starts = w.starts[:w.sentStarts]
	if stoppedAt := h.tasksStoppedAt(w); !now.Before(stoppedAt) && h.logEndReadAt.After(stoppedAt) && h.hasHeldLeaseSince(now, w) {
		h.abandonTasks(now, w, "the worker's lease has expired")
		w.epoch, w.leaseUntil = 0, time.Time{}
	}
}

// tasksStoppedAt returns when the worker has certainly stopped its tasks, provided that no
// other holder has renewed its lease. Each unanswered grant may have reached the worker as
// late as the end of the lease before it. That no other box is the holder is certain once a
// read of the log that began after that time has reached the end and still shows this
// process's claim.
func (h *Holder) tasksStoppedAt(w *workerState) time.Time {
	grants := time.Duration(w.unanswered + 1)
	return w.answeredAt.Add(grants*h.settings.Lease + h.settings.TaskLease + h.settings.ClockMargin)
}

// hasHeldLeaseSince reports whether this holder has held the lease of another worker
// continuously since w last answered. A caretaker keeps tasks running only while no worker
// of the shard has a lease from another holder, so there was no caretaker in that time.
func (h *Holder) hasHeldLeaseSince(now time.Time, w *workerState) bool {
	for _, other := range h.sortedWorkers {
		if other != w && other.holdsLease(now) && !other.leaseSince.After(w.answeredAt) {
			return true
		}
	}
	return false
}

// postponeAbandoning moves the answer times of unreachable workers forward when this holder
// acquires a new lease. While it had none, a caretaker may have kept their tasks running,
// and it may do so until it sees the new lease.
func (h *Holder) postponeAbandoning(now time.Time, granted *workerState) {
	answeredAt := now.Add(maxAnswerAgeRounds*h.settings.RenewInterval + h.settings.Lease)
	for _, w := range h.sortedWorkers {
		if w != granted && !w.holdsLease(now) && !w.answeredAt.IsZero() {
			w.answeredAt = answeredAt
		}
	}
}

// startReadoption returns to Adopting after another box has held the lease of a worker
// since this holder did, or may have had it because the worker has restarted and counts
// its leases anew. If that box is a later holder whose claim this process has not
// read yet, it acquires the lease of every worker before it starts a task that this holder
// might start too. So nothing is started until every worker has been adopted again and the
// log still shows this process's claim.
func (h *Holder) startReadoption(now time.Time) {
	h.phase, h.maybeSuperseded = Adopting, true
	for _, w := range h.sortedWorkers {
		w.adopted = w.adopted && w.holdsLease(now)
	}
}

// LogRead records that a read which began at the given time has reached the end of the log.
func (h *Holder) LogRead(began time.Time) { h.logEndReadAt = began }
