// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lateness

import "time"

const (
	// stallShare is the part of the usual time of a step's tasks after which one that
	// has come no further stands still, beginShare that of one that has shown no progress
	// at all, and stallLeast the least such time: progress is told in whole percents.
	stallShare = 0.08
	beginShare = 0.25
	stallLeast = 400 * time.Millisecond
	// stallSteps is for how many times as long as a percent took so far a run may show
	// no further one: its work may be many times what is usual.
	stallSteps = 3
	// resumeTakes is how long a run may take to go on from a checkpoint: of that it
	// shows no progress.
	resumeTakes = time.Second
)

// Work is how far a run has come.
type Work struct {
	// Usual is how long such runs take.
	Usual time.Duration
	// Progress is how much of its work is done, in percent, and Took how long that took.
	Progress int
	Took     time.Duration
	// Resumed says that it goes on from somewhere that is not known.
	Resumed bool
}

// StallPatience returns how long a run may show no further progress.
func StallPatience(w Work) time.Duration {
	begins := max(stallLeast, time.Duration(beginShare*float64(w.Usual)))
	if w.Resumed {
		return begins + resumeTakes
	}
	if w.Progress == 0 {
		return begins
	}
	return max(stallLeast, time.Duration(stallShare*float64(w.Usual)), stallSteps*(w.Took/time.Duration(w.Progress)))
}
