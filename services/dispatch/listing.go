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

// workersRead takes a change of the platform's list. A worker that is no longer
// listed keeps its tasks until its lease has run out.
func (h *holding) workersRead(now time.Time, l order.Listing) {
	if l.Whole {
		h.markMissing(now, l)
	}
	for _, o := range l.Present {
		h.workerListed(now, o)
	}
	h.reportForeign(l)
	for _, id := range l.Gone {
		if w := h.workers[id]; w != nil {
			h.entryMissing(now, w)
		}
	}
	h.planDue = true
}

// reportForeign tells of entries that name no worker. A worker of that name keeps its tasks.
func (h *holding) reportForeign(l order.Listing) {
	for _, r := range h.foreign.News(l) {
		h.core.note("an entry names no worker", field("entry", r.Entry), field("reason", r.Why), field("known", h.workers[r.Entry] != nil))
		h.core.do(exchange.EntryRefused{})
	}
}

// addPools notes the pools that a configuration names: workers of others are left alone.
func (h *holding) addPools(config job.Config) {
	for pool := range config.Guarded {
		h.pools[pool] = true
	}
	for _, q := range config.Queues {
		h.pools[q.Pool] = true
	}
}

// markMissing acts on the workers that a whole list does not name.
func (h *holding) markMissing(now time.Time, l order.Listing) {
	present := map[string]bool{}
	for _, o := range l.Present {
		present[o.Name] = true
	}
	for id, w := range h.workers {
		if !present[id] {
			h.entryMissing(now, w)
		}
	}
}

// entryMissing acts on a worker that is no longer listed. Shortly after the log was
// away its entry may only have lapsed, and it is used on as long as it answers.
func (h *holding) entryMissing(now time.Time, w *worker) {
	w.lives.EntryGone()
	w.presence.Missing(now, h.entriesMayReturn(now))
}

// entriesMayReturn says whether entries may be missing that will be back.
func (h *holding) entriesMayReturn(now time.Time) bool {
	return !h.core.authority.Steady() || now.Sub(h.core.logBackAt) < entryReturnTime
}

// dropMissing gives up the workers whose entries have not come back.
func (h *holding) dropMissing(now time.Time) {
	if h.entriesMayReturn(now) {
		return
	}
	for _, w := range h.workersByName() {
		if w.presence.GiveUp() {
			h.planDue = true
		}
	}
}

// otherIncarnationListed takes that the platform lists another life of a worker, which may be an earlier
// one or a later one: the worker tells.
func (h *holding) otherIncarnationListed(now time.Time, w *worker, o order.Worker) {
	if !w.lives.Doubted() {
		return
	}
	h.core.note("another life of a worker is listed", field("worker", w.Life.String()), field("life", o.Life.String()))
	if h.phase != active || w.pendingRenewal != 0 && !w.lives.Outdated(w.pendingRenewal) {
		return
	}
	w.lives.Raise(h.looks)
	if w.pendingRenewal != 0 {
		w.overdue[w.pendingRenewal] = w.answerDue
		w.pendingRenewal = 0
	}
	w.renewAt = now
	h.renew(now, w)
}

// workerListed takes what the platform says of one worker.
func (h *holding) workerListed(now time.Time, o order.Worker) {
	w := h.workers[o.Name]
	if w == nil {
		w = h.addWorker(now, o)
		h.core.note("worker listed", field("worker", o.Life.String()), field("address", o.Address), field("pool", o.Pool), field("domain", o.Domain))
	}
	if !w.lives.Entry(w.Life, o, h.looks) {
		h.otherIncarnationListed(now, w, o)
		return
	}
	h.setBirthTime(w, o.Life)
	o.Life = w.Life
	if o.Leaving && !w.Leaving {
		h.core.note("worker is leaving", field("worker", o.Life.String()), field("remaining", o.Remaining.String()), field("tasks", len(w.attempts)))
	}
	w.presence.Entry(o.Leaving)
	used := w.Capacity.Minus(w.free)
	w.Worker = o
	w.free = o.Capacity.Minus(used)
	if h.phase == active {
		h.renew(now, w)
	}
}
