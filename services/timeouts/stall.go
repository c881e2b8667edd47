// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeouts

import "time"

const (
	// stallFraction is the fraction of the usual run time after which a run without further
	// progress is considered stalled. firstProgressFraction applies to a run that has not
	// reported any progress. minStallTimeout is the lower bound of both times, because
	// progress is reported in whole percent.
	stallFraction         = 0.08
	firstProgressFraction = 0.25
	minStallTimeout       = 400 * time.Millisecond
	// percentFactor is how many times the average time per percent a run may take for the
	// next percent. The work of a run may be many times the usual.
	percentFactor = 3
	// resumeTime is how long a run may take to resume from a checkpoint. It reports no
	// progress during that time.
	resumeTime = time.Second
)

// RunProgress holds the reported progress of a run.
type RunProgress struct {
	// UsualTime is the usual run time of the step's tasks.
	UsualTime time.Duration
	// Progress is the part of the work that is done, in percent, and ProgressTime is the
	// time from the start of the run to the report of that progress.
	Progress     int
	ProgressTime time.Duration
	// Resumed is set if the run started from an unknown progress.
	Resumed bool
}

// StallTimeout returns how long a run may report no further progress before it is
// considered stalled.
func StallTimeout(p RunProgress) time.Duration {
	first := max(minStallTimeout, time.Duration(firstProgressFraction*float64(p.UsualTime)))
	if p.Resumed {
		return first + resumeTime
	}
	if p.Progress == 0 {
		return first
	}
	return max(minStallTimeout, time.Duration(stallFraction*float64(p.UsualTime)), percentFactor*(p.ProgressTime/time.Duration(p.Progress)))
}
