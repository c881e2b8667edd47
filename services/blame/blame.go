// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package blame tells which tasks crash the workers that run them, from what ran on the
// workers that crashed.
//
// A worker that crashes takes all its tasks with it: one of them made it crash, or it
// would have crashed anyway. Both are hazards that compete (as in the analysis of
// survival times): a guilty task crashes its worker some time after it begins, of which
// only the order of magnitude is known, so its hazard falls with the time that it has
// been at work; workers crash anyway at a rate that is learned (Background). Each crash
// multiplies the odds that a task is guilty by how much likelier the crash is if it is.
//
// A task that began just before its worker crashed is suspected more than one that had
// been at work for long, and one that is alone with tasks that nothing is held against
// more than one beside another suspect: suspects are therefore to be tried apart, as in
// group testing (Dorfman, 1943).
//
// All crashes under a task are weighed together, and again whenever more is known of how
// often workers crash by themselves. Where each of 24 workers does so every 7 s to 60 s, 26 of
// 1,800 worlds gave up a job that crashes nothing while each crash was judged once, by what
// was known then, and none of 1,200 since (services/dispatch, rates_test.go).
package blame

import (
	"slices"
	"time"

	"saddlevane/models/job"
)

const (
	// priorOdds is what is believed of a task under which no worker has crashed: one in a
	// thousand is guilty.
	priorOdds = 1e-3
	// suspectThreshold is the probability of guilt from which on a task is kept apart from other
	// suspects, likely the one from which on it is tried on a worker that gets nothing else
	// meanwhile. Of tasks that crash nothing and were on a worker that crashed, 42% come to
	// suspected and 11% to likely (14,266 in random worlds).
	suspectThreshold = 0.005
	likelyThreshold  = 0.05
	// aloneThreshold is from which probability on it rather waits than is tried beside others.
	aloneThreshold = 0.2

	// minCrashes is how many workers must have crashed under a task before it is given
	// up.
	minCrashes = 2
	// manyCrashes is from how many crashes on it is tried alone whatever the odds.
	manyCrashes = 3

	// A run that has been at work for clearFactor times as long as any before at the
	// crash of its worker, and clearMargin more, clears its task.
	clearFactor = 2
	clearMargin = 2 * time.Second

	// firstRetryDelay is how long a task waits that is likely to be guilty, doubled with each
	// further crash up to maxRetryDelay.
	firstRetryDelay = 500 * time.Millisecond
	maxRetryDelay   = 4 * time.Second
)

// guiltyOdds are the odds from which a task is given up under which minCrashes or more
// workers have crashed. A job that is given up is lost for good, a further try costs one worker,
// so the first error is bounded: by Wald's sequential test (1945) odds of 1e4, that is crashes
// 1e7 times as likely as without guilt, give up one in ten million tasks that crash nothing, or
// fewer, whenever the test stops. So the bound is one for any number of crashes: while it was
// 1e5 from the fifth on where workers crash often, a task that came to 8.7e4 there took a sixth
// worker, and while it was 300 where they seemed to crash seldom, a job that crashes nothing was
// given up at 3.6e3 after six crashes, beside workers that each crash every 29 s.
//
// In 6,074 worlds of 24 workers, most of which crash every 7 s to 60 s by themselves, with
// verdicts switched off, tasks that crash nothing came to three crashes or more 57,000 times
// and to odds over 300 twice, 983 at most. Where workers crash often, guilty tasks were over
// 1e4 in 93% of cases after four crashes and in 99.6% after five.
const guiltyOdds = 1e4

// Probability returns how likely it is that a task crashes its workers.
func Probability(b job.Blame) float64 {
	if b.Crashes == 0 {
		return 0
	}
	return b.Odds / (1 + b.Odds)
}

// IsSuspect says whether a task is to be kept apart from other suspects.
func IsSuspect(b job.Blame) bool { return Probability(b) >= suspectThreshold }

// IsLikely says whether a task is to be tried on a worker that gets nothing else: it is
// likely to be guilty, or so many workers have crashed under it that it is time to know.
func IsLikely(b job.Blame) bool { return Probability(b) >= likelyThreshold || b.Crashes >= manyCrashes }

// MustBeAlone says whether a task is not to be tried beside others, even if it has to wait.
func MustBeAlone(b job.Blame) bool {
	return Probability(b) >= aloneThreshold || b.Crashes >= manyCrashes
}

// IsGuilty says whether a task is to be given up.
func IsGuilty(b job.Blame) bool {
	further := b.Crashes - minCrashes
	if further < 0 || further <= 1 && b.Alone == 0 {
		return false
	}
	return b.Odds >= guiltyOdds
}

// IsClearedBy says whether a run that has been at work for some time, on a worker that lives,
// clears its task.
func IsClearedBy(b job.Blame, worked time.Duration) bool {
	return worked > clearFactor*b.MaxWorkTime.Duration()+clearMargin
}

// RetryDelay returns how long a task waits before it is tried again: crashes of other workers
// at the same time are known by then, and it does not take one after another.
func RetryDelay(b job.Blame) time.Duration {
	if !IsLikely(b) {
		return 0
	}
	wait := firstRetryDelay
	for range b.Crashes - minCrashes {
		wait = min(2*wait, maxRetryDelay)
	}
	return wait
}

// Suspect is a task that was on a worker when it crashed.
type Suspect struct {
	// Before is what was held against it before.
	Prior job.Blame
	// Worked is for how long it had been at work, and Time what is known of that.
	Worked time.Duration
	Time   job.TimeBound
	// Late is by how much the crash may have been seen too late.
	Late time.Duration
	// Alone says that no other task had begun on the worker shortly before.
	Alone bool
	// Workers is on how many workers it ran, a gang on several: a guilty member crashes its
	// own, and any of them may crash by itself. 0 counts as 1.
	Workers int
}

// crash returns the crash under the suspect.
func (s Suspect) crash() job.Crash {
	return job.Crash{
		Worked: job.Milliseconds(s.Worked.Milliseconds()), Bound: s.Time, DetectionDelay: job.Milliseconds(min(s.Worked, s.Late).Milliseconds()), Workers: s.Workers,
	}
}

// Assess returns what is held against each task that was on a worker when it crashed.
// Background is the hazard, a second, of a crash that none of them caused.
func Assess(suspects []Suspect, background float64) []job.Blame {
	caused := make([]float64, len(suspects))
	all := 0.0
	for i, s := range suspects {
		odds := oddsOf(s.Prior.RecentCrashes, 0)
		caused[i] = odds / (1 + odds) * nextCrashHazard(s.Prior.RecentCrashes, s.crash())
		all += caused[i]
	}
	judged := make([]job.Blame, len(suspects))
	for i, s := range suspects {
		c := s.crash()
		c.OtherTasksHazard, c.BackgroundHazard = max(0, all-caused[i]), background
		judged[i] = s.afterCrash(c)
	}
	return judged
}

// afterCrash returns what is held against a task after one more crash.
func (s Suspect) afterCrash(c job.Crash) job.Blame {
	b := s.Prior
	b.Crashes++
	if s.Alone {
		b.Alone++
	}
	if s.Time == job.Exact {
		if b.MaxWorkTime == 0 || c.Worked < b.MinWorkTime {
			b.MinWorkTime = c.Worked
		}
		b.MaxWorkTime = max(b.MaxWorkTime, c.Worked)
	}
	b.LastStartWorkers, b.LastStartUnixMilli = nil, 0
	b.RecentCrashes = append(slices.Clone(b.RecentCrashes), c)
	b.RecentCrashes = b.RecentCrashes[max(0, len(b.RecentCrashes)-maxCrashesKept):]
	return Reassess(b, 0)
}

// Reassess judges all crashes under a task again. Rate is how often a worker crashes by no
// fault of its tasks by what is known now, a second.
func Reassess(b job.Blame, rate float64) job.Blame {
	if len(b.RecentCrashes) > 0 {
		b.Odds = oddsOf(b.RecentCrashes, rate)
	}
	return b
}

// UnexplainedProbability returns the probability that none of the tasks that were judged caused the
// crash, or somewhat more.
func UnexplainedProbability(judged []job.Blame) float64 {
	most := 0.0
	for _, b := range judged {
		most = max(most, Probability(b))
	}
	return 1 - most
}
