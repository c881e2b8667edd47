// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"net/http"
	"sync"
	"time"

	"saddlevane/models/worker"
	"saddlevane/modules/httpjson"
	"saddlevane/tests/fake"

	"github.com/oklog/ulid/v2"
)

// maxSyncBytes bounds the body of one sync.
const maxSyncBytes = 16 << 20

// workerStandin stands in for one worker.
type workerStandin struct {
	*http.ServeMux
	faults faultState
	name   string

	mu     sync.Mutex
	worker *fake.Worker
}

// newWorker returns a worker whose tasks run for taskLease after its lease has expired.
func newWorker(m member, taskLease time.Duration) *workerStandin {
	w := &workerStandin{
		ServeMux: http.NewServeMux(), name: m.Name, worker: fake.NewWorker(m.Name, ulid.Make().String(), m.Capacity, taskLease),
	}
	w.HandleFunc("POST /v1/sync", w.sync)
	w.HandleFunc("POST /admin/faults", w.faults.serve)
	w.HandleFunc("GET /admin/history", w.showHistory)
	return w
}

// sync answers POST /v1/sync.
func (w *workerStandin) sync(rw http.ResponseWriter, r *http.Request) {
	if !w.faults.beforeCall(rw) {
		return
	}
	var s worker.Sync
	if !httpjson.Decode(rw, r, maxSyncBytes, &s) {
		return
	}
	w.faults.writeAnswer(rw, w.apply(s))
}

// apply applies a sync under the faults in force and returns the worker's report.
func (w *workerStandin) apply(s worker.Sync) worker.Report {
	f := w.faults.get()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.worker.FailAll, w.worker.Leaving = f.FailAll, f.Leaving
	return w.worker.Apply(time.Now(), s)
}

// history is the answer to GET /admin/history.
type history struct {
	Worker string      `json:"worker"`
	Spans  []fake.Span `json:"spans"`
	// Excess counts starts that would have exceeded the worker's capacity.
	Excess int64 `json:"excess"`
}

// showHistory answers GET /admin/history.
func (w *workerStandin) showHistory(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.worker.Advance(time.Now())
	httpjson.Write(rw, http.StatusOK, history{Worker: w.name, Spans: w.worker.History(), Excess: w.worker.ExcessStarts()})
}
