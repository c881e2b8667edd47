// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/services/delays"
)

// recordWait adds the time since the last call to what the step has waited for the given cause.
func (s *step) recordWait(now time.Time, cause delays.Cause) {
	s.waits.Record(now, s.openedAt, s.doneTasks+s.placedTasks > 0, cause)
}

// waitCause returns why a step was not fully placed in a plan.
func (s *step) waitCause() delays.Cause {
	switch {
	case s.advice.hasCalls():
		return delays.Advice
	case s.capReached:
		return delays.Cap
	}
	return delays.NoCapacity
}

// delaysOf returns what delayed an instance, by cause. It adds the time until the instance was
// opened and the delays along the chain of steps that finished last.
func (j *trackedJob) delaysOf(in *instance) delays.Totals {
	d := delays.Totals{}
	cause := delays.Log
	if j.inherited {
		cause = delays.Takeover
	}
	d.Add(cause, in.openedAt.Sub(in.dueAt))
	var steps []delays.Done
	for _, s := range in.steps {
		steps = append(steps, delays.Done{At: s.doneAt, Delays: s.delaySum, After: s.spec.After})
	}
	d.AddChain(steps)
	return d
}

// logJobEnd logs how a job ended, as a warning if it failed. For a successful job with one instance and without services it
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
	h.core.emit(exchange.LogEvent{Message: "job ended", Fields: fields, Warning: state == job.Failed})
}
