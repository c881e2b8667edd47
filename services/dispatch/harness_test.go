// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"encoding/json"
	"testing"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"
	"saddlevane/models/stream"
	"saddlevane/services/dispatch"

	"gotest.tools/v3/assert"
)

// workerCapacity is the capacity of the workers in these tests.
var workerCapacity = resource.Vector{Processors: 64 * resource.Processor, Memory: 128 << 30}

// harness drives a single dispatch.Core with events that a test chooses one by one.
type harness struct {
	t    *testing.T
	core *dispatch.Core
	now  time.Time
	// nextOffset is the offset of the next record of the stream of claims.
	nextOffset int64
	// configReadsStopped keeps handle from reporting that the configuration is current.
	configReadsStopped bool
	// records are those that newHolderOn finds in the stream of jobs.
	records []stream.Record
}

// newHarness returns a harness whose core has its configuration and may claim the cell.
func newHarness(t *testing.T) *harness {
	t.Helper()
	return newHarnessWith(t, settings())
}

// newHarnessWith returns a harness like newHarness whose core has the settings s.
func newHarnessWith(t *testing.T, s dispatch.Settings) *harness {
	t.Helper()
	d := &harness{
		t: t, now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		core: dispatch.New(s, claim.Member{Box: "a", Incarnation: "a1", Address: "a"}),
	}
	d.handle(exchange.ConfigRead{Config: config()})
	d.handle(exchange.Tick{})
	d.handle(exchange.AppendEnded{Purpose: exchange.ForAnnounce})
	d.handle(exchange.ClaimsRead{First: true})
	return d
}

// handle advances the time by a millisecond, applies an event and returns its effects.
func (d *harness) handle(e exchange.Event) []exchange.Effect {
	d.now = d.now.Add(time.Millisecond)
	if !d.configReadsStopped {
		d.core.Handle(d.now, exchange.ConfigReadEnded{AskedAt: d.now})
	}
	d.core.Handle(d.now, e)
	return d.core.Decide(d.now)
}

// advance advances the time, applies a tick and returns its effects.
func (d *harness) advance(passed time.Duration) []exchange.Effect {
	d.now = d.now.Add(passed)
	return d.handle(exchange.Tick{})
}

// effectsOf returns the effects of type E.
func effectsOf[E exchange.Effect](effects []exchange.Effect) []E {
	var all []E
	for _, e := range effects {
		if wanted, ok := e.(E); ok {
			all = append(all, wanted)
		}
	}
	return all
}

// findAppend returns the append that has a purpose among some effects, or nil.
func findAppend(effects []exchange.Effect, p exchange.Purpose) *exchange.Append {
	for _, a := range effectsOf[exchange.Append](effects) {
		if a.Purpose == p {
			return &a
		}
	}
	return nil
}

// hasLoadJobs reports whether some effects include a read of the stream of jobs.
func hasLoadJobs(effects []exchange.Effect) bool {
	return len(effectsOf[exchange.LoadJobs](effects)) > 0
}

// claimCell advances the time until the core claims the cell, confirms the claim, and returns
// the append that fences earlier holders.
func (d *harness) claimCell(wait time.Duration) *exchange.Append {
	d.t.Helper()
	return d.confirmClaim(d.advance(wait))
}

// confirmClaim confirms the append of a claim that is among some effects, and returns the
// append that fences earlier holders.
func (d *harness) confirmClaim(effects []exchange.Effect) *exchange.Append {
	d.t.Helper()
	claiming := findAppend(effects, exchange.ForClaim)
	assert.Assert(d.t, claiming != nil)
	effects = d.handle(exchange.AppendEnded{Purpose: exchange.ForClaim, Number: claiming.Number, Offset: d.nextOffset})
	d.nextOffset++
	fence := findAppend(effects, exchange.ForJournal)
	assert.Assert(d.t, fence != nil)
	return fence
}

// readClaim applies the claim of another box, as read from the log, and returns the effects.
func (d *harness) readClaim(c claim.Claim) []exchange.Effect {
	d.t.Helper()
	value, err := json.Marshal(c)
	assert.NilError(d.t, err)
	d.nextOffset++
	return d.handle(exchange.ClaimsRead{Records: []stream.Record{{Key: "holder", Value: value}}, Next: d.nextOffset})
}

// confirmAppend confirms the append to the stream of jobs that must be among some effects, and
// returns what follows.
func (d *harness) confirmAppend(effects []exchange.Effect) []exchange.Effect {
	d.t.Helper()
	assert.Assert(d.t, findAppend(effects, exchange.ForJournal) != nil)
	return d.confirmAnyAppend(effects)
}

// confirmAnyAppend confirms the append to the stream of jobs that is among some effects, if
// there is one, and returns what follows.
func (d *harness) confirmAnyAppend(effects []exchange.Effect) []exchange.Effect {
	a := findAppend(effects, exchange.ForJournal)
	if a == nil {
		return nil
	}
	return d.handle(exchange.AppendEnded{Purpose: exchange.ForJournal, Number: a.Number})
}

// newHolder returns a harness whose core holds the cell with some listed workers, and the
// pending renewal of each worker by name.
func newHolder(t *testing.T, workers ...order.Worker) (*harness, map[string]exchange.Renew) {
	t.Helper()
	return newHolderOn(newHarness(t), workers...)
}

// newHolderOn returns what newHolder does for the harness d.
func newHolderOn(d *harness, workers ...order.Worker) (*harness, map[string]exchange.Renew) {
	d.t.Helper()
	fence := d.claimCell(time.Second)
	d.handle(exchange.AppendEnded{Purpose: exchange.ForJournal, Number: fence.Number})
	d.handle(exchange.JobsLoaded{Epoch: 1, Records: d.records})
	renewals := map[string]exchange.Renew{}
	listed := d.handle(exchange.WorkersRead{Listing: order.Listing{Complete: true, Present: workers}})
	var effects []exchange.Effect
	for _, r := range effectsOf[exchange.Renew](listed) {
		effects = append(effects, d.handle(renewAnswer(r))...)
	}
	for _, r := range effectsOf[exchange.Renew](effects) {
		renewals[r.Worker.Name] = r
	}
	d.confirmAppend(append(effects, d.advance(20*time.Millisecond)...))
	return d, renewals
}

// renewAnswer returns the answer to a renewal from a worker that has some runs.
func renewAnswer(r exchange.Renew, running ...order.Run) exchange.RenewEnded {
	e := exchange.RenewEnded{
		Worker: r.Worker, Epoch: r.Epoch, Renewal: r.Renewal, Answer: order.Answer{Outcome: order.CarriedOut}, Report: order.Report{Incarnation: r.Worker, Clock: 1000},
	}
	for _, run := range running {
		e.Report.Running = append(e.Report.Running, order.Running{Run: run, Progress: 100})
	}
	return e
}

// submitAndLog submits a job, confirms its append to the log and returns the effects that
// follow.
func (d *harness) submitAndLog(s job.Submission) []exchange.Effect {
	d.t.Helper()
	d.now = d.now.Add(20 * time.Millisecond)
	return append(d.confirmAppend(d.handle(exchange.Submitted{Call: 1, Submission: s})), d.advance(20*time.Millisecond)...)
}

// confirmClaimRenewal confirms the renewal of the claim that is among some effects, if there is
// one.
func (d *harness) confirmClaimRenewal(effects []exchange.Effect) {
	if a := findAppend(effects, exchange.ForClaim); a != nil {
		d.handle(exchange.AppendEnded{Purpose: exchange.ForClaim, Number: a.Number, Offset: d.nextOffset})
		d.nextOffset++
	}
}

// submitAndCountStarts submits a job and returns how many tasks are started within a second.
func (d *harness) submitAndCountStarts(s job.Submission, call exchange.CallID, renewals map[string]exchange.Renew) int {
	d.t.Helper()
	kept := d.confirmAnyAppend(d.handle(exchange.Submitted{Call: call, Submission: s}))
	return len(effectsOf[exchange.StartRun](kept)) + d.answerRenewals(time.Second, renewals)
}

// answerRenewals advances the time in steps of 20 ms while the claim is renewed, appends are
// confirmed and workers answer their renewals. It returns how many tasks are started.
func (d *harness) answerRenewals(passed time.Duration, renewals map[string]exchange.Renew) (starts int) {
	d.t.Helper()
	for end := d.now.Add(passed); d.now.Before(end); {
		effects := d.advance(20 * time.Millisecond)
		d.confirmClaimRenewal(effects)
		for _, r := range renewals {
			effects = append(effects, d.handle(renewAnswer(r))...)
		}
		effects = append(effects, d.confirmAnyAppend(effects)...)
		for _, r := range effectsOf[exchange.Renew](effects) {
			renewals[r.Worker.Name] = r
		}
		starts += len(effectsOf[exchange.StartRun](effects))
	}
	return starts
}
