// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
)

// entryReturnTime is how long after the log's return entries that lapsed with it may
// still be missing although their workers live (the users' protocol: about 2 s).
const entryReturnTime = 2200 * time.Millisecond

// handleWorkersRead takes a change of the platform's list. A worker that is no longer
// listed keeps its tasks until its lease has run out.
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

// reportForeign tells of entries that name no worker. A worker of that name keeps its tasks.
func (h *holderState) reportForeign(l order.Listing) {
	for _, r := range h.foreignEntries.Update(l) {
		h.core.logEvent("an entry names no worker", logField("entry", r.Entry), logField("reason", r.Reason), logField("known", h.workers[r.Entry] != nil))
		h.core.emit(exchange.EntryRefused{})
	}
}

// addPools notes the pools that a configuration names: workers of others are left alone.
func (h *holderState) addPools(config job.Config) {
	for pool := range config.AdmissionChecked {
		h.knownPools[pool] = true
	}
	for _, q := range config.Queues {
		h.knownPools[q.Pool] = true
	}
}

// markMissing acts on the workers that a whole list does not name.
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

// handleEntryMissing acts on a worker that is no longer listed. Shortly after the log was
// away its entry may only have lapsed, and it is used on as long as it answers.
func (h *holderState) handleEntryMissing(now time.Time, w *worker) {
	w.incarnations.RecordEntryRemoved()
	w.presence.RecordMissing(now, h.entriesMayReturn(now))
}

// entriesMayReturn says whether entries may be missing that will be back.
func (h *holderState) entriesMayReturn(now time.Time) bool {
	return !h.core.authority.Steady() || now.Sub(h.core.logRecoveredAt) < entryReturnTime
}

// dropMissing gives up the workers whose entries have not come back.
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

// handleOtherIncarnationListed takes that the platform lists another life of a worker, which may be an earlier
// one or a later one: the worker tells.
func (h *holderState) handleOtherIncarnationListed(now time.Time, w *worker, o order.Worker) {
	if !w.incarnations.HasCandidate() {
		return
	}
	h.core.logEvent("another life of a worker is listed", logField("worker", w.Incarnation.String()), logField("life", o.Incarnation.String()))
	if h.phase != phaseActive || w.pendingRenewal != 0 && !w.incarnations.PrecedesCandidate(w.pendingRenewal) {
		return
	}
	w.incarnations.RaiseFence(h.renewalsSent)
	if w.pendingRenewal != 0 {
		w.overdue[w.pendingRenewal] = w.answerDue
		w.pendingRenewal = 0
	}
	w.renewAt = now
	h.renew(now, w)
}

// handleWorkerListed takes what the platform says of one worker.
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
	h.setBirthTime(w, o.Incarnation)
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
