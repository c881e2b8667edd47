// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package delays attributes the time that a job takes beyond its work to causes.
package delays

import (
	"time"

	"saddlevane/modules/ordered"
)

// Cause is the cause of a delay of a job.
type Cause string

// The causes of delays.
const (
	// Log means that the log had not confirmed the job yet.
	Log Cause = "log"
	// Takeover means that an earlier holder had accepted or started the job, or that its
	// workers had not reported yet what they run.
	Takeover Cause = "takeover"
	// Advice means that the job waited for an answer of the advice service.
	Advice Cause = "advice"
	// NoCapacity means that no worker had enough free capacity.
	NoCapacity Cause = "room"
	// Cap means that the job's workspace had reached its cap.
	Cap Cause = "cap"
	// RunFailed means that a task was started again because its run failed. RunStopped means
	// the same for a run that was stopped for another step, RunLost for one that ended with
	// its worker, and OrderUnanswered for a start that its worker did not answer.
	RunFailed       Cause = "run failed"
	RunStopped      Cause = "run stopped"
	RunLost         Cause = "run lost"
	OrderUnanswered Cause = "order unanswered"
	// RunStalled means that a run made no progress and its task was moved.
	RunStalled Cause = "run stood still"
	// SlowRun means that the last run of a task took longer than expected.
	SlowRun Cause = "slow run"
)

// minDelay is the shortest delay that is counted.
const minDelay = 20 * time.Millisecond

// Totals holds the total delay by cause.
type Totals map[Cause]time.Duration

// Add adds a delay, unless it is shorter than minDelay.
func (t Totals) Add(cause Cause, delay time.Duration) {
	if delay >= minDelay {
		t[cause] += delay
	}
}

// Largest returns the cause of the largest delay, or "" if there is none.
func (t Totals) Largest() Cause {
	largest := Cause("")
	for cause, delay := range ordered.Map(t) {
		if largest == "" || delay > t[largest] {
			largest = cause
		}
	}
	return largest
}
