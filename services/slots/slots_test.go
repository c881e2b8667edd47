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
	open := []slots.Allocation[string]{{"b1", 2}, {"a1", 3}, {"b2", 4}, {"a2", 1}}
	taken, tasks := slots.FillInOrder(open, 4)
	assert.Equal(t, tasks, 4)
	assert.DeepEqual(t, taken, []slots.Allocation[string]{{"b1", 2}, {"a1", 2}})
	assert.Equal(t, slots.Format(taken, func(w string) string { return w }), "b1:2 a1:2")
	_, tasks = slots.FillInOrder(open, 99)
	assert.Equal(t, tasks, 10)
	rack := func(w string) string { return w[:1] }
	taken, found := slots.FillInOneGroup(open, 4, rack)
	assert.Check(t, found)
	assert.DeepEqual(t, taken, []slots.Allocation[string]{{"a1", 3}, {"a2", 1}})
	taken, found = slots.FillInOneGroup(open, 6, rack)
	assert.Check(t, found)
	assert.DeepEqual(t, taken, []slots.Allocation[string]{{"b1", 2}, {"b2", 4}})
	_, found = slots.FillInOneGroup(open, 7, rack)
	assert.Check(t, !found)
}

func TestCheapestPreemptionsAreTakenUntilTasksFit(t *testing.T) {
	gain := func(worker string, tasks int, cost float64, ticketed bool) slots.Preemption[string, int] {
		return slots.Preemption[string, int]{Allocation: slots.Allocation[string]{Worker: worker, Tasks: tasks}, Cost: cost, HasTicket: ticketed}
	}
	gains := []slots.Preemption[string, int]{gain("d", 1, 2, true), gain("c", 1, 0, false), gain("b", 2, 0, false), gain("a", 1, 0, true)}
	assert.Equal(t, slots.TotalTasks(gains), 5)
	names := ""
	for _, g := range slots.Cheapest(gains, 4, strings.Compare) {
		names += g.Worker
	}
	assert.Equal(t, names, "abc")
	assert.Equal(t, len(slots.Cheapest(gains, 9, strings.Compare)), 4)
}
