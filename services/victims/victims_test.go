// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package victims_test

import (
	"testing"
	"time"

	"saddlevane/models/resource"
	"saddlevane/services/ranking"
	"saddlevane/services/victims"

	"gotest.tools/v3/assert"
)

func TestStopsLoseTheWorkSinceTheLastCheckpoint(t *testing.T) {
	for _, c := range []struct {
		name string
		run  victims.Run
		want float64
	}{
		{"without checkpoints", victims.Run{Ran: 10 * time.Second}, 40},
		{"with checkpoints", victims.Run{Ran: 10 * time.Second, Checkpoints: true}, 4},
		{"before the first checkpoint", victims.Run{Ran: 500 * time.Millisecond, Checkpoints: true}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.run.LostWork(4*resource.Processor), c.want)
		})
	}
}

func TestTasksWithoutCheckpointsStartAgainOnlyEarly(t *testing.T) {
	for _, c := range []struct {
		name     string
		run      victims.Run
		expected time.Duration
		want     bool
	}{
		{"with checkpoints", victims.Run{Ran: time.Minute, Checkpoints: true}, time.Second, true},
		{"just started", victims.Run{Ran: time.Second}, 2 * time.Second, true},
		{"has run too long", victims.Run{Ran: time.Second + 1}, time.Minute, false},
		{"short step", victims.Run{}, 2*time.Second - 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.run.MayStartAgain(c.expected), c.want)
		})
	}
}

func TestRunsThatJustResumedOrEndSoonAreSpared(t *testing.T) {
	for _, c := range []struct {
		name      string
		run       victims.Run
		remaining time.Duration
		want      bool
	}{
		{"just resumed", victims.Run{Ran: 2*time.Second - 1, Resumed: true}, time.Minute, true},
		{"resumed for long enough", victims.Run{Ran: 2 * time.Second, Resumed: true}, time.Minute, false},
		{"just started", victims.Run{}, time.Minute, false},
		{"ends as soon as it would stop", victims.Run{Ran: time.Minute}, 1500*time.Millisecond - 1, true},
		{"ends later than it would stop", victims.Run{Ran: time.Minute}, 1500 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.run.IsSpared(c.remaining, time.Second), c.want)
		})
	}
}

func TestStepsTakeFromWorseTiersAndFromLowerPrioritiesWithSlack(t *testing.T) {
	step := ranking.Rank{Tier: ranking.OnTime, Priority: 1}
	borrower := ranking.Rank{Tier: ranking.OnTime, Priority: 1, OverShare: true}
	lower := ranking.Rank{Tier: ranking.OnTime, Priority: 2}
	lowerBorrower := ranking.Rank{Tier: ranking.OnTime, Priority: 2, OverShare: true}
	for _, c := range []struct {
		name        string
		step, other ranking.Rank
		slack       time.Duration
		ample       bool
		want        bool
	}{
		{"worse tier", step, ranking.Rank{Tier: ranking.Late}, 0, false, true},
		{"worse tier, from within its share", borrower, ranking.Rank{Tier: ranking.Late}, 0, false, true},
		{"same priority", step, step, time.Minute, true, false},
		{"lower priority with slack", step, lower, 2*time.Second + 1, false, true},
		{"lower priority without slack", step, lower, 2 * time.Second, false, false},
		{"lower priority without slack, ample capacity", step, lower, 0, true, true},
		{"lower priority within its share", borrower, lower, time.Minute, true, false},
		{"both over their shares", borrower, lowerBorrower, time.Minute, false, true},
		{"better tier of lower priority", ranking.Rank{Tier: ranking.Late, Priority: 1}, lower, time.Minute, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, victims.MayTakeFrom(c.step, c.other, c.slack, c.ample), c.want)
		})
	}
}
