// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"context"
	"io"
	"runtime"
	"testing"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/services/jobrun"
	"saddlevane/tests/memory"

	"gotest.tools/v3/assert"
)

// TestRunEndsAreReceivedWhenEveryRenewalIsLate guards against dropping the ends of runs that are
// reported in late answers, so that finished tasks are started again elsewhere; see
// TestEndInLateAnswerCounts in package dispatch. Here every answer to a renewal takes longer than
// the holder waits for it, as on a congested link.
func TestRunEndsAreReceivedWhenEveryRenewalIsLate(t *testing.T) {
	on, err := memory.New(config(), 8)
	assert.NilError(t, err)
	calls := on.Calls()
	renew := calls.Workers.Renew
	calls.Workers.Renew = func(ctx context.Context, address string, worker order.Incarnation, r order.Renew) (order.Report, order.Answer) {
		report, answer := renew(ctx, address, worker, r)
		select {
		case <-time.After(500 * time.Millisecond):
			return report, answer
		case <-ctx.Done():
			return order.Report{}, order.Answer{Outcome: order.Unknown, Problem: ctx.Err().Error()}
		}
	}
	p := startBoxVia(t, calls, "a", io.Discard, func(address string) string { return address })
	waitServed(t, p, jobrun.Request{Submit: submission("late")}, "")
	waitServed(t, p, jobrun.Request{State: "late"}, job.Succeeded)
	for _, task := range []string{"late.0.0.0", "late.0.0.1", "late.0.0.2", "late.0.1.0"} {
		assert.Equal(t, on.StartCount(task), 1, "%s", task)
	}
}

// TestRenewalAnswerDoesNotRaceWithOverdueNotice guards against a data race: the notice that a
// renewal is overdue copied the variable that the answer was written to, possibly at the same
// moment. Each now has a variable of its own. The test does not synchronize the two goroutines, so
// that the race detector sees what they share.
func TestRenewalAnswerDoesNotRaceWithOverdueNotice(t *testing.T) {
	on, err := memory.New(config(), 2)
	assert.NilError(t, err)
	calls := on.Calls()
	renew := calls.Workers.Renew
	calls.Workers.Renew = func(ctx context.Context, address string, worker order.Incarnation, r order.Renew) (order.Report, order.Answer) {
		startedAt := time.Now()
		report, answer := renew(ctx, address, worker, r)
		for time.Since(startedAt) < 210*time.Millisecond {
			runtime.Gosched()
		}
		return report, answer
	}
	p := startBoxVia(t, calls, "a", io.Discard, func(address string) string { return address })
	waitServed(t, p, jobrun.Request{Submit: submission("late")}, "")
	waitServed(t, p, jobrun.Request{State: "late"}, job.Succeeded)
}
