// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package estimates

import (
	"encoding/json"
	"fmt"
	"time"

	"saddlevane/services/speeds"
)

const (
	// defaultSuitableShare is assumed for a queue without any advice so far.
	defaultSuitableShare = 0.4
	// minSuitableShare is the lower bound of the share that is used. It limits the number of workers
	// that are named in one call for advice.
	minSuitableShare = 0.1
	// smoothingFactor is the weight of one observation in an exponential moving average.
	smoothingFactor = 0.05
	// defaultStopTime is assumed until the first stop was observed.
	defaultStopTime = 200 * time.Millisecond
)

// Estimates holds what was learned from the ends of tasks and from advice.
type Estimates struct {
	// suitableShares holds, by queue, the share of workers that suited its steps.
	suitableShares map[string]float64
	// stopTime is the average time from the order to stop a task until its end is reported.
	stopTime time.Duration
	// runTimes holds what is known of the run times of the steps, by queue.
	runTimes map[string]*RunTimes
	// changed is set if run times were observed that have not been logged.
	changed bool
}

// NewEstimates returns estimates without observations.
func NewEstimates() *Estimates {
	return &Estimates{suitableShares: map[string]float64{}, runTimes: map[string]*RunTimes{}, stopTime: defaultStopTime}
}

// ObserveAdvice records an answer of the advice service for a step of a queue: the number of workers
// in the call, and how many of them were suitable.
func (e *Estimates) ObserveAdvice(queue string, asked, suitable int) {
	if asked == 0 {
		return
	}
	e.suitableShares[queue] = e.SuitableShare(queue)*(1-smoothingFactor) + smoothingFactor*float64(suitable)/float64(asked)
}

// SuitableShare returns the share of workers that are expected to be suitable for the steps of a
// queue.
func (e *Estimates) SuitableShare(queue string) float64 {
	if share, ok := e.suitableShares[queue]; ok {
		return max(minSuitableShare, share)
	}
	return defaultSuitableShare
}

// ObserveStop records the time from the order to stop a task until its end was reported.
func (e *Estimates) ObserveStop(took time.Duration) {
	e.stopTime += time.Duration(smoothingFactor * float64(took-e.stopTime))
}

// StopTime returns the average time from the order to stop a task until its end is reported.
func (e *Estimates) StopTime() time.Duration { return e.stopTime }

// ExpectedRunTime returns how long a step of a queue with the given estimate is expected to take.
func (e *Estimates) ExpectedRunTime(queue string, estimate time.Duration) time.Duration {
	return e.runTimesOf(queue).Expected(estimate)
}

// Work returns what is known of the run time of a step of a queue with the given estimate.
func (e *Estimates) Work(queue string, estimate time.Duration) speeds.Work {
	return e.runTimesOf(queue).Work(estimate)
}

// ObserveRunTime records how long a step of a queue with the given estimate took.
func (e *Estimates) ObserveRunTime(queue string, estimate, took time.Duration) {
	e.runTimesOf(queue).Observe(estimate, took)
	e.changed = true
}

// runTimesOf returns the run times of a queue, which it adds if there are none.
func (e *Estimates) runTimesOf(queue string) *RunTimes {
	r := e.runTimes[queue]
	if r == nil {
		r = &RunTimes{}
		e.runTimes[queue] = r
	}
	return r
}

// HasChanged reports whether run times were observed since the last call of TakeRunTimes.
func (e *Estimates) HasChanged() bool { return e.changed }

// TakeRunTimes returns the run times to be logged, by queue, and resets HasChanged.
func (e *Estimates) TakeRunTimes() map[string]*RunTimes {
	e.changed = false
	return e.runTimes
}

// Restore sets the run times to what an earlier holder has logged. It does nothing if logged is
// empty.
func (e *Estimates) Restore(logged []byte) error {
	if len(logged) == 0 {
		return nil
	}
	times := map[string]*RunTimes{}
	if err := json.Unmarshal(logged, &times); err != nil {
		return fmt.Errorf("logged run times: %w", err)
	}
	for queue, r := range times {
		if r != nil {
			e.runTimes[queue] = r
		}
	}
	return nil
}
