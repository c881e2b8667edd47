// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loglimit_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/modules/loglimit"

	"gotest.tools/v3/assert"
)

func TestFirstEventOfEachKeyAndIntervalIsTaken(t *testing.T) {
	l := loglimit.New(time.Minute, 2)
	begin := time.Unix(1796408279, 0)
	for _, step := range []struct {
		at      time.Duration
		key     string
		omitted int
		ok      bool
	}{
		{0, "a", 0, true},
		{0, "a", 0, false},
		{time.Second, "b", 1, true},
		{2 * time.Second, "c", 0, false},
		{59 * time.Second, "a", 0, false},
		{time.Minute, "a", 2, true},
		{time.Minute, "c", 0, true},
		{90 * time.Second, "c", 0, false},
		// The clock was set back.
		{time.Second, "c", 1, true},
	} {
		omitted, ok := l.Take(begin.Add(step.at), step.key)
		assert.Equal(t, ok, step.ok, "%v %s", step.at, step.key)
		assert.Equal(t, omitted, step.omitted, "%v %s", step.at, step.key)
	}
}

func TestNoEventIsLeftUncounted(t *testing.T) {
	l := loglimit.New(time.Second, 3)
	begin, logged, counted := time.Unix(1796408279, 0), 0, 0
	for i := range 10_000 {
		if omitted, ok := l.Take(begin.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i)); ok {
			logged, counted = logged+1, counted+1+omitted
		}
	}
	assert.Equal(t, logged, 30)
	// The last interval's omissions are reported with the next event that is taken.
	omitted, ok := l.Take(begin.Add(time.Minute), "last")
	assert.Check(t, ok)
	assert.Equal(t, counted+omitted, 10_000)
}
