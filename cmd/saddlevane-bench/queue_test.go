// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fixedCosts are costs with which a simulated holder does the same in each run.
func fixedCosts(speed float64) processorCosts {
	return processorCosts{
		speed: speed, message: 40 * time.Microsecond, submission: 100 * time.Microsecond, logLine: 10 * time.Microsecond,
		event: 10 * time.Microsecond, pass: 2 * time.Millisecond,
	}
}

// startSlack returns how late the tasks of a job of mean length may start so that it is on time.
func (k *jobKind) startSlack() time.Duration {
	work := time.Duration(k.seconds.mean * float64(time.Second))
	return time.Duration((k.queue.Stretch-1)*float64(work)) + k.queue.Latency
}

// TestShortTasksStartInTimeAtHalfTheProcessor guards against a holder that spends so much of its
// processor on steps which wait for capacity that new short tasks start late when the processor is
// slow: a waiting step was asked about a few workers at a time until all were known, and each call for
// advice costs two messages and a plan.
func TestShortTasksStartInTimeAtHalfTheProcessor(t *testing.T) {
	const workers = 1100
	for _, c := range []struct {
		name  string
		seed  int64
		speed float64
		p50   time.Duration
	}{
		{"usual processor", 1, 1, 40 * time.Millisecond},
		{"half the processor", 1, 0.5, 75 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := simulateQueue(fixedCosts(c.speed), workers, 1, c.seed)
			advice := float64(r.usage.count[causeAdvice]) / float64(r.starts)
			assert.Check(t, advice <= 1.3, "%.2f messages of advice a start", advice)
			urgent := &r.cell.mix.kinds[len(r.cell.mix.kinds)-1]
			delays, _ := r.startDelays(urgent)
			assert.Assert(t, len(delays) > 0)
			p50, p95 := delays[len(delays)/2], delays[len(delays)*95/100]
			assert.Check(t, p50 <= c.p50, "half of the first starts take up to %v", p50)
			assert.Check(t, p95 <= urgent.startSlack(), "one in 20 first starts takes more than %v", p95)
			assert.Check(t, r.usage.refused == 0, "%d jobs are refused", r.usage.refused)
		})
	}
}
