// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak_test

import (
	"context"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/platform/standin"
	"saddlevane/tests/soak"

	"gotest.tools/v3/assert"
)

const (
	// workerLosses is how many workers a task loses one after the other, each timeToLoss after
	// its start there, for lossDuration.
	workerLosses = 5
	timeToLoss   = 400 * time.Millisecond
	lossDuration = 8 * soak.LeaseDuration / 5
	// soundTaskDuration is how long the task runs that loses its workers.
	soundTaskDuration = 3 * time.Second
	// maxGuiltyStarts is how often a task may be started that crashes each worker.
	maxGuiltyStarts = 5
	// restartTimeout is the time within which a task must run again after its worker was lost.
	restartTimeout = 20 * time.Second
	// outageTimeout bounds these tests.
	outageTimeout = 90 * time.Second
)

// Guards against accepted jobs that are shown as failed although none of their runs failed, after
// their workers lost contact with everyone for longer than their leases.
//
// A worker that neither answered nor was listed when its lease expired was taken for crashed, and
// its tasks were blamed. After a few such losses of one task its job was given up as one that
// crashes its workers. The worker had been running all the time, and answered as the same
// incarnation later.
func TestJobFailsAfterItsWorkersLostContact(t *testing.T) {
	for _, outage := range []standin.Outage{standin.CutOff, standin.Paused} {
		t.Run(string(outage), func(t *testing.T) {
			t.Parallel()
			c := newOutageCase(t)
			s := c.submit("sound", "sound", soundTaskDuration)
			losses := c.loseRunners(s, outage)
			c.waitForState(s, job.Succeeded)
			assert.Equal(t, losses, workerLosses)
			assert.Equal(t, c.rig.FailuresOf("sound.0.0.0"), 0)
		})
	}
}

// Guards against tasks that crash worker after worker, because a crash is not recognized where the
// worker comes back later than its lease.
func TestTaskThatCrashesWorkersForLongerThanTheirLeasesIsGivenUp(t *testing.T) {
	t.Parallel()
	c := newOutageCase(t)
	c.rig.PowerOffCrashedWorkers(lossDuration)
	s := c.submit("guilty", standin.CrashSpecPrefix, soundTaskDuration)
	c.waitForState(s, job.Failed)
	starts := c.rig.StartsOf("guilty.0.0.0")
	t.Logf("given up after %d starts", starts)
	assert.Check(t, starts <= maxGuiltyStarts, "started %d times", starts)
}

// outageCase is a cell whose workers lose contact.
type outageCase struct {
	t       *testing.T
	ctx     context.Context
	rig     *soak.Rig
	callers *soak.Callers
}

func newOutageCase(t *testing.T) *outageCase {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), outageTimeout)
	t.Cleanup(cancel)
	r, err := soak.NewRig(1, daemonPath, outputDir(t, t.Name()), boxCount, workerCount, soak.WithClaimTimes(holdFor, claimAfter))
	if r != nil {
		t.Cleanup(r.Close)
	}
	assert.NilError(t, err)
	assert.NilError(t, r.WaitReady(ctx))
	return &outageCase{t: t, ctx: ctx, rig: r, callers: soak.NewCallers(r, 1)}
}

// submit submits a job with one task that runs for work, and checks that it is accepted.
func (c *outageCase) submit(id job.ID, spec string, work time.Duration) job.Submission {
	c.t.Helper()
	s := job.Submission{ID: id, Queue: "urgent", Spec: spec, Steps: []job.Step{{
		Tasks: 1, Need: resource.Vector{Processors: resource.Processor, Memory: resource.GiB}, Estimate: job.Milliseconds(work.Milliseconds()),
	}}}
	assert.NilError(c.t, c.rig.Expect(s, work))
	assert.Check(c.t, c.callers.Submit(c.ctx, s), "%s was not accepted", id)
	return s
}

// loseRunners loses the workers that run the first task of a job one after the other, until there
// were workerLosses of them or the task is not started again within restartTimeout. It returns their
// number.
func (c *outageCase) loseRunners(s job.Submission, outage standin.Outage) int {
	for n := range workerLosses {
		ctx, cancel := context.WithTimeout(c.ctx, restartTimeout)
		name, err := c.rig.LoseRunner(ctx, string(s.ID)+".0.0.0", timeToLoss, outage, lossDuration)
		cancel()
		if err != nil {
			c.t.Log(err)
			return n
		}
		c.t.Logf("%s %s for %v", name, outage, lossDuration)
	}
	return workerLosses
}

// waitForState waits until a job has ended, and checks its final state and all guarantees.
func (c *outageCase) waitForState(s job.Submission, want job.State) {
	c.t.Helper()
	c.callers.WaitForEnd(c.ctx, s)
	assert.Check(c.t, len(c.callers.Violations()) == 0, "%v", c.callers.Violations())
	assert.Check(c.t, len(c.rig.Violations()) == 0, "%v", c.rig.Violations())
	assert.Equal(c.t, c.rig.State(c.ctx, s.ID), want)
}
