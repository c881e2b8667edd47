// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package endreports_test

import (
	"testing"
	"time"

	"saddlevane/services/endreports"

	"gotest.tools/v3/assert"
)

func TestEndIsAcknowledgedOnceItAndAllEarlierEndsAreLogged(t *testing.T) {
	var tracker endreports.Tracker[string]
	first, isNew := tracker.Add("w", 1)
	assert.Check(t, isNew && first.Worker() == "w")
	second, _ := tracker.Add("w", 2)
	_, isNewAgain := tracker.Add("w", 2)
	assert.Check(t, !isNewAgain)
	second.MarkLogged()
	assert.Check(t, tracker.HasPending())
	assert.Equal(t, tracker.Acknowledge(true), int64(0), "the second end is logged, but not the first")
	assert.Check(t, tracker.HasUnlogged(), "the first end still waits for the log")
	assert.Check(t, !tracker.HasLogged(), "the second end cannot be acknowledged before the first")
	first.MarkLogged()
	assert.Check(t, !tracker.HasUnlogged() && tracker.HasLogged())
	assert.Equal(t, tracker.Acknowledge(false), int64(0), "a later incarnation may receive the renewal")
	tracker.ConfirmAck()
	assert.Equal(t, tracker.Acknowledge(true), int64(2))
	assert.Equal(t, tracker.Acknowledge(true), int64(2), "the last renewal was not answered")
	tracker.ConfirmAck()
	assert.Equal(t, tracker.Acknowledge(true), int64(0), "the worker has received the acknowledgement")
	assert.Check(t, !tracker.HasPending() && !tracker.HasLogged())
}

func TestNewlyOrderedTaskHasNotEnded(t *testing.T) {
	assert.Check(t, !endreports.MayHaveEnded(20*time.Millisecond, time.Second))
	assert.Check(t, endreports.MayHaveEnded(50*time.Millisecond, time.Second))
	assert.Check(t, endreports.MayHaveEnded(20*time.Millisecond, 30*time.Millisecond), "a quarter of the usual run time is less than 20 ms")
}

// A new holder receives the ends from the first one on that the earlier holder has not acknowledged.
func TestEndsAcknowledgedByAnEarlierHolderDoNotCountAsUnacknowledged(t *testing.T) {
	var tracker endreports.Tracker[string]
	var reports []*endreports.Report[string]
	for number := int64(101); number <= 103; number++ {
		r, _ := tracker.Add("w", number)
		reports = append(reports, r)
	}
	assert.Equal(t, tracker.Unacknowledged(), 3)
	reports[0].MarkLogged()
	assert.Equal(t, tracker.Acknowledge(true), int64(101))
	assert.Equal(t, tracker.Unacknowledged(), 3, "the worker may not have received the acknowledgement")
	tracker.ConfirmAck()
	assert.Equal(t, tracker.Unacknowledged(), 2)
}
