// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"time"

	"saddlevane/platform/standin"
)

// LeaseDuration is the setting jobs.lease of the daemons.
const LeaseDuration = 2500 * time.Millisecond

// LoseRunner waits until a task has been running for runningFor on a worker without an outage, then
// begins an outage of that worker and returns its name. The outage ends by itself.
func (r *Rig) LoseRunner(ctx context.Context, task string, runningFor time.Duration, outage standin.Outage, duration time.Duration) (string, error) {
	for ctx.Err() == nil {
		w, started := r.platform.RunnerOf(task)
		if w != nil && started >= runningFor && w.BeginOutage(outage) {
			time.AfterFunc(duration, w.EndOutage)
			return w.Name(), nil
		}
		sleep(ctx, runnerPollInterval)
	}
	return "", fmt.Errorf("%s is not running: %w", task, ctx.Err())
}

// runnerPollInterval is the pause between two looks for the worker that runs a task.
const runnerPollInterval = 10 * time.Millisecond

// PowerOffCrashedWorkers makes each worker that is crashed by a task stay off for the given time.
func (r *Rig) PowerOffCrashedWorkers(duration time.Duration) {
	for _, w := range r.workers {
		w.SetFaults(standin.WorkerFaults{CrashOutage: duration})
	}
}

// StartsOf returns how often a task was started.
func (r *Rig) StartsOf(task string) int { return r.platform.StartsOf(task) }

// FailuresOf returns how many runs of a task failed.
func (r *Rig) FailuresOf(task string) int { return r.platform.FailuresOf(task) }
