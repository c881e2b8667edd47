// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package blame estimates which tasks crash the workers that run them, from what ran on each worker
// that crashed.
//
// A crash of a worker ends all its tasks. Either one of them caused it, or the worker would have
// crashed anyway. The two causes are treated as competing hazards, as in survival analysis: a
// guilty task crashes its worker at an unknown time after its start, of which any order of
// magnitude is equally likely, so its hazard falls with the time it has been running. Workers crash
// for other reasons at a rate that is learned (Background). Each crash multiplies the odds that a
// task is guilty by the likelihood ratio of the crash with and without guilt.
//
// A task that started shortly before the crash becomes more suspect than one that had been running
// for long, and a task beside unsuspected tasks more than one beside another suspect. Suspects
// should therefore be tried on separate workers, as in group testing (Dorfman, 1943).
//
// All crashes under a task are assessed together, and again whenever the background rate is better
// known: the first crashes in a cell come while the rate is hardly known. TestBothErrorsOfBlame in
// services/dispatch counts how often innocent jobs are given up, and guilty tasks are not found.
package blame

import (
	"slices"
	"time"

	"saddlevane/models/job"
)

const (
	// priorOdds are the odds that a task is guilty before any worker has crashed under it: one task
	// in a thousand.
	priorOdds = 1e-3
	// suspectThreshold is the probability of guilt from which a task is kept apart from other
	// suspects, and likelyThreshold the probability from which it is tried on a worker that gets no
	// other tasks meanwhile.
	suspectThreshold = 0.005
	likelyThreshold  = 0.05
	// aloneThreshold is the probability from which a task waits for a worker of its own rather than
	// being tried beside other tasks.
	aloneThreshold = 0.2

	// fewCrashes is the number of workers that must have crashed under a task before its job may be given
	// up, and enoughCrashes the number from which lower odds are enough. A job that is given up is lost
	// for good, one more try costs a worker. A crash may have been missed while the cell had no holder.
	fewCrashes    = 4
	enoughCrashes = 5
	// manyCrashes is the number of crashes from which a task is tried alone whatever its odds.
	manyCrashes = 3

	// clearFactor and clearMargin determine when a run clears its task of suspicion: once it has
	// been running for more than clearFactor times the longest work time before a crash, plus
	// clearMargin.
	clearFactor = 2
	clearMargin = 2 * time.Second

	// firstRetryDelay is how long a task that is likely to be guilty waits before its next start after
	// two crashes. Each further crash doubles the delay, up to maxRetryDelay.
	firstRetryDelay = 500 * time.Millisecond
	maxRetryDelay   = 4 * time.Second
)

// guiltyOdds are the odds from which a task is guilty, so that its job is given up, once at least
// enoughCrashes workers have crashed under it. Giving up an innocent job loses it for good, while
// another try costs one worker, so the probability of a false verdict is what is bounded. By Wald's
// sequential test (1945), odds of 1e4, which means crashes 1e7 times as likely with guilt as
// without, give up at most one in ten million innocent tasks, whenever the test stops.
//
// More crashes never need higher odds, or a task would go free that one crash less would have convicted.
const guiltyOdds = 1e4

// earlyGuiltyOdds are the odds that are required after fewCrashes, of which one more may have been missed.
const earlyGuiltyOdds = 1e6

// Probability returns the probability that a task crashes its workers, with missing workers counted as
// crashed. It is 0 for a task under which no worker has crashed.
func Probability(b job.Blame) float64 {
	if b.Crashes == 0 {
		return 0
	}
	odds := max(b.Odds, b.CautiousOdds)
	return odds / (1 + odds)
}

// IsSuspect reports whether a task has to be kept apart from other suspects.
func IsSuspect(b job.Blame) bool { return Probability(b) >= suspectThreshold }

// IsLikely reports whether a task has to be tried on a worker that gets no other tasks: it is
// likely to be guilty, or so many workers have crashed under it that the cause must be found.
func IsLikely(b job.Blame) bool { return Probability(b) >= likelyThreshold || b.Crashes >= manyCrashes }

// MustBeAlone reports whether a task must not be tried beside other tasks, even if it has to wait.
func MustBeAlone(b job.Blame) bool {
	return Probability(b) >= aloneThreshold || b.Crashes >= manyCrashes
}

// IsGuilty reports whether the job of a task has to be given up. Only workers that are known to have
// crashed count.
func IsGuilty(b job.Blame) bool { return isEnough(Certain(b)) }

// Certain returns b with those crashes only that are certain.
func Certain(b job.Blame) job.Blame {
	return withoutCrashes(b, func(c job.Crash) bool { return !c.IsCertain() })
}

// certainProbability is like Probability, but does not count missing workers. What it leads to for other
// tasks is not taken back when a missing worker answers.
func certainProbability(b job.Blame) float64 {
	b.CautiousOdds = 0
	return Probability(b)
}

// isGuiltyWithMissing reports whether the job of a task would have to be given up if all missing workers
// had crashed.
func isGuiltyWithMissing(b job.Blame) bool {
	b.Odds = max(b.Odds, b.CautiousOdds)
	return isEnough(b)
}

// isEnough reports whether the crashes and the odds of b are enough to give up the job.
func isEnough(b job.Blame) bool {
	return b.Crashes >= enoughCrashes && b.Odds >= guiltyOdds || b.Crashes >= fewCrashes && b.Odds >= earlyGuiltyOdds
}

// IsClearedBy reports whether a run that has been running for worked, on a worker that is still
// alive, clears its task.
func IsClearedBy(b job.Blame, worked time.Duration) bool {
	return worked > clearFactor*b.MaxWorkTime.Duration()+clearMargin
}

// RetryDelay returns how long a task waits before it is started again. By the end of the delay,
// simultaneous crashes of other workers have been detected, and a guilty task does not crash one
// worker right after another.
func RetryDelay(b job.Blame) time.Duration {
	if !IsLikely(b) {
		return 0
	}
	wait := firstRetryDelay
	for range b.Crashes - 2 {
		wait = min(2*wait, maxRetryDelay)
	}
	return wait
}

// Suspect is a task that was on a worker when the worker crashed.
type Suspect struct {
	// Prior is the blame of the task before this crash.
	Prior job.Blame
	// Worked is how long the task had been running. TimeBound says whether that is exact or a bound.
	Worked    time.Duration
	TimeBound job.TimeBound
	// DetectionDelay is the longest time that may have passed between the crash and its detection.
	DetectionDelay time.Duration
	// Alone is set if no other task had started on the worker shortly before.
	Alone bool
	// Workers is the number of workers on which the task ran, more than one for a gang. A guilty
	// gang crashes the worker of its guilty member, and each of the workers may crash by itself. 0
	// counts as 1.
	Workers int
	// SameRun is set if the newest crash in Prior came under the same run of a gang.
	SameRun bool
	// Missing is set if it is not known whether the worker has crashed.
	Missing *job.MissingWorker
}

// crash returns the crash as it is stored in the blame of the suspect, without hazards.
func (s Suspect) crash() job.Crash {
	c := job.Crash{
		Worked: job.Milliseconds(s.Worked.Milliseconds()), Bound: s.TimeBound, DetectionDelay: job.Milliseconds(min(s.Worked, s.DetectionDelay).Milliseconds()), Workers: s.Workers,
		Missing: s.Missing,
	}
	if before := s.Prior.RecentCrashes; s.SameRun && len(before) > 0 {
		// The members on the workers that crashed first are no longer counted in s.Workers.
		c.SameRun, c.Workers = true, max(c.Workers, before[len(before)-1].Workers)
	}
	return c
}

// earlierCrashes returns the crashes under earlier runs of the task than the one that has crashed
// its worker now.
func (s Suspect) earlierCrashes() []job.Crash {
	if s.SameRun {
		return withoutLastRun(s.Prior.RecentCrashes)
	}
	return s.Prior.RecentCrashes
}

// Assess returns the blame of each task that was on a crashed worker, in the order of suspects.
// background is the hazard, per second, of a crash that none of the tasks caused.
func Assess(suspects []Suspect, background float64) []job.Blame {
	caused := make([]float64, len(suspects))
	all := 0.0
	for i, s := range suspects {
		earlier := s.earlierCrashes()
		odds := oddsOf(earlier, 0)
		caused[i] = odds / (1 + odds) * nextCrashHazard(earlier, s.crash())
		all += caused[i]
	}
	assessed := make([]job.Blame, len(suspects))
	for i, s := range suspects {
		c := s.crash()
		c.OtherTasksHazard, c.BackgroundHazard = max(0, all-caused[i]), background
		assessed[i] = s.afterCrash(c)
	}
	return assessed
}

// afterCrash returns the blame of the task after one more crash.
func (s Suspect) afterCrash(c job.Crash) job.Blame {
	b := s.Prior
	if !c.SameRun {
		b.Crashes++
		if s.Alone {
			b.Alone++
		}
	}
	if c.Missing != nil {
		missing := *c.Missing
		missing.Alone = s.Alone && !c.SameRun
		c.Missing = &missing
	}
	if s.TimeBound == job.Exact {
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

// Reassess returns b with the odds computed again from all crashes under the task. rate is the
// current estimate of how often a worker crashes for other reasons, per second; 0 leaves the rates
// recorded with the crashes.
func Reassess(b job.Blame, rate float64) job.Blame {
	if len(b.RecentCrashes) == 0 {
		return b
	}
	certain := Certain(b).RecentCrashes
	b.Odds, b.CautiousOdds = oddsOf(certain, rate), 0
	if len(certain) < len(b.RecentCrashes) {
		b.CautiousOdds = oddsOf(b.RecentCrashes, rate)
	}
	return b
}

// UnexplainedProbability returns an upper bound of the probability that none of the assessed tasks
// caused the crash. A gang under whose run another worker has crashed before does not count: it
// caused at most one of the two crashes.
func UnexplainedProbability(assessed []job.Blame) float64 {
	most := 0.0
	for _, b := range assessed {
		if n := len(b.RecentCrashes); n > 0 && b.RecentCrashes[n-1].SameRun {
			continue
		}
		most = max(most, certainProbability(b))
	}
	return 1 - most
}
