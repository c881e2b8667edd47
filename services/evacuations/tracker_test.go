// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package evacuations_test

import (
	"testing"
	"time"

	"saddlevane/models/evacuation"
	"saddlevane/services/evacuations"

	"gotest.tools/v3/assert"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func change(domain string, requested bool, offset int64) evacuation.Change {
	return evacuation.Change{Domain: domain, Requested: requested, Offset: offset}
}

func TestTrackerAppliesUpdates(t *testing.T) {
	for _, c := range []struct {
		name    string
		updates []evacuation.Update
		want    []string
	}{
		{"requests add up", []evacuation.Update{
			{Complete: true, Next: 1, Changes: []evacuation.Change{change("b", true, 0)}},
			{Next: 2, Changes: []evacuation.Change{change("a", true, 1)}},
		}, []string{"a", "b"}},
		{"a request is withdrawn and made again", []evacuation.Update{
			{Next: 3, Changes: []evacuation.Change{change("a", true, 0), change("a", false, 1), change("a", true, 2)}},
		}, []string{"a"}},
		{"a complete update ends what it does not name", []evacuation.Update{
			{Next: 1, Changes: []evacuation.Change{change("a", true, 0)}},
			{Complete: true, Next: 2},
		}, nil},
		{"an older complete update changes nothing", []evacuation.Update{
			{Next: 5, Changes: []evacuation.Change{change("a", true, 4)}},
			{Complete: true, Next: 4},
		}, []string{"a"}},
		{"an older record changes nothing", []evacuation.Update{
			{Next: 5, Changes: []evacuation.Change{change("a", true, 4)}},
			{Next: 5, Changes: []evacuation.Change{change("a", false, 3)}},
		}, []string{"a"}},
		{"an unreadable record in a complete update changes nothing", []evacuation.Update{
			{Next: 1, Changes: []evacuation.Change{change("a", true, 0)}},
			{Complete: true, Next: 2, Unreadable: map[string]string{"a": "bad"}},
		}, []string{"a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tracker evacuations.Tracker
			for _, u := range c.updates {
				tracker.Apply(now, u)
			}
			assert.DeepEqual(t, tracker.Domains(), c.want)
		})
	}
}

func TestTrackerReturnsTransitions(t *testing.T) {
	var tracker evacuations.Tracker
	first := tracker.Apply(now, evacuation.Update{Next: 2, Changes: []evacuation.Change{change("b", true, 0), change("a", true, 1)}})
	assert.DeepEqual(t, first, []evacuations.Transition{{Domain: "a", Started: true}, {Domain: "b", Started: true}})
	again := tracker.Apply(now.Add(time.Second), evacuation.Update{Next: 3, Changes: []evacuation.Change{change("a", true, 2)}})
	assert.Equal(t, len(again), 0)
	assert.Equal(t, tracker.Since("a"), now, "a repeated request does not begin anew")
	last := tracker.Apply(now, evacuation.Update{Next: 4, Changes: []evacuation.Change{change("a", false, 3)}})
	assert.DeepEqual(t, last, []evacuations.Transition{{Domain: "a"}})
	assert.Assert(t, tracker.Includes("b") && !tracker.Includes("a"))
}
