// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/stream"

	"gotest.tools/v3/assert"
)

// refusedEntries returns a change of the list in which some entries no longer describe a worker.
func refusedEntries(reason string, ids ...string) exchange.WorkersRead {
	l := order.Listing{Removed: ids, Unreadable: map[string]string{}}
	for _, id := range ids {
		l.Unreadable[id] = reason
	}
	return exchange.WorkersRead{Listing: l}
}

func TestWorkerWithUnreadableEntryKeepsTasksAndGetsNoMore(t *testing.T) {
	d, renewals := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	start := effectsOf[exchange.StartRun](d.submitAndLog(oneStep("j", "quick", 1, false)))[0]
	d.handle(exchange.StartEnded{Worker: order.Incarnation{Name: "w"}, Epoch: 1, Run: start.Order.Run, Answer: order.Answer{Outcome: order.CarriedOut}})
	d.answerRenewals(3*time.Second, renewals)
	refusals := effectsOf[exchange.EntryRefused](d.handle(refusedEntries("it cannot be read", "w", "x")))
	assert.Equal(t, len(refusals), 2)
	refusals = effectsOf[exchange.EntryRefused](d.handle(refusedEntries("it cannot be read", "w", "x")))
	assert.Equal(t, len(refusals), 0, "each entry is counted once")
	assert.Equal(t, d.submitAndCountStarts(oneStep("k", "quick", 1, false), 3, renewals), 0, "the worker gets no more tasks")
	state := effectsOf[exchange.Reply](d.handle(exchange.StateAsked{Call: 9, Job: "j"}))[0].Answer.State
	assert.Equal(t, state, job.Running, "the worker keeps its task")
	d.handle(exchange.WorkersRead{Listing: order.Listing{Present: []order.Worker{{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity}}}})
	assert.Equal(t, d.answerRenewals(time.Second, renewals), 1, "the entry describes a worker again")
}

func TestWorkerOfUnnamedPoolIsNotContacted(t *testing.T) {
	d, _ := newHolder(t, order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity})
	other := order.Worker{Incarnation: order.Incarnation{Name: "o"}, Address: "o", Pool: "other", Capacity: workerCapacity}
	effects := d.handle(exchange.WorkersRead{Listing: order.Listing{Present: []order.Worker{other}}})
	effects = append(effects, d.advance(200*time.Millisecond)...)
	for _, r := range effectsOf[exchange.Renew](effects) {
		assert.Check(t, r.Worker.Name != "o")
	}
	c := config()
	c.Version, c.AdmissionChecked = 2, map[string]bool{"other": false}
	effects = append(d.handle(exchange.ConfigRead{Config: c}), d.advance(200*time.Millisecond)...)
	contacted := false
	for _, r := range effectsOf[exchange.Renew](effects) {
		contacted = contacted || r.Worker.Name == "o"
	}
	assert.Check(t, contacted, "the configuration now names its pool")
}

// FuzzLoadedJobs loads a record that another writer left among those of the holder.
func FuzzLoadedJobs(f *testing.F) {
	kept := map[string]any{"queue": config().Queues["quick"], "job": oneStep("j", "quick", 2, false), "accepted_unix_ms": 1_700_000_000_000}
	good, err := json.Marshal(kept)
	assert.NilError(f, err)
	f.Add("s/j", good)
	f.Add("p/j", []byte(`{"state":"running","steps":[{"k":0,"s":0,"d":"AQ==","f":{"1":[1]},"b":{"1":{"n":2,"o":3,"w":["x"],"t":5}},"c":{"0":"x"}}]}`))
	f.Add("p/j", []byte(`{"steps":[{"k":-1,"s":-1,"f":{"-3":[1]}},{"k":7,"s":9}]}`))
	f.Add("w/x", []byte(`{"ID":"x","Address":"x","Pool":"pool"}`))
	f.Add("times", []byte(`{"quick":[1,2,3]}`))
	f.Add("other", []byte(`{}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		d := newHarness(t)
		fence := d.claimCell(time.Second)
		d.handle(exchange.AppendEnded{Purpose: exchange.ForJournal, Number: fence.Number})
		records := []stream.Record{{Key: "s/j", Value: good, Offset: 1}, {Key: key, Value: value, Offset: 2}}
		d.handle(exchange.JobsLoaded{Epoch: 1, Records: records})
		w := order.Worker{Incarnation: order.Incarnation{Name: "w"}, Address: "w", Pool: pool, Capacity: workerCapacity}
		d.handle(exchange.WorkersRead{Listing: order.Listing{Complete: true, Present: []order.Worker{w}}})
		d.advance(time.Second)
		if strings.HasSuffix(key, "/j") {
			return
		}
		state := effectsOf[exchange.Reply](d.handle(exchange.StateAsked{Call: 9, Job: "j"}))
		assert.Check(t, len(state) == 0 || state[0].Answer.Outcome != exchange.NoJob, "the other records must be loaded")
	})
}
