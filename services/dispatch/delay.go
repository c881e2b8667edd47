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

// waited notes what a step waits for at now.
func (s *step) waited(now time.Time, why delays.Cause) {
	if since := ordered.Later(s.waitedAt, s.openedAt); s.done+s.attempts == 0 && !since.IsZero() {
		if s.waits == nil {
			s.waits = delays.Totals{}
		}
		s.waits[why] += now.Sub(since)
	}
	s.waitedAt = now
}

// waitsFor returns what a step waits for that has found no place in a plan.
func (s *step) waitsFor() delays.Cause {
	if s.advice.asking() {
		return delays.Advice
	}
	if s.capped {
		return delays.Cap
	}
	return delays.NoRoom
}

// last.
func (j *submitted) delaysOf(in *instance) delays.Totals {
	d := delays.Totals{}
	opened := in.openedAt
	if j.inherited {
		d.Add(delays.Takeover, opened.Sub(in.dueAt))
	} else {
		d.Add(delays.Log, opened.Sub(in.dueAt))
	}
	for s := in.lastOf(nil); s != nil; s = in.lastOf(s.spec.After) {
		for why, took := range s.delayed {
			d[why] += took
		}
		if len(s.spec.After) == 0 {
			break
		}
	}
	return d
}

// lastOf returns the step that was done last among some, or among all.
func (in *instance) lastOf(among []int) *step {
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
func (h *holding) usualObjective(in *instance, q job.Queue) time.Duration {
	longest := time.Duration(0)
	for i, after := range ranking.WorkAfter(in.steps, h.usual, (*step).comesAfter) {
		longest = max(longest, after+h.usual(in.steps[i]))
	}
	return time.Duration(q.Stretch*float64(longest)) + q.Latency
}

// noteEnded says how a job ended, against when it was wanted, and what delayed it.
func (h *holding) noteEnded(now time.Time, j *submitted, state job.State, why string) {
	fields := []exchange.Field{
		field("job", string(j.id)), field("queue", j.queue), field("workspace", j.workspace), field("outcome", string(state)), field("reason", why),
		field("age", now.Sub(j.acceptedAt).String()), field("claim", h.epoch),
	}
	if in := j.instances[0]; in != nil && state == job.Succeeded && j.submission.Instances() == 1 && !in.steps[0].spec.Service {
		most := h.usualObjective(in, h.queueOf(j))
		fields = append(fields, field("objective", most.String()), field("late", now.Sub(in.dueAt) > most), field("delays", j.delaysOf(in)))
	}
	h.core.note("job ended", fields...)
}
