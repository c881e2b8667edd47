// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"saddlevane/models/exchange"

	"gotest.tools/v3/assert"
)

// secondStart submits two jobs and returns the start of the second one, whose repetition has to be in the log first.
func (d *harness) secondStart() exchange.StartRun {
	d.t.Helper()
	d.submitAndLog(oneStep("j", "quick", 1, false))
	starts := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("k", "quick", 1, false)))
	assert.Equal(d.t, len(starts), 1)
	return starts[0]
}

func TestRepetitionWaitsUntilLogNamesStart(t *testing.T) {
	d := oneWorker(t)
	start := d.secondStart()
	effects := d.startUnanswered(start)
	effects = append(effects, d.advance(20*time.Millisecond)...)
	assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 0, "a holder that is lost now leaves no trace of the first order")
	again := effectsOf[exchange.StartRun](d.confirmAppend(effects))
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Order.Run, start.Order.Run)
}

// A start that cannot be recorded is not repeated. The next report of the worker shows whether the run exists.
func TestRepetitionIsGivenUpWhileLogFails(t *testing.T) {
	d := oneWorker(t)
	effects := d.startUnanswered(d.secondStart())
	for range 50 {
		effects = append(effects, d.advance(20*time.Millisecond)...)
	}
	assert.Equal(t, len(effectsOf[exchange.StartRun](effects)), 0)
	isGivenUp := func(e exchange.LogEvent) bool { return e.Message == "start order was not answered" }
	assert.Check(t, slices.ContainsFunc(effectsOf[exchange.LogEvent](effects), isGivenUp))
}
