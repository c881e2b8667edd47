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

// scarceAdviceConfig returns a configuration with two queues that need advice. Gangs rank
// higher, and their calls take so long that all boxes together make only two a second.
// Sweeps become late soon.
func scarceAdviceConfig(boxes int) job.Config {
	c := config()
	c.Queues = map[string]job.Queue{
		"gangs": {
			Name: "gangs", Pool: pool, Priority: 1, Attempts: 3, Stretch: 2.2, Latency: time.Second,
			Advice: &job.Advice{BaseTime: time.Duration(boxes) * 490 * time.Millisecond, TimePerWorker: 7 * time.Millisecond, TicketLifetime: 2 * time.Second},
		},
		"sweeps": {
			Name: "sweeps", Pool: pool, Priority: 2, Attempts: 3, Stretch: 1, Latency: 100 * time.Millisecond,
			Advice: &job.Advice{BaseTime: 170 * time.Millisecond, TimePerWorker: 2400 * time.Microsecond, TicketLifetime: 2 * time.Second},
		},
	}
	return c
}

// gangJob returns a gang job of two tasks, each of which needs most of a worker's capacity.
func gangJob(id string) job.Submission {
	s := oneStep(id, "gangs", 2, true)
	s.Steps[0].Need = resource.Vector{Processors: 40 * resource.Processor, Memory: resource.GiB}
	s.Steps[0].Estimate = 3000
	return s
}

// startsWithin reports whether a job's first task starts within a time.
func (w *world) startsWithin(limit time.Duration, a *submittedJob) bool {
	first := job.TaskID{StepID: job.StepID{Job: a.sub.ID}}
	for end := w.now.Add(limit); w.now.Before(end); {
		if w.starts[first] > 0 {
			return true
		}
		w.run(50 * time.Millisecond)
	}
	return false
}

func TestNoQueueStarvesWhenAdviceIsScarce(t *testing.T) {
	for boxes := 1; boxes <= 4; boxes++ {
		w := newWorld(t, int64(60+boxes), boxes, 12)
		w.config = scarceAdviceConfig(boxes)
		for _, b := range w.boxes {
			b.kill()
			b.start()
		}
		w.waitUntilServing()
		// These are more gangs than the boxes can get advice for, and than the workers have room for.
		for i := range 80 {
			w.after(time.Duration(i)*300*time.Millisecond, func() { w.submit(gangJob(fmt.Sprintf("gang%d", i))) })
		}
		w.run(3 * time.Second)
		for i := range 4 {
			a := w.submit(oneStep(fmt.Sprintf("sweep%d", i), "sweeps", 1, false))
			assert.Check(t, w.startsWithin(5*time.Second, a), "boxes: %d: sweep %d has not started after 5 s", boxes, i)
		}
		// The next holder has to work off the backlog.
		w.killBox(w.holder(), time.Second)
		w.runUntilEnded()
	}
}
