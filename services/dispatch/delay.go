// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/modules/ordered"
	"saddlevane/services/delays"
)

// waited notes what a step waits for at now.
func (s *step) waited(now time.Time, why delays.Cause) {
	if since := ordered.Later(s.waitedAt, s.openedAt); s.done+s.attempts == 0 && !since.IsZero() {
		if s.waits == nil {
			s.waits = delays.Sum{}
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
	return delays.Room
}

// began notes that a task is started.
func (t *task) began(now time.Time) {
	if t.firstAt.IsZero() {
		t.firstAt = now
	}
	t.startedAt = now
}

// interrupted notes why a task's run ended without being done, or may never have
// begun. The first reason is the one that cost the time of those after it.
func (t *task) interrupted(why delays.Cause) {
	if t.again == "" {
		t.again = why
	}
}

// delaysOf returns where the time of a step went that has just been done by one of
// its tasks, of which that was expected to take some time.
func (s *step) delaysOf(now time.Time, last int, expected time.Duration) delays.Sum {
	d := delays.Sum{}
	t := &s.tasks[last]
	began := t.startedAt
	if began.IsZero() {
		// An earlier holder started it.
		d.Add(delays.Takeover, now.Sub(s.openedAt)-expected)
		return d
	}
	d.Add(cmp.Or(s.waits.Main(), delays.Room), t.firstAt.Sub(s.openedAt))
	d.Add(cmp.Or(t.again, delays.Lost), began.Sub(t.firstAt))
	d.Add(delays.Slow, now.Sub(began)-expected)
	return d
}

// delaysOf returns where the time of an instance went, along the steps that ended
// last.
func (j *submitted) delaysOf(in *instance) delays.Sum {
	d := delays.Sum{}
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
	for i, after := range workAfter(in.steps, h.usual) {
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
