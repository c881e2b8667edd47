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
	b := reservations.New()
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	first, second := job.StepID{Job: "first"}, job.StepID{Job: "second"}
	b.Begin(now, first, 100*resource.Processor)
	b.Begin(now.Add(time.Second), second, 50*resource.Processor)
	assert.Equal(t, b.Len(), 2)
	assert.Equal(t, b.Processors(), 150*resource.Processor)
	b.End(now.Add(2*time.Second), first, reservations.Started)
	b.End(now.Add(4*time.Second), second, reservations.TicketsNotReceived)
	// What was not held changes nothing.
	b.End(now.Add(5*time.Second), second, reservations.StepEnded)
	assert.Equal(t, b.Len(), 0)
	assert.DeepEqual(t, b.TakeTotals(), map[reservations.Outcome]reservations.Total{
		reservations.Started: {Count: 1, IdleProcessorSeconds: 200}, reservations.TicketsNotReceived: {Count: 1, IdleProcessorSeconds: 150},
	})
	assert.Equal(t, len(b.TakeTotals()), 0, "it is told once")
}
