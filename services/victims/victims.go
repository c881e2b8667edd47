// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package victims decides which running tasks may be stopped so that a step of higher rank can
// start, and computes the work that a stop loses.
package victims

import (
	"time"

	"saddlevane/models/resource"
	"saddlevane/services/ranking"
)

const (
	// minVictimSlack is the slack that a step must have for one of its resumable tasks to be
	// preempted. A stop, the wait to be placed again and repeating the work since the last
	// checkpoint take that long.
	minVictimSlack = 2 * time.Second
	// maxRestartableAge is how long a task without checkpoints may have run and still be preempted.
	maxRestartableAge = time.Second
	// minPreemptableTime is the expected run time that a step without checkpoints needs for its
	// tasks to be preempted. Shorter tasks end by themselves nearly as soon as they could be
	// stopped.
	minPreemptableTime = 2 * time.Second
	// minResumedTime is how long a resumed task runs at least before it may be preempted again.
	// Otherwise the work done between two stops would be no more than what the stops lose.
	minResumedTime = 2 * time.Second
	// endsSoonMargin is added to the usual stop time: a task expected to end by itself within that
	// time is not preempted.
	endsSoonMargin = 500 * time.Millisecond
	// maxResumeLoss is the work that a preempted task with checkpoints loses at most: the work
	// since its last checkpoint and the time to resume.
	maxResumeLoss = time.Second
)

// Run is a run of a task that may be preempted.
type Run struct {
	// Ran is how long it has been running.
	Ran time.Duration
	// Checkpoints is set if the task can resume from a checkpoint.
	Checkpoints bool
	// Resumed is set if this run has resumed from a checkpoint.
	Resumed bool
}

// LostWork returns the work that is lost when a run with the given processors is stopped, in
// processor seconds.
func (r Run) LostWork(processors resource.Millis) float64 {
	ran := r.Ran
	if r.Checkpoints {
		ran = min(ran, maxResumeLoss)
	}
	return ran.Seconds() * float64(processors) / float64(resource.Processor)
}

// MayStartAgain reports whether the task may be started again after a stop. Expected is the
// expected run time of its step.
func (r Run) MayStartAgain(expected time.Duration) bool {
	return r.Checkpoints || r.Ran <= maxRestartableAge && expected >= minPreemptableTime
}

// IsSpared reports whether the run is not preempted because a stop would gain little. Remaining is
// how much longer it is expected to take, and stopTime how long stops usually take.
func (r Run) IsSpared(remaining, stopTime time.Duration) bool {
	return r.Resumed && r.Ran < minResumedTime || remaining < stopTime+endsSoonMargin
}

// MayTakeFrom reports whether a step may preempt tasks of another: the other step is in a worse
// tier, or has lower priority and enough slack to start again and still be on time, unless only the
// step's workspace takes more than its share. The slack does not count while capacity is ample.
func MayTakeFrom(step, other ranking.Rank, slack time.Duration, ample bool) bool {
	if other.Tier > step.Tier {
		return true
	}
	// Capacity that a workspace has borrowed is not taken from one within its share.
	return other.Priority > step.Priority && (!step.OverShare || other.OverShare) && (slack > minVictimSlack || ample)
}
