// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package advicecalls_test

import (
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/services/advicecalls"

	"gotest.tools/v3/assert"
)

func TestWantedSlotsGrowWhileAGangWaits(t *testing.T) {
	for _, c := range []struct {
		name   string
		waited time.Duration
		ample  bool
		want   float64
	}{
		{"not open yet", 0, false, 20},
		{"opens later", -time.Second, false, 20},
		{"after two seconds", 2 * time.Second, false, 30},
		{"limit", time.Minute, false, 35},
		{"ample capacity after two seconds", 2 * time.Second, true, 30},
		{"limit with ample capacity", time.Minute, true, 120},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, advicecalls.WantedSlots(10, c.waited, c.ample), c.want)
		})
	}
}

func TestWorkersAreNamedForTheMissingSlots(t *testing.T) {
	q := &job.Advice{BaseTime: 80 * time.Millisecond, TimePerWorker: 5 * time.Millisecond}
	for _, c := range []struct {
		name           string
		missing        float64
		slotsPerWorker int
		suitableShare  float64
		want           int
	}{
		{"fewest workers of a call", 1, 10, 1, 4},
		{"rounded up", 41, 4, 1, 11},
		{"half of the workers are suitable", 40, 4, 0.5, 20},
		{"no worker has a slot", 12, 0, 1, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, advicecalls.WorkersForSlots(q, c.missing, c.slotsPerWorker, c.suitableShare), c.want)
		})
	}
}

func TestARequestNamesWorkersForTheUnplacedTasks(t *testing.T) {
	q := &job.Advice{BaseTime: 80 * time.Millisecond, TimePerWorker: 5 * time.Millisecond}
	for _, c := range []struct {
		name          string
		unplacedTasks int
		suitableShare float64
		freeSlots     int
		want          int
	}{
		{"fewest workers of a call", 1, 1, 2, 4},
		{"half as many slots again as tasks", 10, 1, 1, 15},
		{"half of the workers are suitable", 10, 0.5, 1, 30},
		{"full workers count for little", 2, 0.7, 0, 15},
		{"most workers of a request", 100, 1, 1, 60},
	} {
		t.Run(c.name, func(t *testing.T) {
			naming := advicecalls.NewNaming(q, c.unplacedTasks, 0, c.suitableShare)
			named := 0
			for ; !naming.IsEnough(); named++ {
				naming.Add(c.freeSlots)
			}
			assert.Equal(t, named, c.want)
		})
	}
}

func TestEqualCallsAreFewAndOfAboutTheSameSize(t *testing.T) {
	for workers, want := range map[int]int{1: 1, 64: 64, 65: 33, 128: 64, 129: 43} {
		assert.Equal(t, advicecalls.EqualCalls(workers), want, "%d workers", workers)
	}
}
