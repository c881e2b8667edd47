// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"math"
	"time"
)

// runTimes is what the ends of a queue's steps have shown about the estimates of
// those who submit them: a straight line from the logarithm of an estimate to
// that of the time that the step took, by least squares. Where estimates say
// little the line is flat, and all steps are expected to take what the queue's
// steps usually take.
type runTimes struct {
	// weight is how many observations the sums stand for.
	weight float64
	// estimate and took are the means of the logarithms.
	estimate, took float64
	// spread is the variance of the estimates' logarithms, joint their covariance
	// with the times', scatter the variance of the times'.
	spread, joint, scatter float64
}

const (
	// trustedSteps is how many observations the first belief, that estimates are
	// right, counts for.
	trustedSteps = 6
	// trustedSpread is the variance of the logarithms in that belief.
	trustedSpread = 0.25
	// stepsRemembered bounds the weight of what was observed, so that old steps are
	// forgotten.
	stepsRemembered = 200
	// leastTime keeps logarithms finite.
	leastTime = time.Millisecond
)

// logTime returns the logarithm of a length of time in seconds.
func logTime(d time.Duration) float64 { return math.Log(max(d, leastTime).Seconds()) }

// observe takes how long a step took that was estimated at some time.
func (r *runTimes) observe(estimate, took time.Duration) {
	x, y := logTime(estimate), logTime(took)
	if r.weight == 0 {
		*r = runTimes{weight: trustedSteps, estimate: x, took: x, spread: trustedSpread, joint: trustedSpread, scatter: trustedSpread}
	}
	r.weight = min(r.weight+1, stepsRemembered)
	share := 1 / r.weight
	dx, dy := x-r.estimate, y-r.took
	r.estimate += share * dx
	r.took += share * dy
	r.spread += share * (dx*(x-r.estimate) - r.spread)
	r.joint += share * (dx*(y-r.took) - r.joint)
	r.scatter += share * (dy*(y-r.took) - r.scatter)
}

// expect returns how long a step with an estimate should take.
func (r *runTimes) expect(estimate time.Duration) time.Duration {
	if r.weight == 0 || r.spread <= 0 {
		return estimate
	}
	slope := min(1, max(0, r.joint/r.spread))
	left := max(0, r.scatter-slope*r.joint)
	mean := r.took + slope*(logTime(estimate)-r.estimate) + left/2
	return time.Duration(math.Exp(mean) * float64(time.Second))
}

// timesOf returns what is known of a queue's run times.
func (l *learned) timesOf(queue string) *runTimes {
	r := l.times[queue]
	if r == nil {
		r = &runTimes{}
		l.times[queue] = r
	}
	return r
}

// expect returns how long a step takes: what it took if it is done, else what
// steps of its queue with its estimate should take.
func (h *holding) expect(s *step) time.Duration {
	if s.took > 0 && s.done == len(s.tasks) {
		return s.took
	}
	return h.learned.timesOf(s.job.queue).expect(s.spec.Estimate.Duration())
}

// tookUntil notes that a task of a step ends well at now. Only whole runs show
// how long a step takes.
func (s *step) tookUntil(now time.Time, a *attempt) {
	if a == nil || a.adopted || a.resumed || a.state != running {
		s.interrupted = true
		return
	}
	s.took = max(s.took, now.Sub(a.since))
}

// learnTimes takes how long a step took that is done, and what that means for the
// steps after it.
func (h *holding) learnTimes(s *step) {
	if s.interrupted || s.took == 0 {
		s.took = 0
	} else {
		h.learned.timesOf(s.job.queue).observe(s.spec.Estimate.Duration(), s.took)
	}
	h.chains(s.instance.steps)
}
