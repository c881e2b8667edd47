// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package learned holds what the ends of tasks have shown: how long a queue's steps take
// against their estimates, and how slow a worker is among all.
package learned

import (
	"encoding/json"
	"fmt"
	"math"
	"time"
)

// RunTimes is what the ends of a queue's steps have shown about the estimates of
// those who submit them: a straight line from the logarithm of an estimate to
// that of the time that the step took, by least squares. Where estimates say
// little the line is flat, and all steps are expected to take what the queue's
// steps usually take.
type RunTimes struct {
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
func (r *RunTimes) MarshalJSON() ([]byte, error) {
	return json.Marshal([]float64{r.weight, r.estimate, r.took, r.spread, r.joint, r.scatter})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (r *RunTimes) UnmarshalJSON(data []byte) error {
	var f []float64
	if err := json.Unmarshal(data, &f); err != nil {
		return err
	}
	if len(f) != figuresKept {
		return fmt.Errorf("run times: %v make no sense", f)
	}
	read := RunTimes{weight: f[0], estimate: f[1], took: f[2], spread: f[3], joint: f[4], scatter: f[5]}
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
	// LeastTime is the least time of which a logarithm is taken, to keep it finite.
	LeastTime = time.Millisecond
)

// logTime returns the logarithm of a length of time in seconds.
func logTime(d time.Duration) float64 { return math.Log(max(d, LeastTime).Seconds()) }

// Observe takes how long a step took that was estimated at some time.
func (r *RunTimes) Observe(estimate, took time.Duration) {
	x, y := logTime(estimate), logTime(took)
	if r.weight == 0 {
		*r = RunTimes{weight: trustedSteps, estimate: x, took: x, spread: trustedSpread, joint: trustedSpread, scatter: trustedSpread}
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

// Expect returns how long a step with an estimate should take.
func (r *RunTimes) Expect(estimate time.Duration) time.Duration {
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
