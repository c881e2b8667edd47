// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package presence_test

import (
	"testing"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/services/presence"

	"gotest.tools/v3/assert"
)

// detectionTime is the time within which a crash is detected.
const detectionTime = time.Second

func TestEndingOfIncarnation(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, c := range []struct {
		name string
		seen func(p *presence.Presence)
		// ended is the ending if another incarnation has answered, lapsed the one if only the lease is over,
		// and replaced the same if another incarnation is listed as well.
		ended, lapsed, replaced exchange.Ending
	}{
		{"it is silent and still listed", func(p *presence.Presence) {
			p.RecordUnresponsive(now, detectionTime)
		}, exchange.Crashed, exchange.CutOff, exchange.Missing},
		{"its entry is removed after it fell silent", func(p *presence.Presence) {
			p.RecordUnresponsive(now, detectionTime)
			p.RecordMissing(now.Add(time.Second), false)
		}, exchange.Crashed, exchange.Missing, exchange.Missing},
		{"its entry is removed just before its silence is detected", func(p *presence.Presence) {
			p.RecordMissing(now, false)
			p.RecordUnresponsive(now.Add(detectionTime/2), detectionTime)
		}, exchange.Crashed, exchange.Missing, exchange.Missing},
		{"it was leaving", func(p *presence.Presence) {
			p.RecordEntry(true)
			p.RecordUnresponsive(now, detectionTime)
		}, exchange.Left, exchange.Left, exchange.Left},
		{"its entry was removed while it answered", func(p *presence.Presence) {
			p.RecordMissing(now, false)
			p.RecordUnresponsive(now.Add(3*time.Second), detectionTime)
		}, exchange.Left, exchange.Left, exchange.Left},
		{"its entry was missing but came back before the silence", func(p *presence.Presence) {
			p.RecordMissing(now, true)
			p.RecordEntry(false)
			p.RecordUnresponsive(now.Add(3*time.Second), detectionTime)
		}, exchange.Crashed, exchange.CutOff, exchange.Missing},
	} {
		var p presence.Presence
		p.RecordEntry(false)
		c.seen(&p)
		assert.Equal(t, p.Ending(), c.ended, c.name)
		assert.Equal(t, p.LapsedEnding(false), c.lapsed, c.name)
		assert.Equal(t, p.LapsedEnding(true), c.replaced, c.name)
	}
}

func TestMissingEntryIsUnlistedOnce(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var p presence.Presence
	assert.Check(t, !p.IsListed())
	p.RecordEntry(false)
	assert.Check(t, !p.UnlistMissing(), "its entry is not missing")
	p.RecordMissing(now, true)
	assert.Check(t, p.IsListed())
	assert.Check(t, p.UnlistMissing() && !p.IsListed() && !p.UnlistMissing())
}

func TestAnswerEndsSilence(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var p presence.Presence
	p.RecordUnresponsive(now, detectionTime)
	assert.Equal(t, p.UnresponsiveSince(), now)
	assert.Check(t, p.RecordAnswer() && !p.RecordAnswer())
	assert.Check(t, p.UnresponsiveSince().IsZero())
}
