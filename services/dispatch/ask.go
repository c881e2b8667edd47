// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/modules/ordered"
)

const (
	// firstAsk bounds the workers named in the first call for a step. The
	// objective of a job allows for a call that names 30 (the users' rules).
	firstAsk = 30
	// wholeAsk bounds the workers named in a call whose time hardly depends on
	// their number.
	wholeAsk = 60
	// leastAsk is how many workers a call names at least, if there are so many.
	leastAsk = 4
	// askSpare is how many times as many workers are named as are expected to do.
	askSpare = 1.5
)

// ask calls for advice on some workers. It returns false if the boxes have as
// many calls under way as they should. What is late anyway waits until a box has
// none.
func (h *holding) ask(now time.Time, s *step, q *job.Advice, workers []*worker) bool {
	takes := q.Base + time.Duration(len(workers))*q.Each
	patience := time.Duration(0)
	if h.rank(now, s).tier == onTime {
		patience = adviceQueue + takes
	}
	box, address, ok := h.chooseAdviser(now, takes, patience)
	if !ok {
		return false
	}
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.ID
	}
	s.advice.asking, s.advice.due = true, h.advisers.busyUntil[box]
	h.advisers.began(box, s.id, s.advice.due)
	h.core.do(Advise{
		Box: box, Address: address, Epoch: h.epoch, Step: s.id, Workers: ids,
		Timeout: h.advisers.busyUntil[box].Sub(now) + adviceMargin,
	})
	return true
}

// adviseEarly asks for the first steps of a job while the log takes it in.
func (h *holding) adviseEarly(now time.Time, j *submitted) {
	q := h.queueOf(j)
	if q.Advice == nil {
		return
	}
	p := newPass(now)
	for _, in := range ordered.Map(j.instances) {
		for _, s := range in.steps {
			if len(s.spec.After) == 0 {
				h.askUnknown(now, s, q, h.workersFor(p, s, q.Pool).workers)
			}
		}
	}
}

// askUnknown calls for advice on workers of which nothing is known for a step,
// those with most room first. It returns false if there are none to ask about.
func (h *holding) askUnknown(now time.Time, s *step, q job.Queue, candidates []*worker) bool {
	var unknown []*worker
	for _, w := range candidates {
		if _, asked := s.advice.suits[w]; !asked {
			unknown = append(unknown, w)
		}
	}
	if len(unknown) == 0 || s.advice.asking || now.Before(s.advice.askAgain) {
		return false
	}
	slices.SortFunc(unknown, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.room().Processors, a.room().Processors), cmp.Compare(a.ID, b.ID))
	})
	return h.ask(now, s, q.Advice, unknown[:min(len(unknown), h.howMany(s, q))])
}

// howMany returns how many workers the next call for a step should name: enough
// that those which suit have room for its tasks twice over.
func (h *holding) howMany(s *step, q job.Queue) int {
	perWorker := 1
	if c := h.usualCapacity(); s.spec.Need.Processors > 0 {
		perWorker = max(1, int(c.Processors/s.spec.Need.Processors)/2)
	}
	if s.spec.PerWorker > 0 {
		perWorker = min(perWorker, s.spec.PerWorker)
	}
	if s.spec.Gang && q.Advice.Base > shortCall {
		// A second call would cost more than the workers named in this one.
		return wholeAsk
	}
	wanted := (len(s.tasks)+perWorker-1)/perWorker + 1
	return min(firstAsk, max(leastAsk, int(float64(wanted)*askSpare/h.learned.goodShare(q.Name))))
}

// usualCapacity returns the capacity of the largest worker.
func (h *holding) usualCapacity() resource.Vector {
	most := resource.Vector{}
	for _, w := range h.workers {
		if w.Capacity.Processors > most.Processors {
			most = w.Capacity
		}
	}
	return most
}

// askMore asks about workers that have room now, if those known do not. It
// returns true if a call was made.
func (h *holding) askMore(p *pass, r ranked, workers []*worker, placed int) bool {
	s := r.step
	var open []*worker
	most := placed
	for _, w := range workers {
		if _, asked := s.advice.suits[w]; asked || w.blockedBy != nil {
			continue
		}
		if n := w.slots(s, w.room()); n > 0 {
			open = append(open, w)
			most += n
		}
	}
	if len(open) == 0 || s.spec.Gang && most < len(s.tasks) {
		return false
	}
	return h.askUnknown(p.now, s, r.queue, open)
}

// refresh asks for new tickets if some of the chosen workers' have run out, and
// keeps the room meanwhile. It returns true if the step has to wait for tickets.
func (h *holding) refresh(now time.Time, r ranked, shares []share) bool {
	s := r.step
	stale := slices.ContainsFunc(shares, func(sh share) bool {
		_, ok := s.advice.ticketFor(now, sh.worker)
		return !ok
	})
	if !stale {
		return false
	}
	if now.Before(s.advice.askAgain) {
		return true
	}
	var workers []*worker
	for _, sh := range shares {
		workers = append(workers, sh.worker)
	}
	if h.ask(now, s, r.queue.Advice, workers) {
		for _, sh := range shares {
			h.promise(s, sh.worker, sh.tasks)
		}
	}
	return true
}
