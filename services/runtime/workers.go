// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package runtime

import (
	"context"
	"strconv"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/worker"
	"saddlevane/modules/httpjson"

	"github.com/sourcegraph/conc"
)

// maxReportBytes is the maximum size of a worker's report, in bytes.
const maxReportBytes = 4 << 20

// Workers is the adapter for the platform's workers.
type Workers struct {
	timeout    time.Duration
	client     *httpjson.Client
	loop       *Loop
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines conc.WaitGroup
}

// NewWorkers returns the adapter. timeout bounds each exchange. An exchange is not retried: its
// number must exceed all that the worker has seen, so a retry would be refused although the first
// attempt was carried out.
func NewWorkers(timeout time.Duration, c Connections, loop *Loop) *Workers {
	ctx, cancel := context.WithCancel(context.Background())
	return &Workers{
		timeout: timeout, loop: loop, ctx: ctx, cancel: cancel,
		client: httpjson.NewClient(loop.newClient("worker", c, 1), maxReportBytes),
	}
}

// Close cancels the exchanges in progress and waits for their goroutines.
func (w *Workers) Close() {
	w.cancel()
	w.goroutines.Wait()
}

// sync exchanges a sync for a worker's report in the background and posts a WorkerAnswered event.
func (w *Workers) sync(e effect.SyncWorker) {
	sentAt := w.loop.now()
	w.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(w.ctx, w.timeout)
		defer cancel()
		answered := event.WorkerAnswered{Worker: e.Worker, Seq: e.Sync.Seq, SentAt: sentAt}
		err := w.client.Post(ctx, "http://"+e.Address+"/v1/sync", e.Sync, &answered.Report)
		if err == nil && answered.Report.Worker != e.Worker {
			err = &wrongWorkerError{want: e.Worker, got: answered.Report.Worker}
		}
		if err != nil {
			answered.Failure = err.Error()
			answered.Report = worker.Report{}
		}
		w.loop.Post(answered)
	})
}

// wrongWorkerError means that another worker than the expected one answered at an address.
type wrongWorkerError struct{ want, got string }

func (e *wrongWorkerError) Error() string {
	return "the address belongs to worker " + strconv.Quote(e.got) + ", not " + strconv.Quote(e.want)
}
