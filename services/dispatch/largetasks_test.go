// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"

	"gotest.tools/v3/assert"
)

// briefAdviceConfig returns a configuration with one queue that needs advice, whose calls are brief.
func briefAdviceConfig() job.Config {
	c := config()
	c.Queues = map[string]job.Queue{"brief": {
		Name: "brief", Pool: pool, Attempts: 3, Stretch: 1.5, Latency: 250 * time.Millisecond,
		Advice: &job.Advice{BaseTime: 11 * time.Millisecond, TimePerWorker: 160 * time.Microsecond, TicketLifetime: 1500 * time.Millisecond},
	}}
	return c
}

// TestLargeTasksStartWithoutAdviceOnAllWorkers guards against asking about every worker before a task
// that takes most of one is started: the time until its start then grew with the number of workers,
// although the first of them had room.
func TestLargeTasksStartWithoutAdviceOnAllWorkers(t *testing.T) {
	w := newWorld(t, 7, 3, 400)
	w.config = briefAdviceConfig()
	for _, b := range w.boxes {
		b.kill()
		b.start()
	}
	w.waitUntilServing()
	w.run(3 * time.Second)
	s := oneStep("large", "brief", 2, false)
	s.Steps[0].Need = resource.Vector{Processors: 40 * resource.Processor, Memory: resource.GiB}
	assert.Check(t, w.startsWithin(250*time.Millisecond, w.submit(s)), "workers: %d: the task has not started within 250 ms", len(w.workers))
	for i := range 3 {
		small := oneStep(fmt.Sprint("small", i), "brief", 2, false)
		assert.Check(t, w.startsWithin(250*time.Millisecond, w.submit(small)), "a small task has not started within 250 ms")
	}
}
