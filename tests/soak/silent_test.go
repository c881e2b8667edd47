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
	// probeAfter and answerWithin are connections.probe and connections.answer: within
	// both together a silent connection between boxes is given up.
	probeAfter   = time.Second
	answerWithin = 250 * time.Millisecond
	// logWithin bounds a call to the log, peerWithin a wish that is passed on,
	// adviceWithin a call for advice, orderWithin an order to a worker.
	logWithin    = 900 * time.Millisecond
	peerWithin   = 700 * time.Millisecond
	adviceWithin = 1600 * time.Millisecond
	orderWithin  = 300 * time.Millisecond
	// workFor is how long a task works.
	workFor = 200 * time.Millisecond
)

// servedWithin is the time from handing a job in to its end, although each connection
// on the job's way is found silent by a call that runs out of its time, one after the
// other: the caller's, then those for the job.
const servedWithin = soak.CallWithin + probeAfter + answerWithin + peerWithin + logWithin + adviceWithin + orderWithin + workFor

const (
	// silences is how often all that is open goes silent.
	silences = 3
	// jobsEach is how many jobs of each queue are handed in at a time.
	jobsEach = 4
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
func TestServiceComesBackAfterOpenConnectionsGoSilent(t *testing.T) {
	serveThroughSilences(t, func(r *soak.Rig) {
		assert.Check(t, r.Silence() > 0, "nothing was open")
	})
}

// serveThroughSilences has jobs served, and calls silence while some are.
func serveThroughSilences(t *testing.T, silence func(*soak.Rig)) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), settleWithin)
	defer cancel()
	r, err := soak.NewRig(1, daemon, t.TempDir(), boxes, workers, soak.LastingClaims(holdFor, claimAfter))
	if r != nil {
		defer r.Close()
	}
	assert.NilError(t, err)
	assert.NilError(t, r.AwaitReady(ctx))
	assert.NilError(t, r.RefuseHolderAdvice(ctx))
	callers := soak.NewCallers(r, 1)
	awaitEnds(ctx, callers, handIn(ctx, t, callers, submissions(t, r, "first")))
	for round := range silences {
		before := handIn(ctx, t, callers, submissions(t, r, fmt.Sprint("before", round)))
		silence(r)
		within, cancel := context.WithTimeout(ctx, servedWithin)
		after := handIn(within, t, callers, submissions(t, r, fmt.Sprint("after", round)))
		awaitEnds(within, callers, append(before, after...))
		cancel()
		assert.Assert(t, len(callers.Broken()) == 0, "round %d: %v", round, callers.Broken())
	}
	assert.Check(t, len(r.Broken()) == 0, "%v", r.Broken())
}

// handIn hands jobs in at the same time, until all are accepted.
func handIn(ctx context.Context, t *testing.T, callers *soak.Callers, all []job.Submission) []job.Submission {
	t.Helper()
	var tasks conc.WaitGroup
	for _, s := range all {
		tasks.Go(func() { assert.Check(t, callers.HandIn(ctx, s), "%s was not accepted", s.ID) })
	}
	tasks.Wait()
	return all
}

// awaitEnds waits until jobs have ended.
func awaitEnds(ctx context.Context, callers *soak.Callers, all []job.Submission) {
	var tasks conc.WaitGroup
	for _, s := range all {
		tasks.Go(func() { callers.AwaitEnd(ctx, s) })
	}
	tasks.Wait()
}

// submissions returns jobs of each queue, and tells the stand-in of them.
func submissions(t *testing.T, r *soak.Rig, name string) []job.Submission {
	t.Helper()
	var all []job.Submission
	for i := range jobsEach {
		for _, queue := range []string{"urgent", "wide", "batch"} {
			s := job.Submission{
				ID: job.ID(fmt.Sprintf("%s-%s%d", name, queue, i)), Queue: queue, Spec: name,
				Steps: []job.Step{{
					Tasks: 2, Need: resource.Vector{Processors: resource.Processor, Memory: resource.GiB},
					Estimate: job.Milliseconds(workFor.Milliseconds()),
				}},
			}
			assert.NilError(t, r.Expect(s, workFor))
			all = append(all, s)
		}
	}
	return all
}
