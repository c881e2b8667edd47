// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"fmt"
	"strings"
	"time"
)

// placeStep starts what it can of a step, or asks for the advice that this
// needs. It returns false if tasks are left for want of room.
func (h *holding) placeStep(p *pass, r ranked) bool {
	s := r.step
	defer func() { s.advice.first = false }()
	if r.queue.Pool == "" || s.advice.asking {
		return true
	}
	set := h.workersFor(p, s, r.queue.Pool)
	if r.needsChoice(set.workers) && h.askUnknown(p.now, s, r.queue, set.workers) {
		return true
	}
	if !s.spec.Reserved().Fits(set.most) {
		return false
	}
	shares, placed := h.fit(s, r.suited(set.workers))
	whole := placed == s.waiting && (!s.spec.Gang || placed == len(s.tasks))
	if r.queue.Advice != nil && !whole && (placed == 0 || s.spec.Gang) && h.askMore(p, r, set.workers, placed) {
		return true
	}
	if placed == 0 || s.spec.Gang && !whole {
		return false
	}
	if r.queue.Advice != nil && h.refresh(p.now, r, shares) {
		return true
	}
	h.startShares(p.now, s, shares)
	return s.waiting == 0
}

// needsChoice says whether a gang knows too few workers that suit it. It can wait
// for room on those it knows, if they are enough.
func (r ranked) needsChoice(workers []*worker) bool {
	s := r.step
	return r.queue.Advice != nil && s.spec.Gang && s.knownSlots(workers) < gangChoice*len(s.tasks)
}

// gangChoice is for how many times its tasks a gang is to know workers, so that
// it need not wait for particular ones.
const gangChoice = 2

// knownSlots returns how many tasks the workers known to suit would hold if
// empty. Workers come and go, so it is counted anew each time.
func (s *step) knownSlots(workers []*worker) int {
	slots := 0
	for _, w := range workers {
		if s.advice.suits[w] {
			slots += fits(s.spec.Reserved(), w.Capacity)
		}
	}
	return slots
}

// suited returns the candidates that may run the step: all, if its queue needs no
// advice.
func (r ranked) suited(candidates []*worker) []*worker {
	if r.queue.Advice == nil {
		return candidates
	}
	return r.step.suited(candidates)
}

// suited returns the candidates that the advice service named.
func (s *step) suited(candidates []*worker) []*worker {
	var all []*worker
	for _, w := range candidates {
		if s.advice.suits[w] {
			all = append(all, w)
		}
	}
	return all
}

// startShares starts a step's waiting tasks on the workers chosen.
func (h *holding) startShares(now time.Time, s *step, shares []share) {
	next := 0
	run := h.nextRun(s)
	for _, sh := range shares {
		ticket, _ := s.advice.ticketFor(now, sh.worker)
		for range sh.tasks {
			for s.tasks[next].done || s.tasks[next].attempt != nil {
				next++
			}
			h.start(now, s, next, run, sh.worker, ticket)
		}
	}
	h.core.note("tasks started", Field{"job", string(s.job.id)}, Field{"step", s.id.String()}, Field{"run", run},
		Field{"workers", names(shares)}, Field{"still_waiting", s.waiting}, Field{"advised", len(s.advice.suits)},
		Field{"claim", h.epoch}, Field{"config", h.core.config.Version}, Field{"age", now.Sub(s.instance.dueAt).String()},
		Field{"slack", h.slack(now, s).String()})
}

// names lists workers with the number of tasks on each.
func names(shares []share) string {
	all := make([]string, len(shares))
	for i, sh := range shares {
		all[i] = fmt.Sprintf("%s:%d", sh.worker.ID, sh.tasks)
	}
	return strings.Join(all, " ")
}
