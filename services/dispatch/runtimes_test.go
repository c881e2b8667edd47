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

// slackOf asks the holder for the slack of a job.
func (w *world) slackOf(id job.ID) time.Duration {
	w.t.Helper()
	var slack time.Duration
	answered := false
	w.holder().call(func(call exchange.CallID) exchange.Event { return exchange.ExplanationAsked{Call: call, Job: id} },
		func(a exchange.Answer) { slack, answered = a.Explanation.Slack.Duration(), true })
	w.run(50 * time.Millisecond)
	assert.Assert(w.t, answered)
	return slack
}

func TestLearnedRunTimesSurviveTakeover(t *testing.T) {
	w := newServingWorld(t, 31, 3, 6)
	for _, f := range w.workers {
		f.slowdown = 4
	}
	slackOfNew := func(id string) time.Duration {
		// The objective is 1.5 times the expected work, plus 250 ms.
		w.submit(oneStep(id, "quick", 1, false))
		w.run(20 * time.Millisecond)
		return w.slackOf(job.ID(id))
	}
	assert.Check(t, slackOfNew("first") < 1800*time.Millisecond, "only the estimate of 1 s is known yet")
	for i := range 40 {
		w.submit(oneStep(fmt.Sprintf("j%d", i), "quick", 1, false))
		w.run(200 * time.Millisecond)
	}
	w.run(8 * time.Second)
	assert.Check(t, slackOfNew("learned") > 4*time.Second, "tasks have taken 2 to 6 s")
	w.holder().kill()
	w.waitUntil(10*time.Second, "another box holds the cell", func() bool { return w.holder() != nil })
	w.run(time.Second)
	assert.Check(t, slackOfNew("inherited") > 4*time.Second, "the next holder has the learned run times")
}
