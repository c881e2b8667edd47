// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package learned

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	// defaultSuitableShare is believed of a queue of which nothing is known.
	defaultSuitableShare = 0.4
	// minSuitableShare bounds how many workers are asked about at once.
	minSuitableShare = 0.1
	// smoothingFactor is the weight of one answer among those before.
	smoothingFactor = 0.05
	// defaultStopTime is believed of stops as long as none was seen.
	defaultStopTime = 200 * time.Millisecond
)

// Estimates are what ends and answers have shown.
type Estimates struct {
	// good is the share of workers that suited a queue's steps.
	suitableShares map[string]float64
	// stopTime is how long it usually takes until a task that is to end has ended.
	stopTime time.Duration
	// fleetSpeed is the mean over all workers of what Speed.mean is of one.
	fleetSpeed float64
	// times is what is known of the run times of each queue's steps.
	runTimes map[string]*RunTimes
	// changed says that times were learned that the log does not have.
	changed bool
}

// NewEstimates returns what is believed before anything was seen.
func NewEstimates() *Estimates {
	return &Estimates{suitableShares: map[string]float64{}, runTimes: map[string]*RunTimes{}, stopTime: defaultStopTime}
}

// ObserveAdvice takes how many of the workers asked about suited a step of a queue.
func (l *Estimates) ObserveAdvice(queue string, asked, good int) {
	if asked == 0 {
		return
	}
	l.suitableShares[queue] = l.SuitableShare(queue)*(1-smoothingFactor) + smoothingFactor*float64(good)/float64(asked)
}

// SuitableShare returns the share of workers that are expected to suit.
func (l *Estimates) SuitableShare(queue string) float64 {
	if share, ok := l.suitableShares[queue]; ok {
		return max(minSuitableShare, share)
	}
	return defaultSuitableShare
}

// ObserveStop takes how long a stop took from its order until its end was told.
func (l *Estimates) ObserveStop(took time.Duration) {
	l.stopTime += time.Duration(smoothingFactor * float64(took-l.stopTime))
}

// StopTime returns how long it usually takes until a task that is to end has ended.
func (l *Estimates) StopTime() time.Duration { return l.stopTime }

// FleetSpeed returns how slow workers are on average.
func (l *Estimates) FleetSpeed() float64 { return l.fleetSpeed }

// ObserveSpeed takes how long a task took on some worker, against what it should have.
func (l *Estimates) ObserveSpeed(ratio float64) { l.fleetSpeed = UpdateFleetMean(l.fleetSpeed, ratio) }

// ExpectedRunTime returns how long a queue's steps take that are estimated at some time.
func (l *Estimates) ExpectedRunTime(queue string, estimate time.Duration) time.Duration {
	return l.runTimesOf(queue).Expected(estimate)
}

// ObserveRunTime takes how long a step of a queue took that was estimated at some time.
func (l *Estimates) ObserveRunTime(queue string, estimate, took time.Duration) {
	l.runTimesOf(queue).Observe(estimate, took)
	l.changed = true
}

// runTimesOf returns what is known of a queue's run times.
func (l *Estimates) runTimesOf(queue string) *RunTimes {
	r := l.runTimes[queue]
	if r == nil {
		r = &RunTimes{}
		l.runTimes[queue] = r
	}
	return r
}

// HasChanged says whether there is more for the log to keep than when Times was called last.
func (l *Estimates) HasChanged() bool { return l.changed }

// TakeRunTimes returns what the log is to keep of run times.
func (l *Estimates) TakeRunTimes() map[string]*RunTimes {
	l.changed = false
	return l.runTimes
}

// Restore takes over what an earlier holder knew of run times.
func (l *Estimates) Restore(kept []byte) error {
	if len(kept) == 0 {
		return nil
	}
	times := map[string]*RunTimes{}
	if err := json.Unmarshal(kept, &times); err != nil {
		return fmt.Errorf("kept run times: %w", err)
	}
	for queue, r := range times {
		if r != nil {
			l.runTimes[queue] = r
		}
	}
	return nil
}
