// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/stream"
	"saddlevane/modules/ordered"
	"saddlevane/services/kept"
)

// loaded takes the whole stream of jobs and begins to serve them.
func (h *holding) loaded(now time.Time, e exchange.JobsLoaded) {
	if e.Epoch != h.epoch || h.phase != loading {
		return
	}
	if e.Err != nil {
		h.core.note("reading the jobs failed", field("error", e.Err.Error()))
		h.core.do(exchange.LoadJobs{Epoch: h.epoch})
		return
	}
	h.fold(now, e.Records)
	h.phase = active
	h.docket.Saw(now, h.byRack())
	h.planDue = true
	h.core.note("serves the cell's jobs", field("claim", h.epoch), field("jobs", len(h.jobs)),
		field("workers_to_ask", len(h.unsettled)), field("took", now.Sub(h.since).String()))
	h.renewAll(now)
}

// fold builds the jobs from the newest record of each key.
func (h *holding) fold(now time.Time, records []stream.Record) {
	state := kept.Decode(records)
	for _, u := range state.Unread {
		h.core.note("a kept record could not be read", field("key", u.Key), field("error", u.Reason))
	}
	if err := h.learned.Resume(state.RunTimes); err != nil {
		h.core.note("kept run times could not be read", field("error", err.Error()))
	}
	if err := h.docket.ResumeRate(state.CrashRate); err != nil {
		h.core.note("the kept rate of crashes could not be read", field("error", err.Error()))
	}
	h.restoreStarts(state.RecentStarts)
	for _, k := range state.Jobs {
		j := h.newJob(now, k.Submission.Submission, k.Accepted, k.Queue)
		j.accepted = true
		j.inherited = true
		h.resume(now, j, k.Progress)
	}
	for _, e := range state.Ended {
		p := e.Progress
		j := &submitted{id: e.ID, queue: p.Queue, workspace: p.Workspace, state: p.State, shown: p.State, accepted: true, ended: p.Ended, why: p.Why}
		h.jobs[e.ID] = j
		h.endedJobs = append(h.endedJobs, j)
		h.leave(now, p)
	}
	for _, k := range state.Workers {
		h.foldWorker(now, k)
	}
}

// foldWorker takes over a worker on which an earlier holder may have started
// tasks.
func (h *holding) foldWorker(now time.Time, k kept.KnownWorker) {
	o := k.Worker
	w := h.restoreWorker(now, o)
	if k.Silent != nil && !w.reported {
		h.restoreUnresponsive(now, w, k.Silent)
		return
	}
	w.recorded = true
	// An earlier holder may have renewed its lease until just now.
	w.leaseExpiresBy = ordered.Later(w.leaseExpiresBy, now.Add(h.maxLeaseDuration()))
	if !w.reported {
		h.unsettled[o.Name] = true
	}
}
