// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// victimSlack is how much later than now a task that can resume must be able
	// to start again and be on time, to be stopped for a gang: a stop, its way
	// through the queue and the work since the last checkpoint take that long.
	victimSlack = 2 * time.Second
	// preemptEvery is the least time between two rounds of stops for one gang.
	preemptEvery = 1500 * time.Millisecond
)

// makeRoom stops tasks that can resume, so that a waiting gang finds room on the
// workers that are kept for it. It stops none unless that is enough.
func (h *holding) makeRoom(p *pass, r ranked, kept []*worker) {
	s := r.step
	if r.tier != onTime || p.now.Sub(s.preemptedAt) < preemptEvery {
		return
	}
	var victims []*attempt
	placed := 0
	for _, w := range kept {
		if placed >= len(s.tasks) {
			break
		}
		n, stops := h.roomBy(p, r, w, len(s.tasks)-placed)
		placed += n
		victims = append(victims, stops...)
	}
	if placed < len(s.tasks) || len(victims) == 0 {
		return
	}
	s.preemptedAt = p.now
	h.core.note("tasks are stopped for a gang", Field{"job", string(s.job.id)}, Field{"step", s.id.String()},
		Field{"stopped", len(victims)}, Field{"slack", h.slack(p.now, s).String()}, Field{"claim", h.epoch})
	for _, a := range victims {
		h.stop(p.now, a)
	}
}

// roomBy returns for how many of the wanted tasks a worker has room once some
// tasks on it have stopped, and which those are.
func (h *holding) roomBy(p *pass, r ranked, w *worker, wanted int) (int, []*attempt) {
	room := w.room()
	n := min(wanted, w.slots(r.step, room))
	var stops, taken []*attempt
	for _, a := range h.victims(p, r, w) {
		if n == wanted {
			break
		}
		room = room.Plus(a.step.spec.Reserved())
		taken = append(taken, a)
		if now := min(wanted, w.slots(r.step, room)); now > n {
			n, stops = now, slices.Clone(taken)
		}
	}
	return n, stops
}

// victims returns the tasks on a worker that may be stopped for a step, the
// largest first, so that few are.
func (h *holding) victims(p *pass, r ranked, w *worker) []*attempt {
	var all []*attempt
	for _, a := range w.sorted() {
		if a.state != running || !a.step.spec.Checkpoints || a.step.spec.Gang || a.step.spec.Service {
			continue
		}
		v := h.rank(p.now, a.step)
		if v.tier > r.tier || v.queue.Priority > r.queue.Priority && h.slack(p.now, a.step) > victimSlack {
			all = append(all, a)
		}
	}
	slices.SortStableFunc(all, func(a, b *attempt) int {
		return cmp.Compare(b.step.spec.Need.Processors, a.step.spec.Need.Processors)
	})
	return all
}
