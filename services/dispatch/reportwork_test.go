// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"

	"gotest.tools/v3/assert"
)

// reportedRuns is the number of runs in the reports of TestReportsTakeFewObjects. maxObjectsPerReport
// bounds the objects for a report, its renewal and the ticks between: lists whose number does not depend
// on that of the runs.
const (
	reportedRuns        = 60
	maxObjectsPerReport = 25
)

func TestReportsTakeFewObjects(t *testing.T) {
	w := order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w:1", Pool: pool, Domain: "a", Capacity: workerCapacity}
	d, renewals := newHolder(t, w)
	effects := d.submitAndLog(job.Submission{ID: "j", Queue: "quick", Steps: []job.Step{
		{Tasks: reportedRuns, Need: resource.Vector{Processors: resource.Processor}, Estimate: 60_000},
	}})
	var runs []order.Run
	for _, s := range effectsOf[exchange.StartRun](effects) {
		runs = append(runs, s.Order.Run)
		d.handle(exchange.StartEnded{Worker: s.Worker, Epoch: s.Epoch, Run: s.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
	}
	assert.Equal(t, len(runs), reportedRuns)
	pending, answered := renewals["w"], 0
	got := testing.AllocsPerRun(100, func() {
		effects := d.handle(renewAnswer(pending, runs...))
		for tries := 0; tries < 100 && len(effectsOf[exchange.Renew](effects)) == 0; tries++ {
			effects = d.advance(20 * time.Millisecond)
			d.confirmClaimRenewal(effects)
			d.confirmAnyAppend(effects)
		}
		for _, r := range effectsOf[exchange.Renew](effects) {
			pending = r
			answered++
		}
	})
	assert.Equal(t, answered, 101)
	assert.Check(t, got <= maxObjectsPerReport, "%v objects for a report of %d runs", got, reportedRuns)
}
