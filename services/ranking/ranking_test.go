// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ranking_test

import (
	"slices"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/services/ranking"

	"gotest.tools/v3/assert"
)

func TestTierOfStep(t *testing.T) {
	due := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, c := range []struct {
		name      string
		now, left time.Duration
		want      ranking.Tier
	}{
		{"it can still finish in time", 6 * time.Second, 4 * time.Second, ranking.OnTime},
		{"it will be late", 6 * time.Second, 5 * time.Second, ranking.Late},
		{"it will be of no use", 20 * time.Second, 11 * time.Second, ranking.Hopeless},
		{"it has been of no use for a while", 41 * time.Second, 11 * time.Second, ranking.Hopeless},
		{"it is overdue and has to be done eventually", 43 * time.Second, 11 * time.Second, ranking.Late},
	} {
		now := due.Add(c.now)
		got := ranking.Times{DueAt: due, Objective: 10 * time.Second, Finish: now.Add(c.left)}.Tier(now)
		assert.Equal(t, got, c.want, c.name)
	}
}

// TestBacklogOrdersByLeastWork guards against ordering a backlog by deadline. When large and small
// jobs of one kind had gathered while there was no free capacity, the one with the earliest
// deadline was always placed next, and all of them finished slightly late: the jobs of a random
// load earned 0.721 of their value, and 0.745 with the least work first.
func TestBacklogOrdersByLeastWork(t *testing.T) {
	wanted := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	rank := func(id job.ID, after time.Duration, work float64) ranking.Rank {
		return ranking.Rank{Deadline: wanted.Add(after), Work: work, Step: job.StepID{Job: id}}
	}
	large, small, overdue := rank("large", 0, 0.4), rank("small", time.Second, 0.1), rank("overdue", 2*time.Second, 0)
	late, urgent, beyond := rank("late", 0, 0.01), rank("urgent", 5*time.Second, 0.9), rank("beyond", 0, 0.01)
	late.Tier, urgent.Priority, beyond.OverShare = ranking.Late, -1, true
	order := func(backlog bool) (names []job.ID) {
		all := []ranking.Rank{late, beyond, overdue, small, large, urgent}
		slices.SortFunc(all, func(a, b ranking.Rank) int { return a.Compare(b, backlog) })
		for _, r := range all {
			names = append(names, r.Step.Job)
		}
		return names
	}
	assert.DeepEqual(t, order(false), []job.ID{"urgent", "large", "small", "overdue", "beyond", "late"})
	assert.DeepEqual(t, order(true), []job.ID{"urgent", "overdue", "small", "large", "beyond", "late"})
}

func TestIsBacklog(t *testing.T) {
	all := resource.Vector{Processors: 100, Memory: 100}
	assert.Check(t, !ranking.IsBacklog(resource.Vector{Processors: 30, Memory: 10}, all))
	assert.Check(t, ranking.IsBacklog(resource.Vector{Processors: 10, Memory: 31}, all))
	assert.Check(t, !ranking.IsBacklog(resource.Vector{Processors: 1000}, resource.Vector{}))
}

// TestHopelessStepsKeepDeadlineOrderInBacklog guards against a hopeless job waiting behind smaller
// hopeless ones. A backlog of 60 steps had built up while connections were silent, and the cell of
// 6 workers was full for 10 s afterwards. A job whose result was no longer of use waited 10.3 s for
// free capacity, because smaller ones went before it although none of them gained anything. It had
// not ended 10.45 s after the last connection was silent, the guaranteed time.
//
//	03:34:09 state of the cell free=1 processors=80 steps_late=28 steps_hopeless=11
//	03:34:14 job ended job=job212 age=12.51s delays=map[room:10.3s takeover:1.45s]
func TestHopelessStepsKeepDeadlineOrderInBacklog(t *testing.T) {
	wanted := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	older := ranking.Rank{Tier: ranking.Hopeless, Deadline: wanted, Work: 0.4}
	younger := ranking.Rank{Tier: ranking.Hopeless, Deadline: wanted.Add(time.Second), Work: 0.1}
	assert.Check(t, older.Compare(younger, true) < 0)
	older.Tier, younger.Tier = ranking.Late, ranking.Late
	assert.Check(t, older.Compare(younger, true) > 0)
}
