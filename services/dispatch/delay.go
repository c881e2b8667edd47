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
	"saddlevane/services/ranking"
)

// recordWait notes what a step waits for at now.
func (s *step) recordWait(now time.Time, why delays.Cause) {
	if since := ordered.Later(s.waitSumUntil, s.openedAt); s.doneTasks+s.placedTasks == 0 && !since.IsZero() {
		if s.waitSum == nil {
			s.waitSum = delays.Totals{}
		}
		s.waitSum[why] += now.Sub(since)
	}
	s.waitSumUntil = now
}

// waitCause returns what a step waits for that has found no place in a plan.
func (s *step) waitCause() delays.Cause {
	if s.advice.hasCalls() {
		return delays.Advice
	}
	if s.capReached {
		return delays.Cap
	}
	return delays.NoRoom
}

// last.
func (j *trackedJob) delaysOf(in *instance) delays.Totals {
	d := delays.Totals{}
	opened := in.openedAt
	if j.inherited {
		d.Add(delays.Takeover, opened.Sub(in.dueAt))
	} else {
		d.Add(delays.Log, opened.Sub(in.dueAt))
	}
	for s := in.lastDone(nil); s != nil; s = in.lastDone(s.spec.After) {
		for why, took := range s.delaySum {
			d[why] += took
		}
		if len(s.spec.After) == 0 {
			break
		}
	}
	return d
}

// lastDone returns the step that was done last among some, or among all.
func (in *instance) lastDone(among []int) *step {
	var last *step
	for i, s := range in.steps {
		if among != nil && !slices.Contains(among, i) {
			continue
		}
		if last == nil || s.doneAt.After(last.doneAt) {
			last = s
		}
	}
	return last
}

// usualObjective returns the time within which an instance was wanted whose steps
// had taken what they usually take.
func (h *holderState) usualObjective(in *instance, q job.Queue) time.Duration {
	longest := time.Duration(0)
	for i, after := range ranking.CriticalPathAfter(in.steps, h.usualTime, (*step).dependencies) {
		longest = max(longest, after+h.usualTime(in.steps[i]))
	}
	return time.Duration(q.Stretch*float64(longest)) + q.Latency
}

// logJobEnd says how a job ended, against when it was wanted, and what delayed it.
func (h *holderState) logJobEnd(now time.Time, j *trackedJob, state job.State, why string) {
	fields := []exchange.LogField{
		logField("job", string(j.id)), logField("queue", j.queue), logField("workspace", j.workspace), logField("outcome", string(state)), logField("reason", why),
		logField("age", now.Sub(j.acceptedAt).String()), logField("claim", h.epoch),
	}
	if in := j.instances[0]; in != nil && state == job.Succeeded && j.submission.Instances() == 1 && !in.steps[0].spec.Service {
		most := h.usualObjective(in, h.queueOf(j))
		fields = append(fields, logField("objective", most.String()), logField("late", now.Sub(in.dueAt) > most), logField("delays", j.delaysOf(in)))
	}
	h.core.logEvent("job ended", fields...)
}
