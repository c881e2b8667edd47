// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"strings"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"

	"gotest.tools/v3/assert"
)

// countTrace returns how many log lines contain a text.
func (w *world) countTrace(text string) int {
	n := 0
	for _, line := range w.trace {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// TestNoTaskIsStoppedWhileWorkersWithRoomAreUnasked guards against stopping tasks for a step whose tasks
// have room on workers that the advice service was not asked about. A stop takes longer than a brief call
// for advice, so the step was late, and work was lost.
func TestNoTaskIsStoppedWhileWorkersWithRoomAreUnasked(t *testing.T) {
	const tasks = 40
	for name, gang := range map[string]bool{"gang": true, "single tasks": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 7, 3, 200)
			w.noRandomFailures = true
			w.config = briefAdviceConfig()
			w.config.Queues["filler"] = job.Queue{Name: "filler", Pool: pool, Priority: 1, Attempts: 3, Stretch: 20, Latency: time.Minute}
			for _, b := range w.boxes {
				b.kill()
				b.start()
			}
			w.waitUntilServing()
			w.run(3 * time.Second)
			// One task on each worker leaves room for one task of the other step.
			filler := oneStep("filler", "filler", len(w.workers), false)
			filler.Steps[0].Need = resource.Vector{Processors: 35 * resource.Processor, Memory: resource.GiB}
			filler.Steps[0].Estimate, filler.Steps[0].Checkpoints = 20_000, true
			w.submit(filler)
			w.run(3 * time.Second)
			s := oneStep("urgent", "brief", tasks, gang)
			s.Steps[0].Need = resource.Vector{Processors: 20 * resource.Processor, Memory: resource.GiB}
			a := w.submit(s)
			w.run(250 * time.Millisecond)
			started := 0
			for i := range tasks {
				started += w.starts[job.TaskID{StepID: job.StepID{Job: a.sub.ID}, Index: i}]
			}
			assert.Equal(t, started, tasks, "tasks started within 250 ms")
			assert.Equal(t, w.countTrace("tasks preempted for a step"), 0, "tasks were stopped although workers had room")
		})
	}
}
