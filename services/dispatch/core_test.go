// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saddlevane/models/claim"
	"saddlevane/models/stream"
	"saddlevane/services/dispatch"
)

// driven is one reducer whose events a test chooses one by one.
type driven struct {
	t    *testing.T
	core *dispatch.Core
	now  time.Time
	next int64
}

func newDriven(t *testing.T) *driven {
	t.Helper()
	d := &driven{
		t: t, now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		core: dispatch.New(settings(), claim.Member{Box: "a", Incarnation: "a1", Address: "a"}),
	}
	d.handle(dispatch.ConfigRead{Config: config()})
	d.handle(dispatch.Tick{})
	d.handle(dispatch.AppendEnded{Purpose: dispatch.ForAnnounce})
	d.handle(dispatch.ClaimsRead{Start: true})
	return d
}

func (d *driven) handle(e dispatch.Event) []dispatch.Effect {
	d.now = d.now.Add(time.Millisecond)
	d.core.Handle(d.now, e)
	return d.core.Decide(d.now)
}

// later lets time pass and returns what the next tick asks for.
func (d *driven) later(passed time.Duration) []dispatch.Effect {
	d.now = d.now.Add(passed)
	return d.handle(dispatch.Tick{})
}

// appendFor returns the append for a purpose among some effects, or nil.
func appendFor(effects []dispatch.Effect, p dispatch.Purpose) *dispatch.Append {
	for _, e := range effects {
		if a, ok := e.(dispatch.Append); ok && a.Purpose == p {
			return &a
		}
	}
	return nil
}

func loads(effects []dispatch.Effect) bool {
	for _, e := range effects {
		if _, ok := e.(dispatch.LoadJobs); ok {
			return true
		}
	}
	return false
}

// takeOver lets the reducer claim and returns the append that fences.
func (d *driven) takeOver(wait time.Duration) *dispatch.Append {
	d.t.Helper()
	return d.fences(d.later(wait))
}

// fences confirms the claim that is among some effects, and returns the append that
// fences.
func (d *driven) fences(effects []dispatch.Effect) *dispatch.Append {
	d.t.Helper()
	claiming := appendFor(effects, dispatch.ForClaim)
	assert.Assert(d.t, claiming != nil)
	effects = d.handle(dispatch.AppendEnded{Purpose: dispatch.ForClaim, Number: claiming.Number, Offset: d.next})
	d.next++
	fence := appendFor(effects, dispatch.ForJournal)
	assert.Assert(d.t, fence != nil)
	return fence
}

// claimed has the reducer read another box's claim, and returns what it asks for.
func (d *driven) claimed(c claim.Claim) []dispatch.Effect {
	d.t.Helper()
	value, err := json.Marshal(c)
	assert.NilError(d.t, err)
	d.next++
	return d.handle(dispatch.ClaimsRead{Records: []stream.Record{{Key: "holder", Value: value}}, Next: d.next})
}

func TestTheEndOfAnEarlierAppendConfirmsNothing(t *testing.T) {
	d := newDriven(t)
	first := d.takeOver(time.Second)
	d.claimed(claim.Claim{Epoch: 2, Box: "b", Incarnation: "b1"})
	second := d.fences(d.claimed(claim.Claim{Epoch: 2, Box: "b", Incarnation: "b1", Released: true}))
	effects := d.handle(dispatch.AppendEnded{Purpose: dispatch.ForJournal, Number: first.Number})
	assert.Check(t, !loads(effects), "the jobs are read before the fence is in the log")
	effects = d.handle(dispatch.AppendEnded{Purpose: dispatch.ForJournal, Number: second.Number})
	assert.Check(t, loads(effects))
}

func TestAHolderThatKnowsNoOtherBoxAsksForNoPledges(t *testing.T) {
	d := newDriven(t)
	d.takeOver(time.Second)
	d.handle(dispatch.ClaimsRead{Failed: "down"})
	for range 10 {
		for _, e := range d.later(100 * time.Millisecond) {
			_, asked := e.(dispatch.AskPledges)
			assert.Check(t, !asked)
		}
	}
}
