// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/stream"
	"saddlevane/modules/ordered"
	"saddlevane/services/jobrecords"
	"saddlevane/services/workerlog"
)

// handleJobsLoaded restores the state from the stream of jobs and starts serving them. A failed
// read is repeated.
func (h *holderState) handleJobsLoaded(now time.Time, e exchange.JobsLoaded) {
	if e.Epoch != h.epoch || h.phase != phaseLoading {
		return
	}
	if e.Err != nil {
		h.core.logEvent("failed to load jobs", logField("error", e.Err.Error()))
		h.core.emit(exchange.LoadJobs{Epoch: h.epoch})
		return
	}
	h.restoreState(now, e.Records)
	h.phase = phaseActive
	h.blame.ObserveWorkers(now, h.answeringByRack())
	h.planDue = true
	h.core.logEvent("started scheduling the cell's jobs", logField("claim", h.epoch), logField("jobs", len(h.jobs)),
		logField("workers_to_ask", len(h.unreportedWorkers)), logField("starts_in_transit", len(h.inheritedTransit.Starts())), logField("took", now.Sub(h.startedAt).String()))
	h.renewAll(now)
}

// restoreState rebuilds jobs, workers and learned values from the newest record of each key.
// Records that cannot be read are logged and skipped.
func (h *holderState) restoreState(now time.Time, records []stream.Record) {
	state := jobrecords.Decode(records)
	for _, u := range state.Unread {
		h.core.logEvent("failed to decode a logged record", logField("key", u.Key), logField("error", u.Reason))
	}
	for _, u := range state.UnreadJobs {
		h.unreadJobs[u.ID] = u
	}
	if err := h.estimates.Restore(state.RunTimes); err != nil {
		h.core.logEvent("failed to decode logged run times", logField("error", err.Error()))
	}
	if err := h.blame.RestoreRate(state.CrashRate); err != nil {
		h.core.logEvent("failed to decode the logged crash rate", logField("error", err.Error()))
	}
	h.restoreStarts(state.RecentStarts)
	for _, k := range state.Jobs {
		j := h.addJob(now, k.Submission)
		j.accepted = true
		j.inherited = true
		h.restoreJob(now, j, k.Progress)
	}
	for _, e := range state.Ended {
		p := e.Progress
		j := &trackedJob{
			id: e.ID, queue: p.Queue, workspace: p.Workspace, state: p.State, reportedState: p.State, accepted: true,
			endedUnixMilli: p.EndedUnixMilli, failReason: p.FailureReason,
		}
		h.jobs[e.ID] = j
		h.endedJobs = append(h.endedJobs, j)
		h.recordLeftoverUsage(now, p)
	}
	for _, e := range state.Ends {
		h.restoreEnd(now, e)
	}
	h.restoreStartsInTransit(now, h.readStartsInTransit(state))
	for _, k := range state.Workers {
		h.restoreRecordedWorker(now, k)
	}
	if err := h.speeds.Restore(now, state.Speeds); err != nil {
		h.core.logEvent("failed to decode logged speeds", logField("error", err.Error()))
	}
	for _, name := range state.UnreadWorkers {
		h.restoreUndecodableWorker(now, name)
	}
}

// restoreRecordedWorker restores a worker on which an earlier holder may have started tasks.
func (h *holderState) restoreRecordedWorker(now time.Time, k jobrecords.KnownWorker) {
	o := k.Worker
	w := h.restoreIncarnation(now, o)
	if k.Unresponsive != nil {
		h.restoreUnresponsive(now, w, k.Unresponsive)
		return
	}
	w.logged = workerlog.Logged()
	// An earlier holder may have renewed the worker's lease until just now.
	w.leaseExpiresBy = ordered.Later(w.leaseExpiresBy, now.Add(h.maxLeaseDuration()))
	h.unreportedWorkers[o.Name] = true
}
