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
		over bool
		want exchange.Ending
	}{
		{"another life answers at its address", func(p *presence.Presence) { p.RecordUnresponsive(now, detectionTime) }, true, exchange.Crashed},
		{"its entry is removed after it fell silent", func(p *presence.Presence) {
			p.RecordUnresponsive(now, detectionTime)
			p.RecordMissing(now.Add(time.Second), false)
		}, false, exchange.Crashed},
		{"its entry is removed just before its silence is detected", func(p *presence.Presence) {
			p.RecordMissing(now, false)
			p.RecordUnresponsive(now.Add(detectionTime/2), detectionTime)
		}, false, exchange.Crashed},
		{"it is silent and still listed", func(p *presence.Presence) { p.RecordUnresponsive(now, detectionTime) }, false, exchange.CutOff},
		{"it was leaving", func(p *presence.Presence) {
			p.RecordEntry(true)
			p.RecordUnresponsive(now, detectionTime)
		}, true, exchange.Left},
		{"its entry was removed while it answered", func(p *presence.Presence) {
			p.RecordMissing(now, false)
			p.RecordUnresponsive(now.Add(3*time.Second), detectionTime)
		}, true, exchange.Left},
		{"its entry was missing but came back before the silence", func(p *presence.Presence) {
			p.RecordMissing(now, true)
			p.RecordEntry(false)
			p.RecordUnresponsive(now.Add(3*time.Second), detectionTime)
		}, true, exchange.Crashed},
	} {
		var p presence.Presence
		p.RecordEntry(false)
		c.seen(&p)
		assert.Equal(t, p.Ending(c.over), c.want, c.name)
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
