// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/modules/ordered"
	"saddlevane/services/delays"
)

// recordWait adds the time since the last call, or since the step was opened, to what the step has
// waited for the given cause. Only time before the first start counts.
func (s *step) recordWait(now time.Time, cause delays.Cause) {
	if since := ordered.Later(s.waitSumUntil, s.openedAt); s.doneTasks+s.placedTasks == 0 && !since.IsZero() {
		if s.waitSum == nil {
			s.waitSum = delays.Totals{}
		}
		s.waitSum[cause] += now.Sub(since)
	}
	s.waitSumUntil = now
}

// waitCause returns why a step was not fully placed in a plan.
func (s *step) waitCause() delays.Cause {
	if s.advice.hasCalls() {
		return delays.Advice
	}
	if s.capReached {
		return delays.Cap
	}
	return delays.NoCapacity
}

// delaysOf returns what delayed an instance, by cause. It adds the time until the instance was
// opened and the delays along the chain of steps that finished last.
func (j *trackedJob) delaysOf(in *instance) delays.Totals {
	d := delays.Totals{}
	opened := in.openedAt
	if j.inherited {
		d.Add(delays.Takeover, opened.Sub(in.dueAt))
	} else {
		d.Add(delays.Log, opened.Sub(in.dueAt))
	}
	for s := in.lastDone(nil); s != nil; s = in.lastDone(s.spec.After) {
		for cause, delay := range s.delaySum {
			d[cause] += delay
		}
		if len(s.spec.After) == 0 {
			break
		}
	}
	return d
}

// lastDone returns the step that was done last, among the steps with the given indexes or, if
// indexes is nil, among all.
func (in *instance) lastDone(indexes []int) *step {
	var last *step
	for i, s := range in.steps {
		if indexes != nil && !slices.Contains(indexes, i) {
			continue
		}
		if last == nil || s.doneAt.After(last.doneAt) {
			last = s
		}
	}
	return last
}

// logJobEnd logs how a job ended. For a successful job with one instance and without services it
// adds the objective by its own work, that is the run times of its steps at mean speed, whether it was late
// and what delayed it.
func (h *holderState) logJobEnd(now time.Time, j *trackedJob, state job.State, reason string) {
	fields := []exchange.LogField{
		logField("job", string(j.id)), logField("queue", j.queue), logField("workspace", j.workspace),
		logField("outcome", string(state)), logField("reason", reason),
		logField("age", now.Sub(j.acceptedAt).String()), logField("claim", h.epoch),
	}
	if in := j.instances[0]; in != nil && state == job.Succeeded && j.submission.Instances() == 1 && !in.steps[0].spec.Service {
		limit := objective(in, h.queueOf(j))
		fields = append(fields, logField("objective", limit.String()), logField("late", now.Sub(in.dueAt) > limit),
			logField("delays", j.delaysOf(in)))
	}
	h.core.logEvent("job ended", fields...)
}
