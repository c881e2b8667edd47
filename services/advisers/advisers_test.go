// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package advisers_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"saddlevane/services/advisers"

	"gotest.tools/v3/assert"
)

var boxes = map[string]bool{"a": true, "b": true, "c": true, "d": true}

func TestCallsAreSpreadOverTheBoxes(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	all := advisers.New[int]("a")
	given := map[string]int{}
	for i := range 8 {
		box, ok := all.Choose(now, maps.Keys(boxes), advisers.Brief, advisers.Queue)
		assert.Assert(t, ok)
		given[box]++
		all.Begin(box, i)
		now = now.Add(time.Microsecond)
	}
	for box := range boxes {
		assert.Equal(t, given[box], 2, "%v", given)
	}
	box, ok := all.Choose(now, maps.Keys(boxes), time.Second, advisers.Queue)
	assert.Check(t, ok && box != "a", "a call that takes long keeps off the first box: %s", box)
}

func TestABoxThatOwesAnAnswerIsPassedOver(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	all := advisers.New[string]("a")
	only := maps.Keys(map[string]bool{"b": true})
	_, ok := all.Choose(now, only, advisers.Brief, 0)
	assert.Check(t, ok)
	number, due := all.Begin("a", "late")
	assert.Equal(t, due, now.Add(advisers.Brief))
	now = now.Add(time.Second)
	assert.DeepEqual(t, slices.Collect(all.Overdue(now)), []string{"late"})
	box, _ := all.Choose(now, only, advisers.Brief, 0)
	assert.Equal(t, box, "b")
	c, known := all.End("a", number)
	assert.Check(t, known && c == "late")
	_, known = all.End("a", number)
	assert.Check(t, !known)
	assert.Equal(t, len(slices.Collect(all.Overdue(now))), 0)
}

func TestABoxThroughWhichACallFailedIsLeftOut(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	all := advisers.New[int]("a")
	all.Refused(now, "a")
	all.Failed(now, "b")
	all.Failed(now, "a")
	assert.Check(t, !all.Free(now, maps.Keys(map[string]bool{"b": true}), advisers.Brief, 100*time.Millisecond))
	now = now.Add(5 * time.Second)
	assert.Check(t, all.Free(now, maps.Keys(map[string]bool{"b": true}), advisers.Brief, 0))
}
