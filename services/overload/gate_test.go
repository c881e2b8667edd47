// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package overload_test

import (
	"fmt"
	"testing"
	"time"

	"saddlevane/services/overload"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// updateRepeatedly has some looks 100 ms apart between which something waited that long.
func updateRepeatedly(g *overload.Gate, now time.Time, count int, age time.Duration) time.Time {
	for range count {
		g.RecordQueueAge(age)
		g.RecordQueueAge(ms)
		g.Update(now)
		now = now.Add(100 * ms)
	}
	return now
}

// countAdmitted returns how many of 1,000 jobs are taken.
func countAdmitted(t *testing.T, g *overload.Gate, now time.Time) (count int) {
	t.Helper()
	for i := range 1000 {
		ok, after := g.Admit(now, fmt.Sprint("job", i))
		if ok {
			count++
			continue
		}
		assert.Check(t, after >= time.Second && after <= 3*time.Second, "%v", after)
	}
	return count
}

func TestAdmittedShareFollowsQueueAge(t *testing.T) {
	begin := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, c := range []struct {
		name string
		// late and calm are how many looks found 0.5 s, then 20 ms.
		late, calm  int
		least, most int
	}{
		{"as usual", 0, 20, 1000, 1000},
		{"held up once", 1, 0, 1000, 1000},
		{"held up for 0.4 s", 4, 0, 1000, 1000},
		{"behind for half a second", 5, 0, 860, 940},
		{"behind for a second", 10, 0, 480, 580},
		{"behind for long", 100, 0, 30, 70},
		{"behind, then calm for a second", 10, 10, 670, 790},
		{"behind, then calm for three", 10, 30, 1000, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := &overload.Gate{}
			now := updateRepeatedly(g, begin, c.late, 500*ms)
			now = updateRepeatedly(g, now, c.calm, 20*ms)
			got := countAdmitted(t, g, now)
			assert.Check(t, got >= c.least && got <= c.most, "%d of 1,000", got)
			assert.Equal(t, g.IsRefusing(), got < 1000)
		})
	}
}

// Callers who are refused together must not come back together.
func TestRetryTimesOfRefusedJobsAreSpread(t *testing.T) {
	g := &overload.Gate{}
	now := updateRepeatedly(g, time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), 100, time.Second)
	seconds := map[int]int{}
	for i := range 1000 {
		if ok, after := g.Admit(now, fmt.Sprint("job", i)); !ok {
			seconds[int(after/(500*ms))]++
		}
	}
	for _, part := range []int{2, 3, 4, 5} {
		assert.Check(t, seconds[part] > 180, "%v", seconds)
	}
}

func TestRefusedJobIsEventuallyAdmittedOnRetry(t *testing.T) {
	g := &overload.Gate{}
	now := updateRepeatedly(g, time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), 8, time.Second)
	for i := range 100 {
		got := false
		for second := range 30 {
			ok, _ := g.Admit(now.Add(time.Duration(second)*time.Second), fmt.Sprint("job", i))
			got = got || ok
		}
		assert.Check(t, got, "job %d was refused 30 times at a share of %.2f", i, g.AdmittedShare())
	}
}

func TestUpdateReportsEachChangeOnce(t *testing.T) {
	g := &overload.Gate{}
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	changes := 0
	for i := range 100 {
		if i < 20 {
			g.RecordQueueAge(time.Second)
		}
		if g.Update(now) {
			changes++
		}
		now = now.Add(100 * ms)
	}
	assert.Equal(t, changes, 2)
}

// What waits for the processor or in a full link waits in no queue of the holder.
func TestSlowWorkerAnswersCauseRefusals(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for usual, behind := range map[time.Duration]bool{30 * ms: false, 450 * ms: false, 900 * ms: true} {
		g := &overload.Gate{}
		for i := range 10 {
			g.RecordResponseTime(usual)
			g.Update(now.Add(time.Duration(i) * 100 * ms))
		}
		assert.Equal(t, g.IsRefusing(), behind, "%v", usual)
	}
}
