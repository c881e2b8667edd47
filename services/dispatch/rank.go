// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/services/delays"
)

// tier orders steps before anything else does.
type tier int

// The tiers. What is late gives way to what is on time, and what is hopeless to
// both.
const (
	// onTime: the job can still be done within its objective.
	onTime tier = iota
	// late: it cannot, but its result is still of use to the caller.
	late
	// hopeless: its result will be of no use any more.
	hopeless
)

// lateMost is how many times its objective a job may take and still be of use
// to its caller (the users' rules).
const lateMost = 3

// overdueAfter is how long a job that is of no use any more gives way to all others
// before it counts as late again: every job that was accepted is to be done.
const overdueAfter = 12 * time.Second

// queueOf returns how the configuration treats a job. Jobs of a queue that is
// gone are treated as when they were accepted.
func (h *holding) queueOf(j *submitted) job.Queue {
	if q, ok := h.core.config.Queues[j.queue]; ok {
		return q
	}
	return j.acceptedIn
}

// objective returns the time within which an instance is wanted.
func objective(in *instance, q job.Queue) time.Duration {
	return time.Duration(q.Stretch*float64(in.chain())) + q.Latency
}

// slack returns how much later than now a step may start and be on time.
func (h *holding) slack(now time.Time, s *step) time.Duration {
	wanted := s.instance.dueAt.Add(objective(s.instance, h.queueOf(s.job)))
	return wanted.Sub(now) - h.leftNow(now, s)
}

// ranked is a step with what orders it.
type ranked struct {
	step     *step
	queue    job.Queue
	tier     tier
	wantedAt time.Time
	// beyond says that its job is more than its workspace's share.
	beyond bool
}

// rank puts a step in its tier. A service has no end, so it is never late.
func (h *holding) rank(now time.Time, s *step) ranked {
	r := ranked{step: s, queue: h.queueOf(s.job), beyond: s.job.beyond && h.uses(mechanism.SharedOrder)}
	most := objective(s.instance, r.queue)
	r.wantedAt = s.instance.dueAt.Add(most)
	finish := now.Add(h.leftNow(now, s))
	switch {
	case s.spec.Service || !finish.After(r.wantedAt):
		r.tier = onTime
	case !finish.After(s.instance.dueAt.Add(lateMost * most)):
		r.tier = late
	case now.Sub(s.instance.dueAt) > lateMost*most+overdueAfter:
		// It has to be done some time.
		r.tier = late
	default:
		r.tier = hopeless
	}
	return r
}

// compare orders steps for the plan. The names come last, so that the same steps
// always have the same order.
func (a ranked) compare(b ranked) int {
	return cmp.Or(
		trueFirst(a.step.advice.goesFirst, b.step.advice.goesFirst),
		cmp.Compare(a.tier, b.tier),
		-trueFirst(a.beyond, b.beyond),
		cmp.Compare(a.queue.Priority, b.queue.Priority),
		a.wantedAt.Compare(b.wantedAt),
		cmp.Compare(a.step.id.Job, b.step.id.Job),
		cmp.Compare(a.step.id.Instance, b.step.id.Instance),
		cmp.Compare(a.step.id.Step, b.step.id.Step),
	)
}

// trueFirst orders what something holds of before what it does not hold of.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// rankOpen returns the steps that have tasks to place, in order.
func (h *holding) rankOpen(now time.Time) []ranked {
	kept := h.open[:0]
	var all []ranked
	for _, s := range h.open {
		if !s.open || s.job.state.Final() {
			continue
		}
		kept = append(kept, s)
		if s.waiting == 0 || now.Before(s.notBefore) || s.spec.Gang && s.attempts > 0 {
			continue
		}
		if s.job.inherited && len(h.unsettled) > 0 {
			s.waited(now, delays.Takeover)
			continue
		}
		all = append(all, h.rank(now, s))
	}
	clear(h.open[len(kept):])
	h.open = kept
	slices.SortFunc(all, ranked.compare)
	return all
}
