// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package blame

import (
	"math"
	"time"

	"saddlevane/models/job"
)

// This file computes the odds of guilt from all crashes under a task. Two kinds of guilty tasks are
// modelled: one crashes its workers at one point of its work, the same each time, the other at any
// time. Both times are unknown, and any order of magnitude is equally likely. The crashes are
// weighed for each point separately and the points are summed only then, so that crashes at 0.3 s,
// 2 s, 2.2 s and 0.3 s do not count as four crashes at about the same point: a run that worked for
// 2 s had passed the point at 0.3 s.

const (
	// timeResolution is the best precision of a crash time: pending calls to a worker fail within
	// some milliseconds of its crash, and an order takes as long to arrive.
	timeResolution = 25 * time.Millisecond
	// maxCrashTime is the longest time from its start at which a guilty task is assumed to crash
	// its worker. Any order of magnitude between timeResolution and maxCrashTime is equally likely.
	maxCrashTime = time.Hour
	// maxOdds bounds the odds; higher ones carry no further information.
	maxOdds = 1e9

	// samePointShare is the share of guilty tasks that crash their workers at about the same point
	// of their work each time.
	samePointShare = 0.8
	// closeShare is the share of these crashes that fall within closeSpan of the point; the others
	// fall within aroundSpan.
	closeShare = 0.5
	// closeSpan and aroundSpan are the time up to the point divided by closeDivisor and
	// aroundDivisor. aroundSpan is at least minAroundSpan, because an order or an answer may have
	// been late by some 100 ms.
	closeDivisor  = 25
	aroundDivisor = 4
	minAroundSpan = 100 * time.Millisecond
	// pointRatio is the ratio of successive points: each time is within closeSpan of two of them.
	pointRatio = 1.04
	// passedLikelihood is the probability that a run works on beyond the point at which its task
	// crashes its workers.
	passedLikelihood = 0.05

	// maxCrashesKept is the number of crashes of a task that are assessed and stored in the log.
	// More carry no further information.
	maxCrashesKept = 16
)

// point is a time from the start of a run at which a guilty task may crash its workers. prior is
// its share of the tasks that crash their workers at one point.
type point struct {
	at    time.Duration
	prior float64
}

// points are the points that are considered. The first is the start itself.
var points = makePoints()

// logTimeRange is the natural logarithm of maxCrashTime/timeResolution.
var logTimeRange = math.Log(float64(maxCrashTime) / float64(timeResolution))

// makePoints returns the points from 0 to maxCrashTime with their priors.
func makePoints() []point {
	all := []point{{prior: 1 / logTimeRange}}
	for at := float64(timeResolution); at < float64(maxCrashTime); at *= pointRatio {
		all = append(all, point{at: time.Duration(at), prior: math.Log(pointRatio) / logTimeRange})
	}
	return all
}

// posterior holds the unnormalized weights of the ways in which a task may be guilty, relative to
// innocence: the prior times the likelihood ratio of all its crashes, for each of the points
// (atPoint) and for a crash at any time (anyTime).
type posterior struct {
	atPoint []float64
	anyTime float64
}

// oddsOf returns the odds of guilt of a task with some crashes. rate is the current estimate of how
// often a worker crashes for other reasons, per second.
func oddsOf(crashes []job.Crash, rate float64) float64 {
	if len(crashes) == 0 {
		return priorOdds
	}
	if c := crashes[0]; len(crashes) == 1 && c.Bound == job.Exact {
		return min(maxOdds, priorOdds*(1+firstCrashHazard(c)/(c.OtherTasksHazard+max(c.BackgroundHazard, rate))))
	}
	return posteriorOf(crashes, rate).odds()
}

// nextCrashHazard returns the hazard, per second, of one more crash by a task if it is guilty.
func nextCrashHazard(before []job.Crash, c job.Crash) float64 {
	if len(before) == 0 && c.Bound == job.Exact {
		return firstCrashHazard(c)
	}
	return posteriorOf(before, 0).hazard(c)
}

// firstCrashHazard returns the hazard, per second, of the first crash under a task if the task is
// guilty. For the first crash, the sum over all points equals the hazard without a known point, so
// the points are not evaluated. With this shortcut, the crash of a rack of 48 workers with 40
// tasks each is assessed in 29 ms rather than 181 ms, under other load (BenchmarkRackCrash), so
// that a holder with a fifth of a core is blocked for less time.
func firstCrashHazard(c job.Crash) float64 {
	return perWorker(c, uninformedHazard(c.Worked.Duration()))
}

// posteriorOf returns the posterior after some crashes. rate is the current estimate of how often a
// worker crashes for other reasons, per second. It is used where it exceeds the rate recorded with
// a crash, because the first crashes in a cell, or under a holder, are recorded while the rate is
// hardly known.
func posteriorOf(crashes []job.Crash, rate float64) posterior {
	post := posterior{atPoint: make([]float64, len(points)), anyTime: priorOdds * (1 - samePointShare)}
	for i, p := range points {
		post.atPoint[i] = priorOdds * samePointShare * p.prior
	}
	for len(crashes) > 0 {
		n := firstRunLength(crashes)
		run := crashes[:n]
		crashes = crashes[n:]
		ratio := 1.0
		for _, c := range run {
			ratio += perWorker(c, uninformedHazard(c.Worked.Duration())) / otherCausesHazard(c, rate)
		}
		post.anyTime *= ratio
		for i, p := range points {
			post.atPoint[i] *= likelihoodRatio(run, p, rate)
		}
	}
	return post
}

// firstRunLength returns how many of the crashes, of which there is at least one, came under the
// same run as the first.
func firstRunLength(crashes []job.Crash) int {
	n := 1
	for n < len(crashes) && crashes[n].SameRun {
		n++
	}
	return n
}

// withoutLastRun returns the crashes without those under the last run.
func withoutLastRun(crashes []job.Crash) []job.Crash {
	n := len(crashes)
	for n > 0 && crashes[n-1].SameRun {
		n--
	}
	return crashes[:max(0, n-1)]
}

// otherCausesHazard returns the hazard, per second, of a crash by any cause other than the task.
// rate is as for posteriorOf.
func otherCausesHazard(c job.Crash, rate float64) float64 {
	return c.OtherTasksHazard + max(c.BackgroundHazard, rate)
}

// likelihoodRatio returns how much likelier the crashes under one run are if the task crashes its
// workers at point p than if it does not. A gang can have several crashes under one run, at most
// one of which it has caused, so that their ratios are summed. rate is as for posteriorOf.
func likelihoodRatio(run []job.Crash, p point, rate float64) float64 {
	ratio, passed := 1.0, true
	for _, c := range run {
		if c.Bound == job.Exact && c.Worked.Duration()-c.DetectionDelay.Duration() > p.at+p.aroundSpan() {
			continue
		}
		passed = false
		ratio += perWorker(c, hazardAt(c, p)) / otherCausesHazard(c, rate)
	}
	if passed {
		return passedLikelihood
	}
	return ratio
}

// odds returns the odds that the task is guilty, at most maxOdds.
func (post posterior) odds() float64 {
	sum := post.anyTime
	for _, at := range post.atPoint {
		sum += at
	}
	return min(maxOdds, sum)
}

// hazard returns the hazard, per second, of one more crash if the task is guilty.
func (post posterior) hazard(c job.Crash) float64 {
	sum, all := post.anyTime*uninformedHazard(c.Worked.Duration()), post.anyTime
	for i, p := range points {
		sum += post.atPoint[i] * hazardAt(c, p)
		all += post.atPoint[i]
	}
	return perWorker(c, sum/all)
}

// causedShare returns the probability that the task caused the crash at index i, if it is one that
// crashes its workers.
func causedShare(crashes []job.Crash, i int) float64 {
	first := i
	for first > 0 && crashes[first].SameRun {
		first--
	}
	post := posteriorOf(crashes, 0)
	ratio := func(c job.Crash) float64 { return post.hazard(c) / otherCausesHazard(c, 0) }
	all := 1.0
	for _, c := range crashes[first : first+firstRunLength(crashes[first:])] {
		all += ratio(c)
	}
	return ratio(crashes[i]) / all
}

// perWorker returns the share of a task's hazard for each of its workers.
func perWorker(c job.Crash, hazard float64) float64 { return hazard / float64(max(1, c.Workers)) }

// hazardAt returns the hazard, per second, of a crash by a task that crashes its workers at point
// p.
func hazardAt(c job.Crash, p point) float64 {
	worked := c.Worked.Duration()
	switch c.Bound {
	case job.AtMost:
		// The crash came at any time up to worked, which is the longest the task can have been
		// running.
		if p.at > worked {
			return 0
		}
		return 1 / max(worked, timeResolution).Seconds()
	case job.AtLeast:
		return uninformedHazard(worked)
	}
	return closeShare*p.density(c, p.closeSpan()) + (1-closeShare)*p.density(c, p.aroundSpan())
}

// closeSpan returns the distance from the point within which a crash counts as close to it.
func (p point) closeSpan() time.Duration { return max(timeResolution, p.at/closeDivisor) }

// aroundSpan returns the distance from the point within which a crash counts as one at the point.
func (p point) aroundSpan() time.Duration { return max(minAroundSpan, p.at/aroundDivisor) }

// density returns the probability density, per second, of a crash that is uniformly distributed
// within span of the point and may have been detected late.
func (p point) density(c job.Crash, span time.Duration) float64 {
	worked, delay := c.Worked.Duration(), c.DetectionDelay.Duration()
	if worked < p.at-span || worked-delay > p.at+span {
		return 0
	}
	return 1 / (span + min(span, p.at) + delay).Seconds()
}

// uninformedHazard returns the hazard, per second, of a crash by a guilty task of which nothing
// else is known: the density of a time that is equally likely to have any order of magnitude
// between timeResolution and maxCrashTime.
func uninformedHazard(worked time.Duration) float64 {
	return 1 / (logTimeRange * min(max(worked, timeResolution), maxCrashTime).Seconds())
}
