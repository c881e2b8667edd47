// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"saddlevane/models/stream"
)

// runTimes is what the ends of a queue's steps have shown about the estimates of
// those who submit them: a straight line from the logarithm of an estimate to
// that of the time that the step took, by least squares. Where estimates say
// little the line is flat, and all steps are expected to take what the queue's
// steps usually take.
type runTimes struct {
	// weight is how many observations the figures stand for.
	weight float64
	// estimate and took are the means of the logarithms of the estimates and of the
	// times that the steps took.
	estimate, took float64
	// spread is the variance of the estimates' logarithms, joint their covariance
	// with the times', scatter the variance of the times'.
	spread, joint, scatter float64
}

// MarshalJSON writes the figures as a list.
func (r *runTimes) MarshalJSON() ([]byte, error) {
	return json.Marshal([]float64{r.weight, r.estimate, r.took, r.spread, r.joint, r.scatter})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (r *runTimes) UnmarshalJSON(data []byte) error {
	var f []float64
	if err := json.Unmarshal(data, &f); err != nil {
		return err
	}
	if len(f) != figuresKept {
		return fmt.Errorf("run times: %v make no sense", f)
	}
	read := runTimes{weight: f[0], estimate: f[1], took: f[2], spread: f[3], joint: f[4], scatter: f[5]}
	if read.weight < 0 || read.weight > stepsRemembered || read.spread < 0 || read.scatter < 0 {
		return fmt.Errorf("run times: %v make no sense", f)
	}
	*r = read
	return nil
}

const (
	// figuresKept is how many figures the log keeps of a queue.
	figuresKept = 6
	// trustedSteps is how many observations the first belief, that estimates are
	// right, counts for.
	trustedSteps = 6
	// trustedSpread is the variance of the logarithms in that belief: estimates
	// differ by a factor of 1.6 or so.
	trustedSpread = 0.25
	// stepsRemembered bounds the weight of what was observed, so that old steps are
	// forgotten.
	stepsRemembered = 200
	// leastTime is the least time of which a logarithm is taken, to keep it finite.
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
	// The mean of a log-normal time lies above its median by half the variance that
	// the line leaves.
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

// keepTimesEvery is the time between two records of what is known of run times.
const keepTimesEvery = 3 * time.Second

// keepTimes has the log keep what is known of run times, if there is more of it.
func (h *holding) keepTimes(now time.Time) {
	if now.Before(h.keepTimesAt) || h.phase != active || !h.learned.changed || h.journal.failing(now) {
		return
	}
	h.keepTimesAt = now.Add(keepTimesEvery)
	h.learned.changed = false
	value, err := json.Marshal(h.learned.times)
	if err != nil {
		// The figures are plain numbers.
		panic(err)
	}
	h.journal.add(stream.Record{Key: keyTimes, Value: value})
}

// foldTimes takes over what an earlier holder knew of run times.
func (h *holding) foldTimes(value []byte) {
	times := map[string]*runTimes{}
	if err := json.Unmarshal(value, &times); err != nil {
		h.core.note("kept run times could not be read", Field{"error", err.Error()})
		return
	}
	for queue, r := range times {
		if r != nil {
			h.learned.times[queue] = r
		}
	}
}

// expect returns how long a step takes: what it took if it is done, else what
// steps of its queue with its estimate should take.
func (h *holding) expect(s *step) time.Duration {
	if s.took > 0 && s.done == len(s.tasks) {
		return s.took
	}
	return h.usual(s)
}

// usual returns what steps of a step's queue with its estimate usually take.
func (h *holding) usual(s *step) time.Duration {
	if !h.uses(LearnedTimes) {
		return s.spec.Estimate.Duration()
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

// learnTimes takes how long a step took that is done, and sets anew how much work
// follows the steps of its instance.
func (h *holding) learnTimes(s *step) {
	if s.interrupted || s.took == 0 {
		s.took = 0
	} else {
		h.learned.timesOf(s.job.queue).observe(s.spec.Estimate.Duration(), s.took)
		h.learned.changed = true
	}
	h.chains(s.instance.steps)
}
