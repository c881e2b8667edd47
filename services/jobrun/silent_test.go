// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/services/jobrun"
	"saddlevane/tests/memory"

	"gotest.tools/v3/assert"
)

// Symptom: jobs that were accepted never ran, with most of the workers' room free;
// of the time of calls for advice 40 s in 2 s were left 2 s.
//
// Sequence: the open connections between boxes went silent, without a reset; new ones
// worked. The boxes passed callers' wishes on to the holder again 0.7 s later. The
// holder's calls for advice through every other box ran out of their time, in rounds of
// 5.5 s, for as long as it lived.
//
// Cause: the first wish that ran out of its time closed its connection; a call for
// advice that ran out left it in use, and nothing else looked at it.
//
// What settled it: the line "a call had no answer" told of 2,364 calls for advice, all
// on connections used before, over which nothing had come since the silence: for 1 s at
// first, for 36 s at last. No call on a new connection was without an answer.
func TestAdviceIsHadAgainAfterConnectionsBetweenBoxesWentSilent(t *testing.T) {
	on, err := memory.New(advisedConfig(), 2)
	assert.NilError(t, err)
	links := forwarder(t)
	holder := startVia(t, advisedBy(on, refuseAdvice), "a", io.Discard, via(t, links))
	served(t, holder, jobrun.Request{Submit: submission("first")}, "")
	assert.Check(t, holder.holds())
	startVia(t, advisedBy(on, giveAdvice), "b", io.Discard, via(t, links))
	served(t, holder, jobrun.Request{State: "first"}, job.Succeeded)

	for round := range 3 {
		assert.Check(t, links.Silence() > 0, "nothing was open in round %d", round)
		id := fmt.Sprint("silent", round)
		served(t, holder, jobrun.Request{Submit: submission(id)}, "")
		served(t, holder, jobrun.Request{State: job.ID(id)}, job.Succeeded)
	}
}

// advisedConfig has one queue whose tasks need advice.
func advisedConfig() job.Config {
	c := config()
	q := c.Queues["q"]
	q.Advice = &job.Advice{Base: time.Millisecond, Each: time.Millisecond, Valid: time.Minute}
	c.Queues["q"] = q
	return c
}

// advisedBy returns the calls of a box which advise answers.
func advisedBy(on *memory.Platform, advise func(workers []string) ([]order.Ticket, error)) jobrun.Platform {
	calls := on.Calls()
	calls.Advise = func(_ context.Context, _ job.StepID, workers []string) ([]order.Ticket, error) {
		return advise(workers)
	}
	return calls
}

// refuseAdvice is how the service answers a box of which too many calls wait.
func refuseAdvice([]string) ([]order.Ticket, error) { return nil, jobrun.ErrAdviceBusy }

// giveAdvice has all workers suit.
func giveAdvice(workers []string) ([]order.Ticket, error) {
	tickets := make([]order.Ticket, len(workers))
	for i, w := range workers {
		tickets[i] = order.Ticket{Worker: w, Ticket: "ticket"}
	}
	return tickets, nil
}
