// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package jobrun_test

import (
	"context"
	"slices"
	"testing"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/services/jobrun"

	"gotest.tools/v3/assert"
)

// TestFailedJobIsLoggedAsWarning guards the level of the line about a failed job: an operator finds lost jobs
// among the warnings. Other ends of jobs are no warnings.
func TestFailedJobIsLoggedAsWarning(t *testing.T) {
	on := newPlatform(t).Calls()
	renew := on.Workers.Renew
	on.Workers.Renew = func(ctx context.Context, address string, worker order.Incarnation, r order.Renew) (order.Report, order.Answer) {
		report, answer := renew(ctx, address, worker, r)
		report.Ended = slices.Clone(report.Ended)
		for i, end := range report.Ended {
			if end.Run.Task.Job == "bad" {
				report.Ended[i].Status = order.Failed
			}
		}
		return report, answer
	}
	var lines safeBuffer
	b := startBoxVia(t, on, "a", &lines, func(address string) string { return address })
	for id, state := range map[string]job.State{"good": job.Succeeded, "bad": job.Failed} {
		waitServed(t, b, jobrun.Request{Submit: submission(id)}, "")
		waitServed(t, b, jobrun.Request{State: job.ID(id)}, state)
	}
	b.close()
	assert.Equal(t, len(linesWith(lines.String(), `msg="job ended"`, "job=bad", "outcome=failed", "level=warning")), 1, lines.String())
	assert.Equal(t, len(linesWith(lines.String(), `msg="job ended"`, "job=good", "outcome=succeeded", "level=info")), 1)
}
