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

// What the daemons are told or have for bounds; the stand-in answers in a few
// milliseconds.
const (
	// probeAfter and answerTimeout are connections.probe and connections.answer: within
	// both together a silent connection between boxes is given up.
	probeAfter    = time.Second
	answerTimeout = 250 * time.Millisecond
	// logTimeout bounds a call to the log, peerTimeout a wish that is passed on,
	// adviceTimeout a call for advice, orderTimeout an order to a worker.
	logTimeout    = 900 * time.Millisecond
	peerTimeout   = 700 * time.Millisecond
	adviceTimeout = 1600 * time.Millisecond
	orderTimeout  = 300 * time.Millisecond
	// taskDuration is how long a task works.
	taskDuration = 200 * time.Millisecond
)

// serveTimeout is the time from handing a job in to its end, although each connection
// on the job's way is found silent by a call that runs out of its time, one after the
// other: the caller's, then those for the job.
const serveTimeout = soak.CallTimeout + probeAfter + answerTimeout + peerTimeout + logTimeout + adviceTimeout + orderTimeout + taskDuration

const (
	// stallRounds is how often all that is open goes silent.
	stallRounds = 3
	// jobsPerQueue is how many jobs of each queue are handed in at a time.
	jobsPerQueue = 4
	// holdFor and claimAfter outlast several calls to the log that run out of their
	// time, so that the cell isn't taken over: a box that has just taken it over has
	// opened no connections to the others yet.
	holdFor    = 5 * time.Second
	claimAfter = 5500 * time.Millisecond
)

// Symptom: jobs that were accepted never ran, with most of the workers' room free, for
// as long as the daemons lived.
//
// Sequence: all open connections of all boxes went silent at once, without a reset; new
// ones worked. For a second or so no job was accepted, then as many as before. The
// holder of the cell could not ask the advice service as often as it needed by itself,
// and asked through the other boxes: each such call ran out of its time, and so did
// those after it.
//
// Cause: a call that ran out of its time left its connection in use, unless it had
// passed a caller's wish on. Nothing else looked at connections between boxes.
//
// What settled it: the line "a call had no answer" told that all calls for advice
// without an answer went over connections used before, over which nothing had come
// since the silence, and none over a new one.
func TestServiceRecoversAfterOpenConnectionsStall(t *testing.T) {
	checkServedAfterStalls(t, func(r *soak.Rig) {
		assert.Check(t, r.StallConnections() > 0, "nothing was open")
	})
}

// checkServedAfterStalls has jobs served, and calls silence while some are.
func checkServedAfterStalls(t *testing.T, silence func(*soak.Rig)) {
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
		silence(r)
		within, cancel := context.WithTimeout(ctx, serveTimeout)
		after := submitAll(within, t, callers, newSubmissions(t, r, fmt.Sprint("after", round)))
		waitForEnds(within, callers, append(before, after...))
		cancel()
		assert.Assert(t, len(callers.Violations()) == 0, "round %d: %v", round, callers.Violations())
	}
	assert.Check(t, len(r.Violations()) == 0, "%v", r.Violations())
}

// submitAll hands jobs in at the same time, until all are accepted.
func submitAll(ctx context.Context, t *testing.T, callers *soak.Callers, all []job.Submission) []job.Submission {
	t.Helper()
	var tasks conc.WaitGroup
	for _, s := range all {
		tasks.Go(func() { assert.Check(t, callers.Submit(ctx, s), "%s was not accepted", s.ID) })
	}
	tasks.Wait()
	return all
}

// waitForEnds waits until jobs have ended.
func waitForEnds(ctx context.Context, callers *soak.Callers, all []job.Submission) {
	var tasks conc.WaitGroup
	for _, s := range all {
		tasks.Go(func() { callers.WaitForEnd(ctx, s) })
	}
	tasks.Wait()
}

// newSubmissions returns jobs of each queue, and tells the stand-in of them.
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
