// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"
	"saddlevane/services/dispatch"
)

// only returns the effects of one kind.
func only[E dispatch.Effect](effects []dispatch.Effect) []E {
	var all []E
	for _, e := range effects {
		if one, ok := e.(E); ok {
			all = append(all, one)
		}
	}
	return all
}

// keeps ends the append to the stream of jobs that is among some effects.
func (d *driven) keeps(effects []dispatch.Effect) []dispatch.Effect {
	d.t.Helper()
	a := appendFor(effects, dispatch.ForJournal)
	assert.Assert(d.t, a != nil)
	return d.handle(dispatch.AppendEnded{Purpose: dispatch.ForJournal, Number: a.Number})
}

// holding returns a reducer that holds the cell and has listed some workers, and
// the look at each that is under way.
func holding(t *testing.T, workers ...order.Worker) (*driven, map[string]dispatch.Renew) {
	t.Helper()
	d := newDriven(t)
	fence := d.takeOver(time.Second)
	d.handle(dispatch.AppendEnded{Purpose: dispatch.ForJournal, Number: fence.Number})
	d.handle(dispatch.JobsLoaded{Epoch: 1})
	looks := map[string]dispatch.Renew{}
	listed := d.handle(dispatch.WorkersRead{Listing: order.Listing{Whole: true, Present: workers}})
	var effects []dispatch.Effect
	for _, r := range only[dispatch.Renew](listed) {
		effects = append(effects, d.handle(looked(r))...)
	}
	for _, r := range only[dispatch.Renew](effects) {
		looks[r.Worker] = r
	}
	d.keeps(append(effects, d.later(20*time.Millisecond)...))
	return d, looks
}

// looked is the answer to a look at a worker that runs some tasks.
func looked(r dispatch.Renew, running ...order.Run) dispatch.RenewEnded {
	e := dispatch.RenewEnded{
		Worker: r.Worker, Epoch: r.Epoch, Look: r.Look, Answer: order.Answer{Fate: order.Carried}, Report: order.Report{Clock: 1000},
	}
	for _, run := range running {
		e.Report.Running = append(e.Report.Running, order.Running{Run: run, Pace: 100})
	}
	return e
}

// submits has a job accepted and returns what is asked for from then on.
func (d *driven) submits(s job.Submission) []dispatch.Effect {
	d.t.Helper()
	d.now = d.now.Add(20 * time.Millisecond)
	return append(d.keeps(d.handle(dispatch.Submitted{Call: 1, Submission: s})), d.later(20*time.Millisecond)...)
}

// fullSize is the capacity of a worker in these tests.
var fullSize = resource.Vector{Processors: 64 * resource.Processor, Memory: 128 << 30}

// TestALookAskedForBeforeAStartProvesNothing: the worker answered the look before
// the start reached it, and the holder, which was late, heard of both at once and
// with a time from before the look was sent.
func TestALookAskedForBeforeAStartProvesNothing(t *testing.T) {
	d, looks := holding(t, order.Worker{ID: "w", Address: "w", Pool: pool, Capacity: fullSize})
	starts := only[dispatch.StartRun](d.submits(oneStep("j", "quick", 1, false)))
	assert.Equal(t, len(starts), 1)
	run := starts[0].Order.Run
	d.now = d.now.Add(-15 * time.Millisecond)
	d.handle(dispatch.StartEnded{Worker: "w", Epoch: 1, Run: run, Answer: order.Answer{Fate: order.Carried}})
	d.now = d.now.Add(40 * time.Millisecond)
	effects := d.handle(looked(looks["w"]))
	effects = append(effects, d.later(20*time.Millisecond)...)
	assert.Equal(t, len(only[dispatch.StartRun](effects)), 0, "the task is started again beside its first run")

	next := only[dispatch.Renew](effects)
	assert.Equal(t, len(next), 1)
	effects = append(d.handle(looked(next[0])), d.later(20*time.Millisecond)...)
	assert.Equal(t, len(only[dispatch.StartRun](effects)), 1, "a later look shows that the worker no longer has it")
}
