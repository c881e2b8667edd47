// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package transit_test

import (
	"testing"
	"time"

	"saddlevane/services/transit"

	"gotest.tools/v3/assert"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func TestEndsAreAcknowledgedOnceNoStartIsInTransit(t *testing.T) {
	var starts transit.Starts
	var hold transit.Hold
	hold.Extend(starts.Until())
	assert.Check(t, !hold.Applies(now, 1, 500), "every start was answered")
	starts.RecordUnanswered(now)
	starts.RecordUnanswered(now.Add(-time.Second))
	hold.Extend(starts.Until())
	hold.Extend(now)
	assert.Check(t, hold.Applies(now.Add(transit.MaxDelay-time.Millisecond), 1, 500))
	assert.Check(t, !hold.Applies(now.Add(transit.MaxDelay), 1, 500))
}

func TestEndsAreAcknowledgedBeforeTheListOfEndsIsFull(t *testing.T) {
	var hold transit.Hold
	hold.Extend(now.Add(time.Second))
	assert.Check(t, hold.Applies(now, 249, 500))
	assert.Check(t, !hold.Applies(now, 250, 500))
	assert.Check(t, hold.Applies(now, 100_000, 0), "reports list any number of ends")
}
