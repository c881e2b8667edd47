// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots_test

import (
	"testing"

	"saddlevane/services/slots"

	"gotest.tools/v3/assert"
)

// victim is a task that uses some processors and loses some work when it is stopped.
type victim struct {
	Processors int
	Lost       float64
}

func TestGainsOfMoreAndMoreStops(t *testing.T) {
	type gain struct {
		Tasks, Victims int
		Cost           float64
	}
	for _, c := range []struct {
		name    string
		free    int
		victims []victim
		want    []gain
	}{
		{"no victims", 5, nil, nil},
		{"each stop is enough for a task", 0, []victim{{4, 1}, {4, 3}}, []gain{{1, 1, 1}, {1, 1, 3}}},
		{"a stop is enough for two tasks", 0, []victim{{8, 6}}, []gain{{2, 1, 3}}},
		{"two stops are needed for a task", 0, []victim{{2, 1}, {2, 2}}, []gain{{1, 2, 3}}},
		{"the free rest counts", 6, []victim{{2, 1}, {1, 1}}, []gain{{1, 1, 1}}},
		{"later tasks cost no less", 0, []victim{{4, 5}, {4, 1}}, []gain{{1, 1, 5}, {1, 1, 5}}},
		{"stops that gain nothing are left out", 0, []victim{{3, 1}}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			free := c.free
			var got []gain
			for _, p := range slots.Gains("w1", free/4, c.victims, func(v victim) (int, float64) {
				free += v.Processors
				return free / 4, v.Lost
			}) {
				assert.Equal(t, p.Worker, "w1")
				got = append(got, gain{p.Tasks, len(p.Victims), p.Cost})
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

func TestWorkersWithTheMostFreeCapacityAreEmptied(t *testing.T) {
	type worker struct {
		Name            string
		Free, WhenEmpty int
	}
	workers := []worker{{"a", 0, 4}, {"b", 2, 4}, {"c", 1, 2}, {"d", 2, 3}}
	for _, c := range []struct {
		name   string
		wanted int
		want   string
		enough bool
	}{
		{"nothing is wanted", 0, "", true},
		{"one worker is enough", 4, "b", true},
		{"equal workers keep their order", 5, "bd", true},
		{"less free capacity comes later", 8, "bdc", true},
		{"all workers", 13, "bdca", true},
		{"more than all have", 14, "bdca", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := append([]worker(nil), workers...)
			chosen, enough := slots.ChooseToEmpty(all, c.wanted,
				func(w worker) int { return w.Free }, func(w worker) int { return w.WhenEmpty })
			names := ""
			for _, w := range chosen {
				names += w.Name
			}
			assert.Equal(t, names, c.want)
			assert.Equal(t, enough, c.enough)
		})
	}
}

func TestAddedTasksOfAWorkerAreOneAllocation(t *testing.T) {
	var allocations []slots.Allocation[string]
	allocations = slots.Add(allocations, "w1", 2)
	allocations = slots.Add(allocations, "w2", 1)
	allocations = slots.Add(allocations, "w1", 3)
	assert.DeepEqual(t, allocations, []slots.Allocation[string]{{"w1", 5}, {"w2", 1}})
}
