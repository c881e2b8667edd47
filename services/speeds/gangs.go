// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package speeds

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minDone is the share of a member's work from which its progress shows its speed.
	minDone = 0.1
	// minGangSpread is the least logarithm of the ratio of the longest to the shortest run time, by the
	// members' progress, with which each member is assumed to advance at the speed of its own worker.
	// Members that wait for each other all the time make equal progress.
	minGangSpread = 0.05
)

// Member is how far a run, for example of a member of a gang, has come after some time.
type Member struct {
	Worker string
	// Speed is the estimated speed of the worker.
	Speed Estimate
	// StartedAt is when it started. The members of a gang work only once all have started.
	StartedAt time.Time
	Ran       time.Duration
	// Done is the share of its work that it has done, or 0 if that is unknown.
	Done float64
}

// Remaining returns how much longer a run takes that has run for some time, given the usual run time on its
// worker. If the run began at the start of its work, not from a checkpoint, and has made enough progress, its own pace counts instead.
func (m Member) Remaining(ran, usual time.Duration, fromStart bool) time.Duration {
	total := usual
	if m.Done >= minDone && fromStart {
		total = time.Duration(float64(m.Ran) / m.Done)
	}
	return max(0, time.Duration((1-m.Done)*float64(total))-(ran-m.Ran))
}

// latestStart returns when the last of the members started. There must be one at least.
func latestStart(members []Member) time.Time {
	return slices.MaxFunc(members, func(a, b Member) int { return a.StartedAt.Compare(b.StartedAt) }).StartedAt
}

// WorkOfGang returns the time at mean speed of a gang that ends now. A gang is as slow as its slowest member.
// There must be one at least.
func WorkOfGang(now time.Time, members []Member) time.Duration {
	slowest := slices.MinFunc(members, func(a, b Member) int { return cmp.Compare(a.Speed.speed(), b.Speed.speed()) })
	return slowest.Speed.WorkOf(now.Sub(latestStart(members)))
}

// RunsOfGang returns how long each member of a gang would take alone, or nil if their progress does not
// show it. Their run times do not, because all members end together.
func RunsOfGang(members []Member) []Run {
	if len(members) == 0 {
		return nil
	}
	start := latestStart(members)
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	runs := make([]Run, 0, len(members))
	for _, m := range members {
		worked := m.Ran - start.Sub(m.StartedAt)
		if worked < minTime || m.Done < minDone || m.Done >= 1 {
			continue
		}
		r := Run{Worker: m.Worker, Took: time.Duration(float64(worked) / m.Done)}
		runs = append(runs, r)
		shortest, longest = min(shortest, r.Took), max(longest, r.Took)
	}
	if len(runs) < 2 || math.Log(float64(longest)/float64(shortest)) < minGangSpread {
		return nil
	}
	return runs
}
