// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package delays names what makes jobs take longer than their work, and sums it up.
package delays

import (
	"time"

	"saddlevane/modules/ordered"
)

// Cause names what made a job take longer than its work.
type Cause string

// The causes. Together they tell where the time of a late job went.
const (
	// Log: the log had not confirmed the job yet.
	Log Cause = "log"
	// Takeover: an earlier holder had the job, or its workers had not told yet
	// what they run.
	Takeover Cause = "takeover"
	// Advice: an answer of the advice service was awaited.
	Advice Cause = "advice"
	// NoRoom: no worker had room.
	NoRoom Cause = "room"
	// Cap: the tasks of its workspace took all that they may.
	Cap Cause = "cap"
	// RunFailed, Stopped, Lost and Unsure: a task ran, or was to run,
	// more than once because its run failed, was stopped for another step, ended with
	// its worker, or began on a worker that did not answer.
	RunFailed       Cause = "run failed"
	RunStopped      Cause = "run stopped"
	RunLost         Cause = "run lost"
	OrderUnanswered Cause = "order unanswered"
	// RunStalled: a run stood still and its task was moved.
	RunStalled Cause = "run stood still"
	// SlowRun: the last run took longer than expected.
	SlowRun Cause = "slow run"
)

// minDelay is the shortest delay that is told.
const minDelay = 20 * time.Millisecond

// Totals sums up times by what they were lost to.
type Totals map[Cause]time.Duration

// Add adds a time, if it is worth telling.
func (d Totals) Add(why Cause, took time.Duration) {
	if took >= minDelay {
		d[why] += took
	}
}

// Largest returns what most time was lost to, or nothing.
func (d Totals) Largest() Cause {
	best := Cause("")
	for why, took := range ordered.Map(d) {
		if best == "" || took > d[best] {
			best = why
		}
	}
	return best
}
