// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package soak_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/tests/soak"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// Timeouts set for the daemons or built into them. The stand-in responds within a few
// milliseconds.
const (
	// probeAfter and answerTimeout are the settings connections.probe and connections.answer.
	// After the sum of both, a stalled connection between boxes is closed.
	probeAfter    = time.Second
	answerTimeout = 250 * time.Millisecond
	// logTimeout bounds a call to the log, peerTimeout a caller's request that is forwarded
	// to another box, adviceTimeout a call for advice, orderTimeout an order to a worker.
	logTimeout    = 900 * time.Millisecond
	peerTimeout   = 700 * time.Millisecond
	adviceTimeout = 1600 * time.Millisecond
	orderTimeout  = 300 * time.Millisecond
	// taskDuration is how long a task runs.
	taskDuration = 200 * time.Millisecond
)

// serveTimeout bounds the time from submission to end of a job, if each connection that
// serves it has stalled and is found so by a call that times out, one after the other: first
// the caller's, then those used for the job.
const serveTimeout = soak.CallTimeout + probeAfter + answerTimeout + peerTimeout + logTimeout + adviceTimeout + orderTimeout + taskDuration

const (
	// stallRounds is how often all open connections stall.
	stallRounds = 3
	// jobsPerQueue is the number of jobs submitted to each queue at a time.
	jobsPerQueue = 4
	// holdFor and claimAfter are longer than several calls to the log that time out, so that
	// no other box takes the cell over: a box that has just done so has not opened
	// connections to the other boxes yet.
	holdFor    = 5 * time.Second
	claimAfter = 5500 * time.Millisecond
)

// Guards against accepted jobs that never run after all open connections of all boxes stall
// without a reset, while new connections work and most of the workers' capacity is free.
//
// A call that timed out used to leave its connection in use, unless the call had forwarded a
// caller's request, and nothing else checked the connections between boxes. A holder that
// could not call the advice service often enough itself asked through other boxes. These
// calls, and all later ones, went over the stalled connections and timed out, for as long as
// the daemons ran. The log event "a call was not answered" showed that every failed call for
// advice used an old connection and none a new one.
func TestServiceRecoversAfterOpenConnectionsStall(t *testing.T) {
	checkServedAfterStalls(t, func(r *soak.Rig) {
		assert.Check(t, r.StallConnections() > 0, "no connection was open")
	})
}

// checkServedAfterStalls submits jobs before and after each call of stall, and checks that
// all of them end within serveTimeout.
func checkServedAfterStalls(t *testing.T, stall func(*soak.Rig)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), settleTimeout)
	defer cancel()
	r, err := soak.NewRig(1, daemonPath, t.TempDir(), boxCount, workerCount, soak.WithClaimTimes(holdFor, claimAfter))
	if r != nil {
		defer r.Close()
	}
	assert.NilError(t, err)
	assert.NilError(t, r.WaitReady(ctx))
	assert.NilError(t, r.RefuseHolderAdvice(ctx))
	callers := soak.NewCallers(r, 1)
	waitForEnds(ctx, callers, submitAll(ctx, t, callers, newSubmissions(t, r, "first")))
	for round := range stallRounds {
		before := submitAll(ctx, t, callers, newSubmissions(t, r, fmt.Sprint("before", round)))
		stall(r)
		roundCtx, cancel := context.WithTimeout(ctx, serveTimeout)
		after := submitAll(roundCtx, t, callers, newSubmissions(t, r, fmt.Sprint("after", round)))
		waitForEnds(roundCtx, callers, append(before, after...))
		cancel()
		assert.Assert(t, len(callers.Violations()) == 0, "round %d: %v", round, callers.Violations())
	}
	assert.Check(t, len(r.Violations()) == 0, "%v", r.Violations())
}

// submitAll submits jobs concurrently, checks that all are accepted, and returns them.
func submitAll(ctx context.Context, t *testing.T, callers *soak.Callers, all []job.Submission) []job.Submission {
	t.Helper()
	var tasks conc.WaitGroup
	for _, s := range all {
		tasks.Go(func() { assert.Check(t, callers.Submit(ctx, s), "%s was not accepted", s.ID) })
	}
	tasks.Wait()
	return all
}

// waitForEnds waits until all given jobs have ended.
func waitForEnds(ctx context.Context, callers *soak.Callers, all []job.Submission) {
	var tasks conc.WaitGroup
	for _, s := range all {
		tasks.Go(func() { callers.WaitForEnd(ctx, s) })
	}
	tasks.Wait()
}

// newSubmissions returns jobsPerQueue jobs for each queue, which it has announced to the
// stand-in.
func newSubmissions(t *testing.T, r *soak.Rig, name string) []job.Submission {
	t.Helper()
	var all []job.Submission
	for i := range jobsPerQueue {
		for _, queue := range []string{"urgent", "wide", "batch"} {
			s := job.Submission{
				ID: job.ID(fmt.Sprintf("%s-%s%d", name, queue, i)), Queue: queue, Spec: name,
				Steps: []job.Step{{
					Tasks: 2, Need: resource.Vector{Processors: resource.Processor, Memory: resource.GiB},
					Estimate: job.Milliseconds(taskDuration.Milliseconds()),
				}},
			}
			assert.NilError(t, r.Expect(s, taskDuration))
			all = append(all, s)
		}
	}
	return all
}
