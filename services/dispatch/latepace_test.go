// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/job"

	"gotest.tools/v3/assert"
)

// An order of a lower pace is unanswered and repeated, and the pace is raised again once the tail latency is low. The first
// order is carried out after that.
func TestLateOrderOfPaceDoesNotReplaceLaterOne(t *testing.T) {
	c := newDeliveryCell(t, "w")
	w := c.workers["w"]
	w.runTime = time.Hour
	s := oneStep("j", "quick", 1, false)
	s.Steps[0].Service, s.Steps[0].TailTarget = true, 100
	s.Steps = append(s.Steps, job.Step{Tasks: 1, Need: defaultNeed, Filler: true})
	c.submitJob(s)
	c.runUntil(2*time.Second, "both tasks run", func() bool { return len(c.starts) == 2 })
	filler := c.starts[0].run
	if filler.Task.Step == 0 {
		filler = c.starts[1].run
	}
	c.holds = holdFirst(throttleOrder)
	w.tail = 130
	c.runUntil(5*time.Second, "a lower pace is carried out", func() bool { return w.paces[filler] < 100 })
	late := c.take(throttleOrder)
	w.tail = 10
	c.runUntil(maxTransit, "the full pace is carried out", func() bool { return w.paces[filler] == 100 })
	c.deliver(late)
	c.run(2 * time.Second)
	if w.paces[filler] != 100 {
		c.printEvents()
	}
	assert.Equal(t, w.paces[filler], 100, "pace in percent of a filler beside serving tasks whose tail latency is low")
}
