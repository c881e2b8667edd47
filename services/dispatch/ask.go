// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"math"
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
	// gangAsk bounds the workers named in one call for a gang, which may have
	// several calls under way.
	gangAsk = 64
	// leastAsk is how many workers a call names at least, if there are so many.
	leastAsk = 4
	// askSpare is how many times as many workers are named as are expected to do.
	askSpare = 1.5
	// gangChoice is for how many times its tasks a gang is to know workers, so that
	// it need not wait for particular ones, and gangChoiceGrows how much that is
	// more for each second for which it has waited.
	gangChoice      = 2
	gangChoiceGrows = 0.5
	// gangChoiceMost bounds it.
	gangChoiceMost = 5
)

// ask calls for advice on some workers. It returns nil if the boxes have as many
// calls under way as they should. What is late anyway waits until a box has none.
func (h *holding) ask(now time.Time, s *step, q *job.Advice, workers []*worker) *adviceCall {
	takes := q.Base + time.Duration(len(workers))*q.Each
	patience := time.Duration(0)
	if h.rank(now, s).tier == onTime {
		patience = adviceQueue + takes
	}
	box, address, ok := h.chooseAdviser(now, takes, patience)
	if !ok {
		return nil
	}
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.ID
	}
	c := h.advisers.began(&adviceCall{step: s, box: box, workers: workers, due: h.advisers.busyUntil[box]})
	s.advice.calls = append(s.advice.calls, c)
	h.core.do(Advise{
		Box: box, Address: address, Epoch: h.epoch, Number: c.number, Step: s.id, Workers: ids,
		Timeout: c.due.Sub(now) + adviceMargin,
	})
	return c
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
			if len(s.spec.After) > 0 {
				continue
			}
			r := ranked{step: s, queue: q}
			if candidates := h.workersFor(p, s, q.Pool).workers; s.spec.Gang {
				h.widenChoice(now, r, candidates)
			} else {
				h.askUnknown(now, r, candidates, h.howMany(r))
			}
		}
	}
}

// askUnknown calls for advice on as many workers of which nothing is known for a
// step as are wanted, those with most room first. It returns false if there are
// none to ask about.
func (h *holding) askUnknown(now time.Time, r ranked, candidates []*worker, wanted int) bool {
	s := r.step
	if now.Before(s.advice.askAgain) {
		return false
	}
	var unknown []*worker
	for _, w := range candidates {
		if !s.advice.asked(w) {
			unknown = append(unknown, w)
		}
	}
	slices.SortFunc(unknown, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.room().Processors, a.room().Processors), cmp.Compare(a.ID, b.ID))
	})
	unknown = unknown[:min(len(unknown), wanted)]
	asked := false
	for chunk := range slices.Chunk(unknown, gangAsk) {
		if h.ask(now, s, r.queue.Advice, chunk) == nil {
			break
		}
		asked = true
	}
	return asked
}

// howMany returns how many workers the next call for a step that is no gang should
// name: enough that those which suit have room for its tasks twice over.
func (h *holding) howMany(r ranked) int {
	s := r.step
	perWorker := max(1, s.slotsOfEmpty(h.usualCapacity())/2)
	wanted := (len(s.tasks)+perWorker-1)/perWorker + 1
	return min(firstAsk, max(leastAsk, int(float64(wanted)*askSpare/h.learned.goodShare(r.queue.Name))))
}

// slotsOfEmpty returns how many tasks of a step an empty worker takes.
func (s *step) slotsOfEmpty(capacity resource.Vector) int {
	n := fits(s.spec.Reserved(), capacity)
	if s.spec.PerWorker > 0 {
		n = min(n, s.spec.PerWorker)
	}
	return n
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

// widenChoice asks about more workers for a gang until those known to suit, and
// those that will be by the answers under way, could hold its tasks a few times
// over. A gang that has waited asks for a wider choice.
func (h *holding) widenChoice(now time.Time, r ranked, candidates []*worker) {
	s := r.step
	choice := gangChoice + gangChoiceGrows*max(0, now.Sub(s.openedAt).Seconds())
	if s.openedAt.IsZero() {
		choice = gangChoice
	}
	good := h.learned.goodShare(r.queue.Name)
	missing := min(choice, gangChoiceMost) * float64(len(s.tasks))
	for _, w := range candidates {
		slots := float64(s.slotsOfEmpty(w.Capacity))
		switch suits, known := s.advice.suits[w]; {
		case known && suits:
			missing -= slots
		case !known && s.advice.awaited(w):
			missing -= slots * good
		}
	}
	each := float64(max(1, s.slotsOfEmpty(h.usualCapacity()))) * good
	if missing <= 0 {
		return
	}
	wanted := max(leastAsk, int(math.Ceil(missing/each)))
	if r.queue.Advice.Base <= shortCall {
		// To name more workers costs next to nothing.
		wanted = max(wanted, h.howMany(r))
	}
	h.askUnknown(now, r, candidates, wanted)
}

// askMore asks about workers that have room now, if those known do not. It
// returns true if a call was made.
func (h *holding) askMore(p *pass, r ranked, workers []*worker) bool {
	s := r.step
	var open []*worker
	for _, w := range workers {
		if !s.advice.asked(w) && w.blockedBy == nil && w.slots(s, w.room()) > 0 {
			open = append(open, w)
		}
	}
	return h.askUnknown(p.now, r, open, h.howMany(r))
}

// refresh asks for new tickets for shares, and keeps their room meanwhile.
func (h *holding) refresh(now time.Time, r ranked, shares []share) {
	s := r.step
	if len(shares) == 0 || now.Before(s.advice.askAgain) {
		return
	}
	workers := make([]*worker, len(shares))
	for i, sh := range shares {
		workers[i] = sh.worker
	}
	if c := h.ask(now, s, r.queue.Advice, workers); c != nil {
		for _, sh := range shares {
			c.promise(sh.worker, sh.tasks)
		}
	}
}

// ticketed splits shares into those whose tickets a start could use now and the
// others.
func (s *step) ticketed(now time.Time, shares []share) (valid, stale []share) {
	for _, sh := range shares {
		if _, ok := s.advice.ticketFor(now, sh.worker); ok {
			valid = append(valid, sh)
		} else {
			stale = append(stale, sh)
		}
	}
	return valid, stale
}
