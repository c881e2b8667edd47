// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package advicecalls_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/services/advicecalls"

	"gotest.tools/v3/assert"
)

var boxes = map[string]bool{"a": true, "b": true, "c": true, "d": true}

func TestCallsAreSpreadOverBoxes(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	balancer := advicecalls.New[int]("a")
	assigned := map[string]int{}
	for i := range 8 {
		box, ok := balancer.Assign(now, maps.Keys(boxes), advicecalls.BriefCall, advicecalls.MaxQueueTime)
		assert.Assert(t, ok)
		assigned[box]++
		balancer.Begin(box, i)
		now = now.Add(time.Microsecond)
	}
	for box := range boxes {
		assert.Equal(t, assigned[box], 2, "%v", assigned)
	}
	box, ok := balancer.Assign(now, maps.Keys(boxes), time.Second, advicecalls.MaxQueueTime)
	assert.Check(t, ok && box != "a", "a long call must not use the first box, got %s", box)
}

func TestBoxWithOverdueAnswerGetsNoCalls(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	balancer := advicecalls.New[string]("a")
	only := maps.Keys(map[string]bool{"b": true})
	_, ok := balancer.Assign(now, only, advicecalls.BriefCall, 0)
	assert.Check(t, ok)
	number, due := balancer.Begin("a", "late")
	assert.Equal(t, due, now.Add(advicecalls.BriefCall))
	now = now.Add(time.Second)
	assert.DeepEqual(t, slices.Collect(balancer.Overdue(now)), []string{"late"})
	box, _ := balancer.Assign(now, only, advicecalls.BriefCall, 0)
	assert.Equal(t, box, "b")
	c, known := balancer.End("a", number)
	assert.Check(t, known && c == "late")
	_, known = balancer.End("a", number)
	assert.Check(t, !known)
	assert.Equal(t, len(slices.Collect(balancer.Overdue(now))), 0)
}

func TestBoxIsExcludedAfterFailedCall(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	balancer := advicecalls.New[int]("a")
	balancer.RecordRefusal(now, "a")
	balancer.RecordFailure(now, "b")
	balancer.RecordFailure(now, "a")
	assert.Check(t, !balancer.HasFreeBox(now, maps.Keys(map[string]bool{"b": true}), advicecalls.BriefCall, 100*time.Millisecond))
	now = now.Add(5 * time.Second)
	assert.Check(t, balancer.HasFreeBox(now, maps.Keys(map[string]bool{"b": true}), advicecalls.BriefCall, 0))
}

func TestOnlyBriefCallsAreFasterThanStops(t *testing.T) {
	brief := &job.Advice{BaseTime: 11 * time.Millisecond, TimePerWorker: 160 * time.Microsecond}
	long := &job.Advice{BaseTime: 600 * time.Millisecond, TimePerWorker: 8600 * time.Microsecond}
	assert.Check(t, advicecalls.AreFasterThanStops(brief, 200*time.Millisecond))
	assert.Check(t, !advicecalls.AreFasterThanStops(brief, 20*time.Millisecond))
	assert.Check(t, !advicecalls.AreFasterThanStops(long, time.Second), "a few calls in a row take longer than a stop")
}
