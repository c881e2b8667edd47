// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package slots_test

import (
	"strings"
	"testing"

	"saddlevane/services/slots"

	"gotest.tools/v3/assert"
)

func TestTasksFillWorkersInOrderOrWithinOneGroup(t *testing.T) {
	available := []slots.Allocation[string]{{"b1", 2}, {"a1", 3}, {"b2", 4}, {"a2", 1}}
	allocated, tasks := slots.FillInOrder(available, 4)
	assert.Equal(t, tasks, 4)
	assert.DeepEqual(t, allocated, []slots.Allocation[string]{{"b1", 2}, {"a1", 2}})
	assert.Equal(t, slots.Format(allocated, func(w string) string { return w }), "b1:2 a1:2")
	_, tasks = slots.FillInOrder(available, 99)
	assert.Equal(t, tasks, 10)
	rack := func(w string) string { return w[:1] }
	allocated, found := slots.FillInOneGroup(available, 4, rack)
	assert.Check(t, found)
	assert.DeepEqual(t, allocated, []slots.Allocation[string]{{"a1", 3}, {"a2", 1}})
	allocated, found = slots.FillInOneGroup(available, 6, rack)
	assert.Check(t, found)
	assert.DeepEqual(t, allocated, []slots.Allocation[string]{{"b1", 2}, {"b2", 4}})
	_, found = slots.FillInOneGroup(available, 7, rack)
	assert.Check(t, !found)
}

func TestCheapestPreemptionsAreTakenUntilTasksFit(t *testing.T) {
	option := func(worker string, tasks int, cost float64, hasTicket bool) slots.Preemption[string, int] {
		return slots.Preemption[string, int]{Allocation: slots.Allocation[string]{Worker: worker, Tasks: tasks}, Cost: cost, HasTicket: hasTicket}
	}
	options := []slots.Preemption[string, int]{option("d", 1, 2, true), option("c", 1, 0, false), option("b", 2, 0, false), option("a", 1, 0, true)}
	assert.Equal(t, slots.TotalTasks(options), 5)
	names := ""
	for _, p := range slots.Cheapest(options, 4, strings.Compare) {
		names += p.Worker
	}
	assert.Equal(t, names, "abc")
	assert.Equal(t, len(slots.Cheapest(options, 9, strings.Compare)), 4)
}
