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

func TestABookSumsUpTheRoomThatWasKeptIdle(t *testing.T) {
	b := reservations.New()
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	first, second := job.StepID{Job: "first"}, job.StepID{Job: "second"}
	b.Begin(now, first, 100*resource.Processor)
	b.Begin(now.Add(time.Second), second, 50*resource.Processor)
	assert.Equal(t, b.Len(), 2)
	assert.Equal(t, b.Room(), 150*resource.Processor)
	b.End(now.Add(2*time.Second), first, reservations.Started)
	b.End(now.Add(4*time.Second), second, reservations.Unticketed)
	// What was not held changes nothing.
	b.End(now.Add(5*time.Second), second, reservations.Ended)
	assert.Equal(t, b.Len(), 0)
	assert.DeepEqual(t, b.Take(), map[reservations.Outcome]reservations.Sum{
		reservations.Started: {Count: 1, Idle: 200}, reservations.Unticketed: {Count: 1, Idle: 150},
	})
	assert.Equal(t, len(b.Take()), 0, "it is told once")
}
