// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/ordered"
)

// delay names what made a job take longer than its work.
type delay string

// The delays. Together they tell where the time of a late job went.
const (
	// delayLog: the log had not confirmed the job yet.
	delayLog delay = "log"
	// delayTakeover: an earlier holder had the job, or its workers had not told yet
	// what they run.
	delayTakeover delay = "takeover"
	// delayAdvice: an answer of the advice service was awaited.
	delayAdvice delay = "advice"
	// delayRoom: no worker had room.
	delayRoom delay = "room"
	// delayFailed, delayStopped, delayLost and delayUnsure: a task ran, or was to run,
	// more than once because its run failed, was stopped for another step, ended with
	// its worker, or began on a worker that did not answer.
	delayFailed  delay = "run failed"
	delayStopped delay = "run stopped"
	delayLost    delay = "run lost"
	delayUnsure  delay = "order unanswered"
	// delayStalled: a run stood still and its task was moved.
	delayStalled delay = "run stood still"
	// delaySlow: the last run took longer than expected.
	delaySlow delay = "slow run"
)

// leastDelay is the shortest delay that is told.
const leastDelay = 20 * time.Millisecond

// delays sums up times by what they were lost to.
type delays map[delay]time.Duration

// add adds a time, if it is worth telling.
func (d delays) add(why delay, took time.Duration) {
	if took >= leastDelay {
		d[why] += took
	}
}

// main returns what most time was lost to, or nothing.
func (d delays) main() delay {
	best := delay("")
	for why, took := range ordered.Map(d) {
		if best == "" || took > d[best] {
			best = why
		}
	}
	return best
}

// waited notes what a step waits for at now.
func (s *step) waited(now time.Time, why delay) {
	if since := maxTime(s.waitedAt, s.openedAt); s.done+s.attempts == 0 && !since.IsZero() {
		if s.waits == nil {
			s.waits = delays{}
		}
		s.waits[why] += now.Sub(since)
	}
	s.waitedAt = now
}

// waitsFor returns what a step waits for that has found no place in a plan.
func (s *step) waitsFor() delay {
	if s.advice.asking() {
		return delayAdvice
	}
	return delayRoom
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
func (t *task) interrupted(why delay) {
	if t.again == "" {
		t.again = why
	}
}

// interruption returns the delay that an end which is not a good one stands for.
func interruption(how order.How) delay {
	switch how {
	case order.Failed:
		return delayFailed
	case order.Stopped:
		return delayStopped
	default:
		return delayLost
	}
}

// delaysOf returns where the time of a step went that has just been done by one of
// its tasks, of which that was expected to take some time.
func (s *step) delaysOf(now time.Time, last int, expected time.Duration) delays {
	d := delays{}
	t := &s.tasks[last]
	began := t.startedAt
	if began.IsZero() {
		// An earlier holder started it.
		d.add(delayTakeover, now.Sub(s.openedAt)-expected)
		return d
	}
	d.add(cmp.Or(s.waits.main(), delayRoom), t.firstAt.Sub(s.openedAt))
	d.add(cmp.Or(t.again, delayLost), began.Sub(t.firstAt))
	d.add(delaySlow, now.Sub(began)-expected)
	return d
}

// delaysOf returns where the time of an instance went, along the steps that ended
// last.
func (j *submitted) delaysOf(in *instance) delays {
	d := delays{}
	opened := in.openedAt
	if j.inherited {
		d.add(delayTakeover, opened.Sub(in.dueAt))
	} else {
		d.add(delayLog, opened.Sub(in.dueAt))
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
	fields := []Field{
		{"job", string(j.id)},
		{"queue", j.queue},
		{"outcome", string(state)},
		{"reason", why},
		{"age", now.Sub(j.acceptedAt).String()},
		{"claim", h.epoch},
	}
	if in := j.instances[0]; in != nil && state == job.Succeeded && j.submission.Instances() == 1 && !in.steps[0].spec.Service {
		most := h.usualObjective(in, h.queueOf(j))
		fields = append(fields, Field{"objective", most.String()}, Field{"late", now.Sub(in.dueAt) > most}, Field{"delays", j.delaysOf(in)})
	}
	h.core.note("job ended", fields...)
}
