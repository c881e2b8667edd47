// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"
	"saddlevane/modules/ordered"
)

// loaded takes the whole stream of jobs and begins to serve them.
func (h *holding) loaded(now time.Time, e JobsLoaded) {
	if e.Epoch != h.epoch || h.phase != loading {
		return
	}
	if e.Err != nil {
		h.core.note("reading the jobs failed", Field{"error", e.Err.Error()})
		h.core.do(LoadJobs{Epoch: h.epoch})
		return
	}
	h.fold(now, e.Records)
	h.phase = active
	h.docket.Saw(now, h.byRack())
	h.planDue = true
	h.core.note("serves the cell's jobs", Field{"claim", h.epoch}, Field{"jobs", len(h.jobs)},
		Field{"workers_to_ask", len(h.unsettled)}, Field{"took", now.Sub(h.since).String()})
	h.renewAll(now)
}

// fold builds the jobs from the newest record of each key.
func (h *holding) fold(now time.Time, records []stream.Record) {
	slices.SortFunc(records, func(a, b stream.Record) int { return int(a.Offset - b.Offset) })
	newest := map[string]stream.Record{}
	for _, r := range records {
		newest[r.Key] = r
	}
	if r := newest[keyTimes]; !r.Dropped() {
		h.foldTimes(r.Value)
	}
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key, keySubmission); ok && !newest[r.Key].Dropped() && newest[r.Key].Offset == r.Offset {
			h.foldJob(now, job.ID(id), r.Value, newest[keyProgress+id].Value)
		}
	}
	for key, r := range ordered.Map(newest) {
		switch {
		case r.Dropped():
		case strings.HasPrefix(key, keyProgress):
			h.foldEnded(job.ID(key[len(keyProgress):]), r.Value)
		case strings.HasPrefix(key, keyWorker):
			h.foldWorker(now, r.Value)
		}
	}
	slices.SortFunc(h.endedJobs, func(a, b *submitted) int { return int(a.ended - b.ended) })
}

// foldJob takes over a job that an earlier holder accepted.
func (h *holding) foldJob(now time.Time, id job.ID, value, progress []byte) {
	var kept keptSubmission
	err := json.Unmarshal(value, &kept)
	if err == nil && kept.Submission.ID != id {
		err = fmt.Errorf("it is that of job %q", kept.Submission.ID)
	}
	if err == nil {
		err = kept.Submission.Check()
	}
	if err != nil {
		h.core.note("a kept job could not be read", Field{"job", string(id)}, Field{"error", err.Error()})
		return
	}
	var p job.Progress
	if len(progress) > 0 {
		if err := json.Unmarshal(progress, &p); err != nil {
			h.core.note("a job's progress could not be read", Field{"job", string(id)}, Field{"error", err.Error()})
			return
		}
	}
	j := h.newJob(now, kept.Submission, kept.Accepted, kept.Queue)
	j.accepted = true
	j.inherited = true
	h.resume(now, j, p)
}

// foldEnded notes a job of which only the final state is kept.
func (h *holding) foldEnded(id job.ID, value []byte) {
	var p job.Progress
	if h.jobs[id] != nil {
		return
	}
	if err := json.Unmarshal(value, &p); err != nil || !p.State.Final() {
		return
	}
	j := &submitted{id: id, queue: p.Queue, state: p.State, shown: p.State, accepted: true, ended: p.Ended}
	h.jobs[id] = j
	h.endedJobs = append(h.endedJobs, j)
}

// foldWorker takes over a worker on which an earlier holder may have started
// tasks.
func (h *holding) foldWorker(now time.Time, value []byte) {
	var o order.Worker
	if err := json.Unmarshal(value, &o); err != nil || o.ID == "" {
		h.core.note("a kept worker could not be read")
		return
	}
	w := h.workers[o.ID]
	if w == nil {
		w = h.addWorker(now, o)
	}
	w.recorded = true
	// An earlier holder may have renewed its lease until just now.
	w.goneAt = maxTime(w.goneAt, now.Add(h.leaseMost()))
	if !w.settled {
		h.unsettled[o.ID] = true
	}
}

// keptSubmission is the log's record of a job.
type keptSubmission struct {
	// Queue is how the job's queue was treated when it was accepted.
	Queue      job.Queue      `json:"queue"`
	Submission job.Submission `json:"job"`
	// Accepted is when it was accepted, in milliseconds since 1970.
	Accepted int64 `json:"accepted_unix_ms"`
}
