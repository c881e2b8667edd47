// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package blame

import (
	"math"
	"time"

	"saddlevane/models/job"
)

// What the crashes under a task say of it together. Two kinds of guilty tasks are reckoned
// with: one crashes its workers at one point of its work, the same each time, the other at
// any time. Both times are unknown, and any order of magnitude is as likely as another. Each
// crash is weighed under each point by itself and the points are summed up only then, so
// that crashes at 0.3 s, 2 s, 2.2 s and 0.3 s do not count as four at about the same point:
// a run that worked on for 2 s had passed the point at 0.3 s.

const (
	// timeResolution is how exactly the time of a crash is known at best: calls to a worker that
	// are under way break off within some milliseconds, an order takes as long again.
	timeResolution = 25 * time.Millisecond
	// maxCrashTime is the longest time after which a guilty task crashes its worker that is
	// reckoned with. Between both any order of magnitude is as likely as another.
	maxCrashTime = time.Hour
	// maxOdds bounds the odds: more says nothing more.
	maxOdds = 1e9

	// samePointShare is the share of guilty tasks that crash their workers at about the same
	// point of their work each time.
	samePointShare = 0.8
	// closeShare is how many of these crashes come close to the point, the others around it.
	closeShare = 0.5
	// closeDivisor and aroundDivisor are the parts of the time up to a point that are close to it
	// or around it, and minAroundSpan is the least that is around: an order or an answer may
	// have been late by some 100 ms.
	closeDivisor  = 25
	aroundDivisor = 4
	minAroundSpan = 100 * time.Millisecond
	// pointRatio is how far apart the points are that are reckoned with: each time is close
	// to two of them.
	pointRatio = 1.04
	// passedLikelihood is how likely a run of a task that crashes its workers at one point works on
	// beyond it.
	passedLikelihood = 0.05

	// maxCrashesKept is how many crashes of a task are weighed, and take room in the log: more
	// say nothing more.
	maxCrashesKept = 16
)

// point is a time into its work at which a guilty task may crash its workers, and how likely
// that is of all that crash them at one point.
type point struct {
	at    time.Duration
	prior float64
}

// points are those that are reckoned with, the first at once.
var points = makePoints()

// logTimeRange is how many times e lies between timeResolution and horizon.
var logTimeRange = math.Log(float64(maxCrashTime) / float64(timeResolution))

func makePoints() []point {
	all := []point{{prior: 1 / logTimeRange}}
	for at := float64(timeResolution); at < float64(maxCrashTime); at *= pointRatio {
		all = append(all, point{at: time.Duration(at), prior: math.Log(pointRatio) / logTimeRange})
	}
	return all
}

// posterior is what the crashes under a task say of it: how much likelier they all are if it
// crashes its workers at each of the points, or at any time, times how likely that was
// believed to be before.
type posterior struct {
	atPoint []float64
	anyTime float64
}

// oddsOf returns how much likelier it is than not that a task is guilty under which there were
// some crashes. Rate is how often a worker crashes by no fault of its tasks by what is known
// now, a second.
func oddsOf(crashes []job.Crash, rate float64) float64 {
	if len(crashes) == 0 {
		return priorOdds
	}
	if c := crashes[0]; len(crashes) == 1 && c.Bound == job.Exact {
		return min(maxOdds, priorOdds*(1+firstCrashHazard(c)/(c.OtherTasksHazard+max(c.BackgroundHazard, rate))))
	}
	return posteriorOf(crashes, rate).odds()
}

// nextCrashHazard returns the hazard, a second, of one more crash by a task if it is guilty.
func nextCrashHazard(before []job.Crash, c job.Crash) float64 {
	if len(before) == 0 && c.Bound == job.Exact {
		return firstCrashHazard(c)
	}
	return posteriorOf(before, 0).hazard(c)
}

// firstCrashHazard returns the hazard, a second, of the first crash under a task: each point says
// the same of it. A rack of 48 workers with 40 tasks each is judged in a sixth of the time that
// it takes point by point (BenchmarkARackThatCrashes: 181 ms and 29 ms, beside other load), so
// that a holder on a fifth of a core stands still for less.
func firstCrashHazard(c job.Crash) float64 {
	return perWorker(c, uninformedHazard(c.Worked.Duration()))
}

// posteriorOf weighs crashes. Rate is how often a worker crashes by no fault of its tasks by
// what is known now, a second: the first crashes in a cell, or under a holder, are judged
// while little is known of it.
func posteriorOf(crashes []job.Crash, rate float64) posterior {
	b := posterior{atPoint: make([]float64, len(points)), anyTime: priorOdds * (1 - samePointShare)}
	for i, p := range points {
		b.atPoint[i] = priorOdds * samePointShare * p.prior
	}
	for _, c := range crashes {
		otherwise := c.OtherTasksHazard + max(c.BackgroundHazard, rate)
		b.anyTime *= 1 + perWorker(c, uninformedHazard(c.Worked.Duration()))/otherwise
		for i, p := range points {
			b.atPoint[i] *= likelihoodRatio(c, p, otherwise)
		}
	}
	return b
}

// likelihoodRatio returns how much likelier a crash is if the task crashes its workers at a point
// of its work than if it does not, where others cause one with some hazard, a second.
func likelihoodRatio(c job.Crash, p point, otherwise float64) float64 {
	if c.Bound == job.Exact && c.Worked.Duration()-c.DetectionDelay.Duration() > p.at+p.aroundSpan() {
		return passedLikelihood
	}
	return 1 + perWorker(c, hazardAt(c, p))/otherwise
}

// odds returns how much likelier it is that the task is guilty than that it is not.
func (b posterior) odds() float64 {
	sum := b.anyTime
	for _, at := range b.atPoint {
		sum += at
	}
	return min(maxOdds, sum)
}

// hazard returns the hazard, a second, of one more crash if the task is guilty.
func (b posterior) hazard(c job.Crash) float64 {
	sum, all := b.anyTime*uninformedHazard(c.Worked.Duration()), b.anyTime
	for i, p := range points {
		sum += b.atPoint[i] * hazardAt(c, p)
		all += b.atPoint[i]
	}
	return perWorker(c, sum/all)
}

// perWorker returns the part of a task's hazard that falls to each of its workers.
func perWorker(c job.Crash, hazard float64) float64 { return hazard / float64(max(1, c.Workers)) }

// hazardAt returns the hazard, a second, of a crash by a task that crashes its workers at a
// point of its work.
func hazardAt(c job.Crash, p point) float64 {
	worked := c.Worked.Duration()
	switch c.Bound {
	case job.AtMost:
		// It crashed somewhere in that time, which is as long as it could have been.
		if p.at > worked {
			return 0
		}
		return 1 / max(worked, timeResolution).Seconds()
	case job.AtLeast:
		return uninformedHazard(worked)
	}
	return closeShare*p.density(c, p.closeSpan()) + (1-closeShare)*p.density(c, p.aroundSpan())
}

// closeSpan returns how far from a point crashes are that come close to it, around how far all
// are that count as crashes at it.
func (p point) closeSpan() time.Duration { return max(timeResolution, p.at/closeDivisor) }

func (p point) aroundSpan() time.Duration { return max(minAroundSpan, p.at/aroundDivisor) }

// density returns the density, a second, of a crash that comes within some span of the point,
// where any such time is as likely as another, and which may have been seen late.
func (p point) density(c job.Crash, span time.Duration) float64 {
	worked, late := c.Worked.Duration(), c.DetectionDelay.Duration()
	if worked < p.at-span || worked-late > p.at+span {
		return 0
	}
	return 1 / (span + min(span, p.at) + late).Seconds()
}

// uninformedHazard returns the hazard, a second, of a crash by a guilty task of which nothing else
// is known: the density of a time of which any order of magnitude between timeResolution and
// horizon is as likely as another.
func uninformedHazard(worked time.Duration) float64 {
	return 1 / (logTimeRange * min(max(worked, timeResolution), maxCrashTime).Seconds())
}
