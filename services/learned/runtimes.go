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
	meanEstimate, meanTook float64
	// spread is the variance of the estimates' logarithms, joint their covariance
	// with the times', scatter the variance of the times'.
	estimateVariance, covariance, tookVariance float64
}

// MarshalJSON writes the figures as a list.
func (r *RunTimes) MarshalJSON() ([]byte, error) {
	return json.Marshal([]float64{r.weight, r.meanEstimate, r.meanTook, r.estimateVariance, r.covariance, r.tookVariance})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (r *RunTimes) UnmarshalJSON(data []byte) error {
	var f []float64
	if err := json.Unmarshal(data, &f); err != nil {
		return err
	}
	if len(f) != encodedLength {
		return fmt.Errorf("run times: %v make no sense", f)
	}
	read := RunTimes{weight: f[0], meanEstimate: f[1], meanTook: f[2], estimateVariance: f[3], covariance: f[4], tookVariance: f[5]}
	if read.weight < 0 || read.weight > maxWeight || read.estimateVariance < 0 || read.tookVariance < 0 {
		return fmt.Errorf("run times: %v make no sense", f)
	}
	*r = read
	return nil
}

const (
	// encodedLength is how many figures the log keeps of a queue.
	encodedLength = 6
	// priorWeight is how many observations the first belief, that estimates are
	// right, counts for.
	priorWeight = 6
	// priorVariance is the variance of the logarithms in that belief: estimates
	// differ by a factor of 1.6 or so.
	priorVariance = 0.25
	// maxWeight bounds the weight of what was observed, so that old steps are
	// forgotten.
	maxWeight = 200
	// MinTime is the least time of which a logarithm is taken, to keep it finite.
	MinTime = time.Millisecond
)

// logSeconds returns the logarithm of a length of time in seconds.
func logSeconds(d time.Duration) float64 { return math.Log(max(d, MinTime).Seconds()) }

// Observe takes how long a step took that was estimated at some time.
func (r *RunTimes) Observe(estimate, took time.Duration) {
	x, y := logSeconds(estimate), logSeconds(took)
	if r.weight == 0 {
		*r = RunTimes{weight: priorWeight, meanEstimate: x, meanTook: x, estimateVariance: priorVariance, covariance: priorVariance, tookVariance: priorVariance}
	}
	r.weight = min(r.weight+1, maxWeight)
	share := 1 / r.weight
	dx, dy := x-r.meanEstimate, y-r.meanTook
	r.meanEstimate += share * dx
	r.meanTook += share * dy
	r.estimateVariance += share * (dx*(x-r.meanEstimate) - r.estimateVariance)
	r.covariance += share * (dx*(y-r.meanTook) - r.covariance)
	r.tookVariance += share * (dy*(y-r.meanTook) - r.tookVariance)
}

// Expected returns how long a step with an estimate should take.
func (r *RunTimes) Expected(estimate time.Duration) time.Duration {
	if r.weight == 0 || r.estimateVariance <= 0 {
		return estimate
	}
	slope := min(1, max(0, r.covariance/r.estimateVariance))
	// The mean of a log-normal time lies above its median by half the variance that
	// the line leaves.
	left := max(0, r.tookVariance-slope*r.covariance)
	mean := r.meanTook + slope*(logSeconds(estimate)-r.meanEstimate) + left/2
	return time.Duration(math.Exp(mean) * float64(time.Second))
}
