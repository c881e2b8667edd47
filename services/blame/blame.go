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
// In 600 random worlds of 24 workers, with three guilty tasks each, workers and racks that
// crash by themselves, and boxes that are killed, none of 36,600 jobs that crash nothing was
// given up, and 5 of 1,800 guilty tasks were started more than five times. Counting three
// crashes would have given up 217 tasks that crash nothing (services/dispatch,
// crash_test.go).
package blame

import (
	"math"
	"time"

	"saddlevane/models/job"
)

const (
	// priorOdds is what is believed of a task under which no worker has crashed: one in a
	// thousand is guilty.
	priorOdds = 1e-3
	// seenWithin is how exactly the time of a crash is known: calls to a worker that are
	// under way break off within some milliseconds, an order takes as long again.
	seenWithin = 100 * time.Millisecond
	// horizon is the longest time after which a guilty task crashes its worker that is
	// reckoned with. Between both any order of magnitude is as likely as another.
	horizon = time.Hour
	// mostOdds bounds the odds: more says nothing more.
	mostOdds = 1e9

	// suspected is the probability of guilt from which on a task is kept apart from other
	// suspects, likely the one from which on it is tried on a worker that gets nothing else
	// meanwhile. Of tasks that crash nothing and were on a worker that crashed, 42% come to
	// suspected and 11% to likely (14,266 in random worlds).
	suspected = 0.005
	likely    = 0.05
	// alone is from which probability on it rather waits than is tried beside others.
	alone = 0.2
	// samePoint is the share of guilty tasks that crash their workers at about the same
	// point of their work each time: within a part of samePart of the time, or seenWithin.
	samePoint = 0.8
	samePart  = 4

	// crashesLeast is how many workers must have crashed under a task before it is given
	// up.
	crashesLeast = 2
	// crashesMany is from how many crashes on it is tried alone whatever the odds.
	crashesMany = 3

	// A run that has been at work for clearFactor times as long as any before at the
	// crash of its worker, and clearLeast more, clears its task.
	clearFactor = 2
	clearLeast  = 2 * time.Second

	// tryAgain is how long a task waits that is likely to be guilty, doubled with each
	// further crash up to tryAgainMost.
	tryAgain     = 500 * time.Millisecond
	tryAgainMost = 4 * time.Second
)

// guiltyOdds are the odds from which a task is given up under which crashesLeast or more
// workers have crashed. They fall with each further crash: few tasks that crash nothing
// come so far, and each further try costs a worker with all that runs on it.
var guiltyOdds = []float64{1e4, 1e2, 30}

// Probability returns how likely it is that a task crashes its workers.
func Probability(b job.Blame) float64 {
	if b.Crashes == 0 {
		return 0
	}
	return b.Odds / (1 + b.Odds)
}

// Suspected says whether a task is to be kept apart from other suspects.
func Suspected(b job.Blame) bool { return Probability(b) >= suspected }

// Likely says whether a task is to be tried on a worker that gets nothing else: it is
// likely to be guilty, or so many workers have crashed under it that it is time to know.
func Likely(b job.Blame) bool { return Probability(b) >= likely || b.Crashes >= crashesMany }

// MustBeAlone says whether a task is not to be tried beside others, even if it has to wait.
func MustBeAlone(b job.Blame) bool { return Probability(b) >= alone || b.Crashes >= crashesMany }

// Guilty says whether a task is to be given up. Often says that workers crash often by no
// fault of their tasks: then a task that crashes nothing may well be at work at five crashes
// in a row, and no number of them makes up for odds that are low.
func Guilty(b job.Blame, often bool) bool {
	further := b.Crashes - crashesLeast
	if further < 0 || further <= 1 && b.Alone == 0 {
		return false
	}
	if often {
		return b.Odds >= guiltyOdds[0]
	}
	return b.Odds >= guiltyOdds[min(further, len(guiltyOdds)-1)]
}

// Cleared says whether a run that has been at work for some time, on a worker that lives,
// clears its task.
func Cleared(b job.Blame, worked time.Duration) bool {
	return worked > clearFactor*b.Longest.Duration()+clearLeast
}

// Wait returns how long a task waits before it is tried again: crashes of other workers
// at the same time are known by then, and it does not take one after another.
func Wait(b job.Blame) time.Duration {
	if !Likely(b) {
		return 0
	}
	wait := tryAgain
	for range b.Crashes - crashesLeast {
		wait = min(2*wait, tryAgainMost)
	}
	return wait
}

// Suspect is a task that was on a worker when it crashed.
type Suspect struct {
	// Before is what was held against it before.
	Before job.Blame
	// Worked is for how long at most it had been at work.
	Worked time.Duration
	// Alone says that no other task had begun on the worker shortly before.
	Alone bool
	// Workers is on how many workers it ran, a gang on several: a guilty member crashes its
	// own, and any of them may crash by itself. 0 counts as 1.
	Workers int
	// Bound says that Worked is no more than a bound: when the worker crashed, or when the
	// task began, is not known.
	Bound bool
}

// Judge returns what is held against each task that was on a worker when it crashed.
// Background is the hazard, a second, of a crash that none of them caused.
func Judge(suspects []Suspect, background float64) []job.Blame {
	caused := make([]float64, len(suspects))
	all := background
	for i, s := range suspects {
		caused[i] = withPrior(s.Before).guilt() * s.hazard()
		all += caused[i]
	}
	judged := make([]job.Blame, len(suspects))
	for i, s := range suspects {
		judged[i] = withPrior(s.Before).after(s, all-caused[i])
	}
	return judged
}

// Unexplained returns the probability that none of the tasks that were judged caused the
// crash, or somewhat more.
func Unexplained(judged []job.Blame) float64 {
	most := 0.0
	for _, b := range judged {
		most = max(most, Probability(b))
	}
	return 1 - most
}

// belief is what is held against a task, and before anything is, what is believed of any.
type belief job.Blame

func withPrior(b job.Blame) belief {
	if b.Crashes == 0 {
		b.Odds = priorOdds
	}
	return belief(b)
}

// guilt returns how likely it is that the task crashes its workers.
func (b belief) guilt() float64 { return b.Odds / (1 + b.Odds) }

// after returns what is held against a task after one more crash, which had some hazard
// by other causes.
func (b belief) after(s Suspect, others float64) job.Blame {
	b.Odds = min(mostOdds, b.Odds*(1+s.hazard()/others))
	b.Crashes++
	if s.Alone {
		b.Alone++
	}
	if !s.Bound {
		worked := job.Milliseconds(s.Worked.Milliseconds())
		if b.Longest == 0 || worked < b.Shortest {
			b.Shortest = worked
		}
		b.Longest = max(b.Longest, worked)
	}
	b.TriedOn, b.TriedAt = nil, 0
	return job.Blame(b)
}

// hazard returns the hazard, a second, of a crash of the worker by the task if it is guilty,
// at the time for which it had been at work.
func (s Suspect) hazard() float64 { return s.anywhere() / float64(max(1, s.Workers)) }

// anywhere returns the hazard of a crash on any of the task's workers.
func (s Suspect) anywhere() float64 {
	unknown := hazard(s.Worked)
	if s.Before.Crashes == 0 || s.Before.Longest == 0 || s.Bound {
		return unknown
	}
	return (1-samePoint)*unknown + samePoint*max(s.near(s.Before.Shortest), s.near(s.Before.Longest))
}

// near returns the hazard, a second, of a crash at about the time for which the task had
// been at work at one before.
func (s Suspect) near(before job.Milliseconds) float64 {
	span := max(seenWithin, before.Duration()/samePart)
	if (s.Worked - before.Duration()).Abs() > span {
		return 0
	}
	return 1 / (2 * span).Seconds()
}

// hazard returns the hazard, a second, of a crash by a guilty task of which nothing else
// is known: the density of a time of which any order of magnitude between seenWithin and
// horizon is as likely as another.
func hazard(worked time.Duration) float64 {
	spread := math.Log(float64(horizon) / float64(seenWithin))
	return 1 / (spread * min(max(worked, seenWithin), horizon).Seconds())
}
