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

func TestTotalsSumIdleProcessorSecondsByOutcome(t *testing.T) {
	tracker := reservations.New()
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	first, second := job.StepID{Job: "first"}, job.StepID{Job: "second"}
	tracker.Begin(now, first, 100*resource.Processor)
	tracker.Begin(now.Add(time.Second), second, 50*resource.Processor)
	assert.Equal(t, tracker.Len(), 2)
	assert.Equal(t, tracker.Processors(), 150*resource.Processor)
	tracker.End(now.Add(2*time.Second), first, reservations.Started)
	tracker.End(now.Add(4*time.Second), second, reservations.TicketsNotReceived)
	// A step without a reservation changes nothing.
	tracker.End(now.Add(5*time.Second), second, reservations.StepEnded)
	assert.Equal(t, tracker.Len(), 0)
	assert.DeepEqual(t, tracker.TakeTotals(), map[reservations.Outcome]reservations.Total{
		reservations.Started: {Count: 1, IdleProcessorSeconds: 200}, reservations.TicketsNotReceived: {Count: 1, IdleProcessorSeconds: 150},
	})
	assert.Equal(t, len(tracker.TakeTotals()), 0, "the totals are reset when they are taken")
}
