// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"math/rand"
	"time"
)

// Numbers of scheduled worker restarts in a run, in addition to those of other faults. A
// restarted worker keeps its name.
const (
	// groupRestarts is how often a random third of the workers restart, within
	// groupRestartSpread of each other.
	groupRestarts      = 1
	groupRestartSpread = 500 * time.Millisecond
	// doubleRestarts is how often one worker restarts twice, with at most maxDoubleRestartGap
	// between.
	doubleRestarts      = 3
	maxDoubleRestartGap = 300 * time.Millisecond
)

// scheduleRestarts schedules worker restarts at random times within the given duration.
func (f *Faults) scheduleRestarts(ctx context.Context, duration time.Duration) {
	for range groupRestarts {
		at := f.restartRNG.Int63n(int64(duration))
		for i := range f.rig.workers {
			if offset := f.restartRNG.Int63n(int64(groupRestartSpread)); f.restartRNG.Intn(3) == 0 {
				f.scheduleRestart(ctx, i, time.Duration(at+offset))
			}
		}
	}
	for range doubleRestarts {
		at, i := f.restartRNG.Int63n(int64(duration)), f.restartRNG.Intn(len(f.rig.workers))
		f.scheduleRestart(ctx, i, time.Duration(at))
		f.scheduleRestart(ctx, i, time.Duration(at+f.restartRNG.Int63n(int64(maxDoubleRestartGap))))
	}
}

// scheduleRestart restarts a worker after the given time.
func (f *Faults) scheduleRestart(ctx context.Context, worker int, delay time.Duration) {
	f.tasks.Go(func() {
		sleep(ctx, delay)
		f.recordEvent("%s restarts", workerName(worker))
		f.rig.workers[worker].Restart()
	})
}

// newRestartRNG returns the generator for worker restarts. It is separate from the others so
// that the other faults of a seed don't depend on the restarts.
func newRestartRNG(seed int64) *rand.Rand { return rand.New(rand.NewSource(seed ^ restartSeedSalt)) }

// restartSeedSalt makes its seed differ from those of the other generators.
const restartSeedSalt = 0x6c69766573
