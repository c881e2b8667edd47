// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/platform"
	"saddlevane/platform/standin"
	"saddlevane/services/jobrun"
	"saddlevane/services/relay"

	"gotest.tools/v3/assert"
)

// The number of jobs before and after the workers restart, and how long their tasks run.
const (
	jobsPerRound = 8
	taskDuration = 20 * time.Millisecond
)

// TestFinishedTaskIsNotStartedAgainAfterWorkerRestart covers a worker that restarts under the same
// name and numbers the ends of its runs from the beginning again. Ends with repeated numbers must
// not be taken for those of the worker's earlier incarnation.
func TestFinishedTaskIsNotStartedAgainAfterWorkerRestart(t *testing.T) {
	on, err := standin.New(1)
	assert.NilError(t, err)
	t.Cleanup(on.Close)
	queue := standin.Queue{Name: "q", Host: "h.example", Prefix: "/q/", Attempts: 2}
	assert.NilError(t, on.Configure(queue))
	var restartable []*standin.Worker
	for i := range 2 {
		w, err := on.AddWorker(fmt.Sprint("worker-", i), func(address string) (string, error) { return address, nil })
		assert.NilError(t, err)
		restartable = append(restartable, w)
	}
	workers := platform.NewWorkers(newClient(t, "worker"))
	log := platform.NewLog(on.LogAddress(), newClient(t, "log"))
	p := startBoxVia(t, jobrun.Platform{
		Log:     jobrun.Log{Append: log.Append, Read: log.Read, Newest: log.Newest},
		Workers: relay.WorkerCalls{Renew: workers.Renew, Start: workers.Start, Stop: workers.Stop, Throttle: workers.Throttle},
		Config:  platform.Config, Listing: platform.Listing, Evacuations: platform.Evacuations,
	}, "a", io.Discard, func(address string) string { return address })

	tasks := 0
	for round := range 3 {
		for i := range jobsPerRound {
			s := submission(fmt.Sprint("round", round, "-", i))
			tasks += 4
			on.ExpectJob(*s, queue, taskDuration)
			waitServed(t, p, jobrun.Request{Submit: s}, "")
			waitServed(t, p, jobrun.Request{State: s.ID}, job.Succeeded)
		}
		for _, w := range restartable {
			w.Restart()
		}
	}
	assert.Equal(t, len(on.Violations()), 0, "%q", on.Violations())
	assert.Equal(t, on.StartCount(), tasks)
}
