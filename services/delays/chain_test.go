// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package delays_test

import (
	"testing"
	"time"

	"saddlevane/services/delays"

	"gotest.tools/v3/assert"
)

func TestDelaysOfTheLastChainCount(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	steps := []delays.Done{
		{At: at(5), Delays: delays.Totals{delays.Advice: 1}},
		{At: at(7), Delays: delays.Totals{delays.NoCapacity: 2}},
		{At: at(9), Delays: delays.Totals{delays.NoCapacity: 4}, After: []int{0, 1}},
		{At: at(8), Delays: delays.Totals{delays.Cap: 8}, After: []int{0}},
	}
	totals := delays.Totals{}
	totals.AddChain(steps)
	assert.DeepEqual(t, totals, delays.Totals{delays.NoCapacity: 6})
	totals.AddChain(nil)
	assert.DeepEqual(t, totals, delays.Totals{delays.NoCapacity: 6})
}

func TestOnlyTimeBeforeFirstStartCountsAsWait(t *testing.T) {
	opened := time.Unix(100, 0)
	var w delays.Waits
	w.Record(opened, time.Time{}, false, delays.Cap)
	w = delays.Waits{}
	w.Record(opened.Add(2*time.Second), opened, false, delays.Cap)
	w.Record(opened.Add(3*time.Second), opened, false, delays.Advice)
	w.Record(opened.Add(9*time.Second), opened, true, delays.NoCapacity)
	assert.DeepEqual(t, w.Totals(), delays.Totals{delays.Cap: 2 * time.Second, delays.Advice: time.Second})
}
