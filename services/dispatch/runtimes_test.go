// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"

	"gotest.tools/v3/assert"
)

// slackOf asks the holder how much later a job could finish and be on time.
func (w *world) slackOf(id job.ID) time.Duration {
	w.t.Helper()
	var slack time.Duration
	told := false
	w.holder().ask(func(call exchange.CallID) exchange.Event { return exchange.ExplanationAsked{Call: call, Job: id} },
		func(a exchange.Answer) { slack, told = a.Explanation.Slack.Duration(), true })
	w.run(50 * time.Millisecond)
	assert.Assert(w.t, told)
	return slack
}

func TestLearnedRunTimesSurviveTakeover(t *testing.T) {
	w := newServingWorld(t, 31, 3, 6)
	for _, f := range w.workers {
		f.slowBy = 4
	}
	late := func(id string) time.Duration {
		// The objective is 1.5 times the work that is expected, and 250 ms.
		w.submit(oneStep(id, "quick", 1, false))
		w.run(20 * time.Millisecond)
		return w.slackOf(job.ID(id))
	}
	assert.Check(t, late("first") < 1800*time.Millisecond, "nothing is known yet but an estimate of 1 s")
	for i := range 40 {
		w.submit(oneStep(fmt.Sprintf("j%d", i), "quick", 1, false))
		w.run(200 * time.Millisecond)
	}
	w.run(8 * time.Second)
	assert.Check(t, late("learned") > 4*time.Second, "tasks have taken 2 to 6 s")
	w.holder().kill()
	w.until(10*time.Second, "another box holds the cell", func() bool { return w.holder() != nil })
	w.run(time.Second)
	assert.Check(t, late("inherited") > 4*time.Second, "the next holder knows it too")
}
