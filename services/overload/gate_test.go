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

// updateRepeatedly updates the gate count times, 100 ms apart, with an event of the given
// queueing time before each update. It returns the time after the last interval.
func updateRepeatedly(g *overload.Gate, now time.Time, count int, age time.Duration) time.Time {
	for range count {
		g.RecordQueueAge(age)
		g.RecordQueueAge(ms)
		g.Update(now)
		now = now.Add(100 * ms)
	}
	return now
}

// countAdmitted returns how many of 1,000 jobs are admitted, and checks the retry delays of
// the others.
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
		// late and normal are the numbers of updates with a queueing time of 0.5 s and
		// then of 20 ms.
		late, normal int
		min, max     int
	}{
		{"no overload", 0, 20, 1000, 1000},
		{"delayed once", 1, 0, 1000, 1000},
		{"delayed for 0.4 s", 4, 0, 1000, 1000},
		{"overloaded for 0.5 s", 5, 0, 860, 940},
		{"overloaded for 1 s", 10, 0, 480, 580},
		{"overloaded for 10 s", 100, 0, 30, 70},
		{"overloaded for 1 s, then normal for 1 s", 10, 10, 670, 790},
		{"overloaded for 1 s, then normal for 3 s", 10, 30, 1000, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := &overload.Gate{}
			now := updateRepeatedly(g, begin, c.late, 500*ms)
			now = updateRepeatedly(g, now, c.normal, 20*ms)
			got := countAdmitted(t, g, now)
			assert.Check(t, got >= c.min && got <= c.max, "%d of 1,000", got)
			assert.Equal(t, g.IsRefusing(), got < 1000)
		})
	}
}

// TestRetryTimesOfRefusedJobsAreSpread checks that callers which are refused at the same time do
// not retry at the same time.
func TestRetryTimesOfRefusedJobsAreSpread(t *testing.T) {
	g := &overload.Gate{}
	now := updateRepeatedly(g, time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), 100, time.Second)
	halfSeconds := map[int]int{}
	for i := range 1000 {
		if ok, after := g.Admit(now, fmt.Sprint("job", i)); !ok {
			halfSeconds[int(after/(500*ms))]++
		}
	}
	for _, half := range []int{2, 3, 4, 5} {
		assert.Check(t, halfSeconds[half] > 180, "%v", halfSeconds)
	}
}

func TestRefusedJobIsEventuallyAdmittedOnRetry(t *testing.T) {
	g := &overload.Gate{}
	now := updateRepeatedly(g, time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), 8, time.Second)
	for i := range 100 {
		admitted := false
		for second := range 30 {
			ok, _ := g.Admit(now.Add(time.Duration(second)*time.Second), fmt.Sprint("job", i))
			admitted = admitted || ok
		}
		assert.Check(t, admitted, "job %d was refused 30 times at a share of %.2f", i, g.AdmittedShare())
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

// TestSlowWorkerAnswersCauseRefusals checks that response times show overload too. Data that waits
// for the processor or in a saturated link is in none of the holder's queues, so that the queueing
// times do not show it.
func TestSlowWorkerAnswersCauseRefusals(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for took, refusing := range map[time.Duration]bool{30 * ms: false, 450 * ms: false, 900 * ms: true} {
		g := &overload.Gate{}
		for i := range 10 {
			g.RecordResponseTime(took)
			g.Update(now.Add(time.Duration(i) * 100 * ms))
		}
		assert.Equal(t, g.IsRefusing(), refusing, "%v", took)
	}
}
