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
	// seenWithin is how exactly the time of a crash is known at best: calls to a worker that
	// are under way break off within some milliseconds, an order takes as long again.
	seenWithin = 25 * time.Millisecond
	// horizon is the longest time after which a guilty task crashes its worker that is
	// reckoned with. Between both any order of magnitude is as likely as another.
	horizon = time.Hour
	// mostOdds bounds the odds: more says nothing more.
	mostOdds = 1e9

	// samePoint is the share of guilty tasks that crash their workers at about the same
	// point of their work each time.
	samePoint = 0.8
	// closeShare is how many of these crashes come close to the point, the others around it.
	closeShare = 0.5
	// closePart and aroundPart are the parts of the time up to a point that are close to it
	// or around it, and aroundLeast is the least that is around: an order or an answer may
	// have been late by some 100 ms.
	closePart   = 25
	aroundPart  = 4
	aroundLeast = 100 * time.Millisecond
	// pointRatio is how far apart the points are that are reckoned with: each time is close
	// to two of them.
	pointRatio = 1.04
	// passed is how likely a run of a task that crashes its workers at one point works on
	// beyond it.
	passed = 0.05

	// crashesKept is how many crashes of a task are weighed, and take room in the log: more
	// say nothing more.
	crashesKept = 16
)

// point is a time into its work at which a guilty task may crash its workers, and how likely
// that is of all that crash them at one point.
type point struct {
	at    time.Duration
	prior float64
}

// points are those that are reckoned with, the first at once.
var points = spread()

// orders is how many times e lies between seenWithin and horizon.
var orders = math.Log(float64(horizon) / float64(seenWithin))

func spread() []point {
	all := []point{{prior: 1 / orders}}
	for at := float64(seenWithin); at < float64(horizon); at *= pointRatio {
		all = append(all, point{at: time.Duration(at), prior: math.Log(pointRatio) / orders})
	}
	return all
}

// belief is what the crashes under a task say of it: how much likelier they all are if it
// crashes its workers at each of the points, or at any time, times how likely that was
// believed to be before.
type belief struct {
	at   []float64
	ever float64
}

// oddsOf returns how much likelier it is than not that a task is guilty under which there were
// some crashes. Rate is how often a worker crashes by no fault of its tasks by what is known
// now, a second.
func oddsOf(crashes []job.Crash, rate float64) float64 {
	if len(crashes) == 0 {
		return priorOdds
	}
	if c := crashes[0]; len(crashes) == 1 && c.Time == job.Exact {
		return min(mostOdds, priorOdds*(1+firstHazard(c)/(c.Others+max(c.Itself, rate))))
	}
	return believe(crashes, rate).odds()
}

// hazardOf returns the hazard, a second, of one more crash by a task if it is guilty.
func hazardOf(before []job.Crash, c job.Crash) float64 {
	if len(before) == 0 && c.Time == job.Exact {
		return firstHazard(c)
	}
	return believe(before, 0).hazard(c)
}

// firstHazard returns the hazard, a second, of the first crash under a task: each point says
// the same of it. A rack of 48 workers with 40 tasks each is judged in a sixth of the time that
// it takes point by point (BenchmarkARackThatCrashes: 181 ms and 29 ms, beside other load), so
// that a holder on a fifth of a core stands still for less.
func firstHazard(c job.Crash) float64 { return perWorker(c, hazard(c.Worked.Duration())) }

// believe weighs crashes. Rate is how often a worker crashes by no fault of its tasks by
// what is known now, a second: the first crashes in a cell, or under a holder, are judged
// while little is known of it.
func believe(crashes []job.Crash, rate float64) belief {
	b := belief{at: make([]float64, len(points)), ever: priorOdds * (1 - samePoint)}
	for i, p := range points {
		b.at[i] = priorOdds * samePoint * p.prior
	}
	for _, c := range crashes {
		otherwise := c.Others + max(c.Itself, rate)
		b.ever *= 1 + perWorker(c, hazard(c.Worked.Duration()))/otherwise
		for i, p := range points {
			b.at[i] *= likelier(c, p, otherwise)
		}
	}
	return b
}

// likelier returns how much likelier a crash is if the task crashes its workers at a point
// of its work than if it does not, where others cause one with some hazard, a second.
func likelier(c job.Crash, p point, otherwise float64) float64 {
	if c.Time == job.Exact && c.Worked.Duration()-c.Late.Duration() > p.at+p.around() {
		return passed
	}
	return 1 + perWorker(c, hazardAt(c, p))/otherwise
}

// odds returns how much likelier it is that the task is guilty than that it is not.
func (b belief) odds() float64 {
	sum := b.ever
	for _, at := range b.at {
		sum += at
	}
	return min(mostOdds, sum)
}

// hazard returns the hazard, a second, of one more crash if the task is guilty.
func (b belief) hazard(c job.Crash) float64 {
	sum, all := b.ever*hazard(c.Worked.Duration()), b.ever
	for i, p := range points {
		sum += b.at[i] * hazardAt(c, p)
		all += b.at[i]
	}
	return perWorker(c, sum/all)
}

// perWorker returns the part of a task's hazard that falls to each of its workers.
func perWorker(c job.Crash, hazard float64) float64 { return hazard / float64(max(1, c.Workers)) }

// hazardAt returns the hazard, a second, of a crash by a task that crashes its workers at a
// point of its work.
func hazardAt(c job.Crash, p point) float64 {
	worked := c.Worked.Duration()
	switch c.Time {
	case job.Within:
		// It crashed somewhere in that time, which is as long as it could have been.
		if p.at > worked {
			return 0
		}
		return 1 / max(worked, seenWithin).Seconds()
	case job.AtLeast:
		return hazard(worked)
	}
	return closeShare*p.density(c, p.close()) + (1-closeShare)*p.density(c, p.around())
}

// close returns how far from a point crashes are that come close to it, around how far all
// are that count as crashes at it.
func (p point) close() time.Duration { return max(seenWithin, p.at/closePart) }

func (p point) around() time.Duration { return max(aroundLeast, p.at/aroundPart) }

// density returns the density, a second, of a crash that comes within some span of the point,
// where any such time is as likely as another, and which may have been seen late.
func (p point) density(c job.Crash, span time.Duration) float64 {
	worked, late := c.Worked.Duration(), c.Late.Duration()
	if worked < p.at-span || worked-late > p.at+span {
		return 0
	}
	return 1 / (span + min(span, p.at) + late).Seconds()
}

// hazard returns the hazard, a second, of a crash by a guilty task of which nothing else
// is known: the density of a time of which any order of magnitude between seenWithin and
// horizon is as likely as another.
func hazard(worked time.Duration) float64 {
	return 1 / (orders * min(max(worked, seenWithin), horizon).Seconds())
}
