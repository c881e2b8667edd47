// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
)

// entryReturnTime is how long after the log's recovery entries that expired during its outage may
// still be missing although their workers are alive. The users' protocol gives about 2 s.
const entryReturnTime = 2200 * time.Millisecond

// handleWorkersRead handles a change of the platform's list of workers. A worker that is no longer
// listed keeps its tasks until its lease expires.
func (h *holderState) handleWorkersRead(now time.Time, l order.Listing) {
	if l.Complete {
		h.markMissing(now, l)
	}
	for _, o := range l.Present {
		h.handleWorkerListed(now, o)
	}
	h.reportForeign(l)
	for _, id := range l.Removed {
		if w := h.workers[id]; w != nil {
			h.handleEntryMissing(now, w)
		}
	}
	h.planDue = true
}

// reportForeign logs and counts entries that do not describe a worker. A known worker of that name
// keeps its tasks.
func (h *holderState) reportForeign(l order.Listing) {
	for _, r := range h.foreignEntries.Update(l) {
		h.core.logEvent("entry does not describe a worker", logField("entry", r.Entry), logField("reason", r.Reason), logField("known", h.workers[r.Entry] != nil))
		h.core.emit(exchange.EntryRefused{})
	}
}

// addPools adds the pools that a configuration names. Workers of other pools are not contacted.
func (h *holderState) addPools(config job.Config) {
	for pool := range config.AdmissionChecked {
		h.knownPools[pool] = true
	}
	for _, q := range config.Queues {
		h.knownPools[q.Pool] = true
	}
}

// markMissing handles the workers that a full list does not name.
func (h *holderState) markMissing(now time.Time, l order.Listing) {
	present := map[string]bool{}
	for _, o := range l.Present {
		present[o.Name] = true
	}
	for id, w := range h.workers {
		if !present[id] {
			h.handleEntryMissing(now, w)
		}
	}
}

// handleEntryMissing handles a worker that is no longer listed. Shortly after an outage of the log
// its entry may only have expired, so the worker stays in use as long as it answers.
func (h *holderState) handleEntryMissing(now time.Time, w *worker) {
	w.incarnations.RecordEntryRemoved()
	w.presence.RecordMissing(now, h.entriesMayReturn(now))
}

// entriesMayReturn reports whether entries may be missing only because of an outage of the log.
func (h *holderState) entriesMayReturn(now time.Time) bool {
	return !h.core.authority.IsLogReachable() || now.Sub(h.core.logRecoveredAt) < entryReturnTime
}

// dropMissing stops using the workers whose entries have not returned.
func (h *holderState) dropMissing(now time.Time) {
	if h.entriesMayReturn(now) {
		return
	}
	for _, w := range h.workersByName() {
		if w.presence.UnlistMissing() {
			h.planDue = true
		}
	}
}

// handleOtherIncarnationListed handles an entry of another incarnation of a worker, which may be
// earlier or later than the known one. The answer to a renewal shows which of them is running.
func (h *holderState) handleOtherIncarnationListed(now time.Time, w *worker, o order.Worker) {
	if !w.incarnations.HasCandidate() {
		return
	}
	h.core.logEvent("another incarnation of the worker is listed", logField("worker", w.Incarnation.String()), logField("life", o.Incarnation.String()))
	if h.phase != phaseActive || w.pendingRenewal != 0 && !w.incarnations.PrecedesCandidate(w.pendingRenewal) {
		return
	}
	w.incarnations.RaiseFence(h.fence(w))
	if w.pendingRenewal != 0 {
		w.overdue[w.pendingRenewal] = w.answerDue
		w.pendingRenewal = 0
	}
	w.renewAt = now
	h.renew(now, w)
}

// handleWorkerListed handles the platform's entry of one worker.
func (h *holderState) handleWorkerListed(now time.Time, o order.Worker) {
	w := h.workers[o.Name]
	if w == nil {
		w = h.addWorker(now, o)
		h.core.logEvent("worker listed", logField("worker", o.Incarnation.String()), logField("address", o.Address), logField("pool", o.Pool), logField("domain", o.Domain))
	}
	if !w.incarnations.RecordEntry(w.Incarnation, o, h.renewalsSent) {
		h.handleOtherIncarnationListed(now, w, o)
		return
	}
	h.setBirthTime(now, w, o.Incarnation)
	o.Incarnation = w.Incarnation
	if o.Leaving && !w.Leaving {
		h.core.logEvent("worker is leaving", logField("worker", o.Incarnation.String()), logField("remaining", o.Remaining.String()), logField("tasks", len(w.attempts)))
	}
	w.presence.RecordEntry(o.Leaving)
	used := w.Capacity.Minus(w.free)
	w.Worker = o
	w.free = o.Capacity.Minus(used)
	if h.phase == phaseActive {
		h.renew(now, w)
	}
}
