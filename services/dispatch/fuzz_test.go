// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"encoding/json"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"

	"gotest.tools/v3/assert"
)

// FuzzSubmitted passes a caller's bytes through validation into a holder that starts the
// tasks it can, lets the worker crash, and loads the resulting log records into the next
// holder. An accepted job must not prevent a box from taking the cell over.
func FuzzSubmitted(f *testing.F) {
	for _, s := range []job.Submission{
		oneStep("j", "quick", 2, false), oneStep("j", "wide", 3, true),
		{ID: "j", Queue: "quick", Steps: []job.Step{{Tasks: 1, Service: true}, {Tasks: 2, After: []int{0}, Copies: true, PerWorker: 1}}},
		{ID: "j", Queue: "none", Repeat: job.Repeat{Times: 3, FirstUnixMilli: 1, Interval: 5}, Steps: []job.Step{{Tasks: 1}}},
	} {
		data, err := json.Marshal(s)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var s job.Submission
		if json.Unmarshal(data, &s) != nil || s.Check() != nil {
			return
		}
		w := order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity}
		d, renewals := newHolder(t, w)
		effects := append(d.handle(exchange.Submitted{Call: 1, Submission: s}), d.advance(20*time.Millisecond)...)
		var records []stream.Record
		take := func(effects []exchange.Effect) []exchange.Effect {
			if a := findAppend(effects, exchange.ForJournal); a != nil {
				records = append(records, a.Append.Records...)
			}
			return d.confirmAnyAppend(effects)
		}
		effects = append(take(effects), d.advance(20*time.Millisecond)...)
		for _, start := range effectsOf[exchange.StartRun](effects) {
			d.handle(exchange.StartEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: start.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
		}
		gone := exchange.RenewEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Renewal: renewals["w"].Renewal, Answer: order.Answer{Outcome: order.WrongIncarnation}}
		take(append(d.handle(gone), d.advance(20*time.Millisecond)...))
		for i := range records {
			records[i].Offset = int64(i)
		}
		next := newHarness(t)
		fence := next.claimCell(time.Second)
		next.handle(exchange.AppendEnded{Purpose: exchange.ForJournal, Number: fence.Number})
		next.handle(exchange.JobsLoaded{Epoch: 1, Records: records})
		state := effectsOf[exchange.Reply](next.handle(exchange.StateAsked{Call: 9, Job: s.ID}))
		assert.Equal(t, len(state), 1)
		assert.Check(t, state[0].Answer.Outcome != exchange.NoJob, "%s is in the log and unknown to the next holder", s.ID)
	})
}
