// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lateness

import "time"

const (
	// stallFraction is the part of the usual time of a step's tasks after which one that
	// has come no further stands still, firstProgressFraction that of one that has shown no progress
	// at all, and minStallTimeout the least such time: progress is told in whole percents.
	stallFraction         = 0.08
	firstProgressFraction = 0.25
	minStallTimeout       = 400 * time.Millisecond
	// percentFactor is for how many times as long as a percent took so far a run may show
	// no further one: its work may be many times what is usual.
	percentFactor = 3
	// resumeTime is how long a run may take to go on from a checkpoint: of that it
	// shows no progress.
	resumeTime = time.Second
)

// RunProgress is how far a run has come.
type RunProgress struct {
	// Usual is how long such runs take.
	UsualTime time.Duration
	// Progress is how much of its work is done, in percent, and Took how long that took.
	Progress     int
	ProgressTime time.Duration
	// Resumed says that it goes on from somewhere that is not known.
	Resumed bool
}

// StallTimeout returns how long a run may show no further progress.
func StallTimeout(w RunProgress) time.Duration {
	begins := max(minStallTimeout, time.Duration(firstProgressFraction*float64(w.UsualTime)))
	if w.Resumed {
		return begins + resumeTime
	}
	if w.Progress == 0 {
		return begins
	}
	return max(minStallTimeout, time.Duration(stallFraction*float64(w.UsualTime)), percentFactor*(w.ProgressTime/time.Duration(w.Progress)))
}
