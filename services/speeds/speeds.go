// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package speeds estimates how fast each worker runs tasks, compared with all others, and how certain
// that is.
package speeds

import (
	"math"
	"slices"
	"time"
)

const (
	// priorVariance is the variance of the logarithm of the speed of a worker of which nothing is
	// known: workers differ by a factor of about 1.6.
	priorVariance = 0.25
	// growthTime is the time without evidence in which the variance grows from 0 to priorVariance.
	growthTime = 5 * time.Minute
	// taskVariance is the variance of the logarithms of the times of a step's tasks at equal speed.
	taskVariance = 0.0625
	// restartVariance and takeoverVariance are added when a worker has restarted, and when the
	// estimates were read from a record.
	restartVariance, takeoverVariance = priorVariance / 2, priorVariance / 20
	// maxInnovation bounds what one observation counts, in standard deviations, because single
	// runs may take many times as long as others.
	maxInnovation = 2.5
	// surprisesForReset is the number of observations in a row beyond maxInnovation, in the same
	// direction, after which the worker's speed has changed.
	surprisesForReset = 2
	// minBiasWeight is the minimum weight of a new step in the mean error of the expected work.
	minBiasWeight = 0.01
	// certainty is the number of standard deviations by which a speed must differ from the mean to
	// be certain.
	certainty = 2
	// retryAfter is how long a difference counts as certain without new evidence, so that a worker
	// that was slow is tried again.
	retryAfter = 10 * time.Second
	// medianUpdateDivisor is the number of workers divided by the number of changes after which the
	// median is computed again. Sorting all means for each change would take too long in a large cell.
	medianUpdateDivisor = 8
	// classWidth is the logarithm of the ratio of the speeds of neighboring classes.
	classWidth = 0.14
	// minTime is the shortest time of which the logarithm is taken, which keeps it finite.
	minTime = time.Millisecond
)

// Speed is what is known of the speed of one worker.
type Speed struct {
	// mean and variance are those of the logarithm of the speed. variance is that at updatedAt.
	mean, variance float64
	// updatedAt is the time of the last evidence, or of the last change of the variance.
	updatedAt time.Time
	// surprises counts the observations in a row beyond maxInnovation; it is negative if they were
	// slower than expected.
	surprises int
}

// Tracker holds the speeds of all workers of which something is known.
type Tracker struct {
	speeds map[string]*Speed
	// sum is the sum of the means of all speeds.
	sum float64
	// bias is the mean difference of the logarithms of the expected and the actual work, over the
	// given number of steps that had no tasks on several workers.
	bias, steps float64
	// usual is the median of the means when it was last computed. Unlike their mean, it is not shifted
	// by a minority that differs. updates counts the changes since.
	usual   float64
	updates int
	// rest is the workers without a speed of their own that count for the mean and the median.
	rest rest
	// changed is set if there was evidence since the last record, which was at recordedAt. The next one is due
	// after recordInterval.
	changed        bool
	recordedAt     time.Time
	recordInterval time.Duration
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker { return &Tracker{speeds: map[string]*Speed{}} }

// Run is how long one task of a step took on a worker.
type Run struct {
	Worker string
	Took   time.Duration
}

// Work is what is known beforehand of a step's run time at mean speed. The zero value is that of a step
// of which nothing is known.
type Work struct {
	// LogSeconds is the expected logarithm of the run time in seconds.
	LogSeconds float64
	// Variance is the variance of that logarithm.
	Variance float64
	// Known is set if something is known.
	Known bool
}

// mean returns the mean logarithm of the speeds.
func (t *Tracker) mean() float64 {
	n := len(t.speeds) + t.rest.count
	if n == 0 {
		return 0
	}
	return (t.sum + t.rest.mean*float64(t.rest.count)) / float64(n)
}

// of returns the speed of a worker, which it adds with the mean of all if it is unknown.
func (t *Tracker) of(now time.Time, worker string) *Speed {
	s := t.speeds[worker]
	if s == nil {
		s = &Speed{mean: t.mean(), variance: priorVariance, updatedAt: now}
		t.speeds[worker] = s
		t.sum += s.mean
		t.rest.count = max(0, t.rest.count-1)
	}
	return s
}

// varianceAt returns the variance at a time. It grows with the age of the evidence.
func (s *Speed) varianceAt(now time.Time) float64 {
	age := max(0, now.Sub(s.updatedAt))
	return min(priorVariance, s.variance+priorVariance*age.Seconds()/growthTime.Seconds())
}

// isForgottenAt reports whether the evidence is so old that nothing is known any more.
func (s *Speed) isForgottenAt(now time.Time) bool { return now.Sub(s.updatedAt) >= growthTime }

// Observe records the run times of the tasks of a step. Tasks on other workers of the same step are the
// measure of a run; where there are none, the expected work is.
func (t *Tracker) Observe(now time.Time, runs []Run, work Work) {
	groups := groupByWorker(runs)
	switch {
	case len(groups) > 1:
		t.compare(now, groups)
	case len(groups) == 1 && work.Known:
		t.compareToExpected(now, groups[0], work)
	}
}

// compareToExpected records the run times of a step's tasks on one worker. The mean error of the expected
// work is subtracted, so that only the rest of the difference counts as the worker's.
func (t *Tracker) compareToExpected(now time.Time, g group, work Work) {
	observed := work.LogSeconds - g.longest
	t.steps++
	t.bias += max(1/t.steps, minBiasWeight) * (observed - (t.of(now, g.worker).mean - t.mean()) - t.bias)
	t.update(now, g.worker, observed-t.bias+t.mean(), work.Variance+taskVariance)
}

// compare records the run times of a step's tasks on several workers. The logarithm of the work is estimated
// for each worker from the tasks on all others, weighted by their certainty.
func (t *Tracker) compare(now time.Time, groups []group) {
	precision, weighted := 0.0, 0.0
	for i := range groups {
		g := &groups[i]
		s := t.of(now, g.worker)
		g.precision = 1 / (s.varianceAt(now) + taskVariance/g.tasks)
		g.work = g.sum/g.tasks + s.mean
		precision += g.precision
		weighted += g.precision * g.work
	}
	for _, g := range groups {
		others := precision - g.precision
		work := (weighted - g.precision*g.work) / others
		t.update(now, g.worker, work-g.sum/g.tasks, 1/others+taskVariance/g.tasks)
	}
}

// update records an observation of the logarithm of a worker's speed, with its variance.
func (t *Tracker) update(now time.Time, worker string, observed, variance float64) {
	s := t.of(now, worker)
	before := s.varianceAt(now)
	innovation := observed - s.mean
	s.countSurprise(innovation, before+variance)
	isReset := s.surprises >= surprisesForReset || s.surprises <= -surprisesForReset
	if isReset || s.surprises != 0 && now.Sub(s.updatedAt) > retryAfter {
		before = priorVariance
	}
	limit, gain := maxInnovation, before/(before+variance)
	s.variance = before * (1 - gain)
	switch {
	case isReset:
		s.surprises = 0
	case s.surprises != 0:
		// A single surprise may be a task of another length: it makes no difference certain.
		limit, s.variance = certainty, before
	}
	change := gain * bounded(innovation, before+variance, limit)
	s.mean += change
	t.sum += change
	s.updatedAt = now
	t.changed = true
	t.updateUsual()
}

// updateUsual computes the median of the means, after as many changes as make up a share of the workers.
func (t *Tracker) updateUsual() {
	t.updates++
	if t.updates*medianUpdateDivisor <= len(t.speeds) {
		return
	}
	t.updates = 0
	t.usual = t.median()
}

// median returns the median of the means.
func (t *Tracker) median() float64 {
	if len(t.speeds)+t.rest.count == 0 {
		return 0
	}
	means := slices.Repeat([]float64{t.rest.mean}, t.rest.count)
	for _, s := range t.speeds {
		means = append(means, s.mean)
	}
	slices.Sort(means)
	return (means[(len(means)-1)/2] + means[len(means)/2]) / 2
}

// bounded returns an innovation, bounded by a number of standard deviations for its variance.
func bounded(innovation, variance, deviations float64) float64 {
	limit := deviations * math.Sqrt(variance)
	return max(-limit, min(limit, innovation))
}

// countSurprise counts an observation if it is beyond maxInnovation.
func (s *Speed) countSurprise(innovation, variance float64) {
	direction := 0
	if bounded(innovation, variance, maxInnovation) != innovation {
		direction = int(math.Copysign(1, innovation))
	}
	if s.surprises*direction <= 0 {
		s.surprises = 0
	}
	s.surprises += direction
}

// Restart records that a worker has restarted: it may have another speed.
func (t *Tracker) Restart(now time.Time, worker string) {
	if s := t.speeds[worker]; s != nil {
		s.variance, s.updatedAt = min(priorVariance, s.varianceAt(now)+restartVariance), now
	}
}

// Estimate is the estimated speed of a worker.
type Estimate struct {
	// Log is the logarithm of the speed, compared with the mean of all workers, and Deviation its
	// standard deviation.
	Log, Deviation float64
	// usual is the logarithm of the usual speed, compared with the mean of all workers.
	usual float64
	// stale is set if there was no evidence for retryAfter.
	stale bool
}

// Of returns the estimated speed of a worker.
func (t *Tracker) Of(now time.Time, worker string) Estimate {
	s := t.speeds[worker]
	if s == nil || s.isForgottenAt(now) {
		return Estimate{Deviation: math.Sqrt(priorVariance), stale: true}
	}
	return Estimate{Log: s.mean - t.mean(), Deviation: math.Sqrt(s.varianceAt(now)), usual: t.usual - t.mean(), stale: now.Sub(s.updatedAt) > retryAfter}
}

// certainDifference returns the certain part of the logarithm of the speed, compared with the usual one. It is 0
// for a worker that may be as fast as usual.
func (e Estimate) certainDifference() float64 {
	return math.Copysign(max(0, math.Abs(e.Log-e.usual)-certainty*e.Deviation), e.Log-e.usual)
}

// Class returns the class of the worker's speed for placement: 0 for a worker that is about as fast as
// usual or is to be tried again, positive for a slower one and negative for a faster one.
func (e Estimate) Class() int {
	if e.stale {
		return 0
	}
	return e.class()
}

// class returns the class of the worker's speed by all evidence.
func (e Estimate) class() int { return int(-e.certainDifference() / classWidth) }

// speed returns how fast the worker is compared with the mean of all. It has the usual speed unless it is
// certain that it is faster or slower.
func (e Estimate) speed() float64 {
	if e.class() == 0 {
		return math.Exp(e.usual)
	}
	return math.Exp(e.Log)
}

// TimeFor returns the expected time on the worker of what takes the given time at mean speed.
func (e Estimate) TimeFor(work time.Duration) time.Duration {
	return time.Duration(float64(work) / e.speed())
}

// WorkOf returns the time at mean speed of what took the given time on the worker.
func (e Estimate) WorkOf(took time.Duration) time.Duration {
	return time.Duration(float64(took) * e.speed())
}

// String returns the speed and its range of one standard deviation, for operators.
func (e Estimate) String() string { return formatRange(e.Log, e.Deviation) }

// Summary counts the workers of which something is known, and those that are certainly slower or faster
// than usual.
type Summary struct{ Known, Slower, Faster int }

// Summary returns how many workers differ at a time.
func (t *Tracker) Summary(now time.Time) Summary {
	n := Summary{Known: len(t.speeds)}
	for worker := range t.speeds {
		switch class := t.Of(now, worker).class(); {
		case class > 0:
			n.Slower++
		case class < 0:
			n.Faster++
		}
	}
	return n
}
