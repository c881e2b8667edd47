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

// found is within which time a crash is found.
const found = time.Second

func TestHowALifeEnded(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, c := range []struct {
		name string
		seen func(p *presence.Presence)
		over bool
		want exchange.Ending
	}{
		{"another life answers at its address", func(p *presence.Presence) { p.Silent(now, found) }, true, exchange.Crashed},
		{"it is silent, and its entry goes", func(p *presence.Presence) {
			p.Silent(now, found)
			p.Missing(now.Add(time.Second), false)
		}, false, exchange.Crashed},
		{"its entry goes just before its silence is found", func(p *presence.Presence) {
			p.Missing(now, false)
			p.Silent(now.Add(found/2), found)
		}, false, exchange.Crashed},
		{"it is silent, and listed", func(p *presence.Presence) { p.Silent(now, found) }, false, exchange.CutOff},
		{"it was leaving", func(p *presence.Presence) {
			p.Entry(true)
			p.Silent(now, found)
		}, true, exchange.Left},
		{"its entry went while it answered", func(p *presence.Presence) {
			p.Missing(now, false)
			p.Silent(now.Add(3*time.Second), found)
		}, true, exchange.Left},
		{"its entry was back before", func(p *presence.Presence) {
			p.Missing(now, true)
			p.Entry(false)
			p.Silent(now.Add(3*time.Second), found)
		}, true, exchange.Crashed},
	} {
		var p presence.Presence
		p.Entry(false)
		c.seen(&p)
		assert.Equal(t, p.Ended(c.over), c.want, c.name)
	}
}

func TestAnEntryThatMayBeBackIsGivenUpOnce(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var p presence.Presence
	assert.Check(t, !p.Listed())
	p.Entry(false)
	assert.Check(t, !p.GiveUp(), "it is not missing")
	p.Missing(now, true)
	assert.Check(t, p.Listed())
	assert.Check(t, p.GiveUp() && !p.Listed() && !p.GiveUp())
}

func TestAnAnswerEndsASilence(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var p presence.Presence
	p.Silent(now, found)
	assert.Equal(t, p.SilentSince(), now)
	assert.Check(t, p.Answers() && !p.Answers())
	assert.Check(t, p.SilentSince().IsZero())
}
