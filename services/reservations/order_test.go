// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package reservations_test

import (
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/services/reservations"

	"gotest.tools/v3/assert"
)

func TestOnlyLaterReservationsOfAWorkerAreSummed(t *testing.T) {
	for _, c := range []struct {
		name    string
		removed []string
		gang    string
		want    int64
	}{
		{"first", nil, "a", 6},
		{"second", nil, "b", 4},
		{"last", nil, "c", 0},
		{"later one removed", []string{"b"}, "a", 4},
		{"earlier one removed", []string{"a"}, "b", 4},
		{"only one", []string{"a", "c"}, "b", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var order reservations.Order[string]
			order.Add("a", resource.Vector{Accelerators: 1})
			order.Add("b", resource.Vector{Accelerators: 2})
			order.Add("c", resource.Vector{Accelerators: 4})
			for _, gang := range c.removed {
				order.Remove(gang)
			}
			assert.Equal(t, order.After(c.gang), resource.Vector{Accelerators: c.want})
		})
	}
}

func TestGangsThatReserveAreLimitedByTheWorkers(t *testing.T) {
	for _, c := range []struct {
		name             string
		workers, largest int
	}{
		{"few workers", 24, 3},
		{"one more gang", 25, 4},
		{"many workers", 1000, 43},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := reservations.New()
			for i := range c.largest {
				assert.Check(t, tracker.MayBegin(c.workers), "gang %d", i)
				tracker.Begin(time.Time{}, job.StepID{Job: "gangs", Step: i}, resource.Processor)
			}
			assert.Check(t, !tracker.MayBegin(c.workers))
		})
	}
}
