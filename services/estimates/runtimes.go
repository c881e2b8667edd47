// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package estimates learns from the ends of tasks and from advice: how long the steps of a queue take
// compared with their estimates, how long stops take, and which share of workers suits a queue.
package estimates

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"saddlevane/services/speeds"
)

// RunTimes predicts the run times of a queue's steps from the estimates of those who submit them.
// It is a least-squares line from the logarithm of the estimate to the logarithm of the time that
// the step took. Where the times hardly depend on the estimates, the line is flat, and all steps
// are expected to take the usual time of the queue's steps.
type RunTimes struct {
	// weight is the number of observations that the statistics stand for.
	weight float64
	// meanEstimate and meanTook are the means of the logarithms of the estimates and of the times
	// that the steps took.
	meanEstimate, meanTook float64
	// estimateVariance and tookVariance are the variances of these logarithms, and covariance their
	// covariance.
	estimateVariance, covariance, tookVariance float64
}

// MarshalJSON encodes the statistics as an array.
func (r *RunTimes) MarshalJSON() ([]byte, error) {
	return json.Marshal([]float64{r.weight, r.meanEstimate, r.meanTook, r.estimateVariance, r.covariance, r.tookVariance})
}

// UnmarshalJSON decodes what MarshalJSON has encoded, and rejects values out of range.
func (r *RunTimes) UnmarshalJSON(data []byte) error {
	var f []float64
	if err := json.Unmarshal(data, &f); err != nil {
		return err
	}
	if len(f) != encodedLength {
		return fmt.Errorf("run times: wrong number of values: %v", f)
	}
	read := RunTimes{weight: f[0], meanEstimate: f[1], meanTook: f[2], estimateVariance: f[3], covariance: f[4], tookVariance: f[5]}
	if read.weight < 0 || read.weight > maxWeight || read.estimateVariance < 0 || read.tookVariance < 0 {
		return fmt.Errorf("run times: values out of range: %v", f)
	}
	*r = read
	return nil
}

const (
	// encodedLength is the number of statistics that are logged for a queue.
	encodedLength = 6
	// priorWeight is the weight, in observations, of the initial assumption that estimates are
	// correct.
	priorWeight = 6
	// priorVariance is the variance of the logarithms in that assumption: estimates differ by a
	// factor of about 1.6.
	priorVariance = 0.25
	// minWorkWeight is the weight from which the initial assumption counts for a fifth or less.
	minWorkWeight = 5 * priorWeight
	// maxWeight bounds the weight of all observations, so that old ones are forgotten.
	maxWeight = 200
	// MinTime is the shortest time of which the logarithm is taken, which keeps it finite.
	MinTime = time.Millisecond
)

// logSeconds returns the natural logarithm of a duration in seconds.
func logSeconds(d time.Duration) float64 { return math.Log(max(d, MinTime).Seconds()) }

// Observe records how long a step with an estimate took.
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

// Expected returns the expected run time of a step with an estimate.
func (r *RunTimes) Expected(estimate time.Duration) time.Duration {
	if r.weight == 0 || r.estimateVariance <= 0 {
		return estimate
	}
	mean, unexplained := r.line(estimate)
	// The mean of a log-normal distribution is above its median by a factor of e to half the
	// variance, here the variance that the line leaves unexplained.
	return time.Duration(math.Exp(mean+unexplained/2) * float64(time.Second))
}

// line returns the expected logarithm of the run time of a step with an estimate, and the variance that
// the line leaves unexplained.
func (r *RunTimes) line(estimate time.Duration) (mean, unexplained float64) {
	slope := min(1, max(0, r.covariance/r.estimateVariance))
	return r.meanTook + slope*(logSeconds(estimate)-r.meanEstimate), max(0, r.tookVariance-slope*r.covariance)
}

// Work returns what the workers' speeds may be learned from: the expected logarithm of the run time of a
// step with an estimate. Nothing is known before there are enough observations to outweigh the initial
// assumption, since those who submit steps are off by more than workers differ.
func (r *RunTimes) Work(estimate time.Duration) speeds.Work {
	if r.weight < minWorkWeight || r.estimateVariance <= 0 {
		return speeds.Work{}
	}
	mean, unexplained := r.line(estimate)
	return speeds.Work{LogSeconds: mean, Variance: unexplained, Known: true}
}
