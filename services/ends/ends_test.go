// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ends_test

import (
	"testing"
	"time"

	"saddlevane/services/ends"

	"gotest.tools/v3/assert"
)

func TestEndIsAcknowledgedOnceItAndAllEarlierEndsAreLogged(t *testing.T) {
	var told ends.Tracker[string]
	first, news := told.Add("w", 1)
	assert.Check(t, news && first.Worker() == "w")
	second, _ := told.Add("w", 2)
	_, again := told.Add("w", 2)
	assert.Check(t, !again)
	second.MarkLogged()
	assert.Check(t, told.HasPending())
	assert.Equal(t, told.Acknowledge(true), int64(0), "the log has the second, not the first")
	first.MarkLogged()
	assert.Check(t, !told.IsLastUnlogged())
	assert.Equal(t, told.Acknowledge(false), int64(0), "a later life may be there")
	told.ConfirmAck()
	assert.Equal(t, told.Acknowledge(true), int64(2))
	assert.Equal(t, told.Acknowledge(true), int64(2), "that look had no answer")
	told.ConfirmAck()
	assert.Equal(t, told.Acknowledge(true), int64(0), "the worker has forgotten them")
	assert.Check(t, !told.HasPending())
}

func TestNewlyOrderedTaskHasNotEnded(t *testing.T) {
	assert.Check(t, !ends.MayHaveEnded(20*time.Millisecond, time.Second))
	assert.Check(t, ends.MayHaveEnded(50*time.Millisecond, time.Second))
	assert.Check(t, ends.MayHaveEnded(20*time.Millisecond, 30*time.Millisecond), "it takes so little")
}
