// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/models/resource"
	"saddlevane/models/stream"
	"saddlevane/modules/ordered"
)

// worker is one life of a worker.
type worker struct {
	order.Worker
	// listed says that the platform lists it.
	listed bool
	// settled says that it has told under this claim what it runs.
	settled bool
	// recorded says that the log names it, so that the next holder asks it.
	recorded  bool
	recording bool

	attempts map[order.Run]*attempt
	free     resource.Vector
	// strays are runs that should not be there. What they take is not known, so
	// nothing is started beside them.
	strays map[order.Run]bool
	// promised is room kept for steps that wait for tickets.
	promised resource.Vector

	// clock was the worker's clock when an answer came at clockAt.
	clock   order.WorkerClock
	clockAt time.Time
	// goneAt is when its lease has run out for sure.
	goneAt time.Time

	renewing   bool
	renewAt    time.Time
	answeredAt time.Time
	failures   int
	// notes are ends that the worker may not forget yet, in order.
	notes []*endNote
	// seen is the last end that the worker may forget, told the last one heard.
	seen, told int64

	// blockedBy is the step that this pass of the plan keeps the room for.
	blockedBy *step
	// failedJobs counts failed ends of different jobs in a row.
	failedJobs   int
	lastFailed   job.ID
	excludedTill time.Time
}

func newWorker(now time.Time, o order.Worker) *worker {
	return &worker{
		Worker: o, attempts: map[order.Run]*attempt{}, strays: map[order.Run]bool{}, free: o.Capacity, renewAt: now,
	}
}

// sorted returns the attempts on the worker in a fixed order, so that the same
// events always have the same effects.
func (w *worker) sorted() []*attempt {
	all := slices.Collect(maps.Values(w.attempts))
	slices.SortFunc(all, func(a, b *attempt) int { return a.name().Compare(b.name()) })
	return all
}

// leaseMost is how long a lease can last on the slowest clock allowed.
func (h *holding) leaseMost() time.Duration {
	return time.Duration(float64(h.core.settings.Lease)*(1+clockDrift)) + lapseMargin
}

// clockNow returns what the worker's clock shows at now.
func (w *worker) clockNow(now time.Time) order.WorkerClock {
	return w.clock + order.WorkerClock(now.Sub(w.clockAt).Milliseconds())
}

// until returns the end of a lease that begins at now, and notes it.
func (h *holding) until(now time.Time, w *worker) order.WorkerClock {
	if w.clockAt.IsZero() {
		return 0
	}
	w.goneAt = maxTime(w.goneAt, now.Add(h.leaseMost()))
	return w.clockNow(now) + order.WorkerClock(h.core.settings.Lease.Milliseconds())
}

// takes says whether new tasks may be started on the worker.
func (h *holding) takes(now time.Time, w *worker) bool {
	return w.settled && w.listed && w.recorded && !w.Leaving && w.failures == 0 && len(w.strays) == 0 &&
		now.Sub(w.answeredAt) < h.core.settings.Wait+silentAfter && !now.Before(w.excludedTill)
}

func (h *holding) workersRead(now time.Time, l order.Listing) {
	if l.Whole {
		present := map[string]bool{}
		for _, o := range l.Present {
			present[o.ID] = true
		}
		for id, w := range h.workers {
			w.listed = w.listed && present[id]
		}
	}
	for _, o := range l.Present {
		h.workerListed(now, o)
	}
	for _, id := range l.Gone {
		if w := h.workers[id]; w != nil {
			w.listed = false
		}
	}
	h.planDue = true
}

func (h *holding) workerListed(now time.Time, o order.Worker) {
	w := h.workers[o.ID]
	if w == nil {
		w = newWorker(now, o)
		h.workers[o.ID] = w
		h.core.note("worker listed", Field{"worker", o.ID}, Field{"address", o.Address}, Field{"pool", o.Pool}, Field{"domain", o.Domain})
	}
	if o.Leaving && !w.Leaving {
		h.core.note("worker is leaving", Field{"worker", o.ID}, Field{"remaining", o.Remaining.String()}, Field{"tasks", len(w.attempts)})
	}
	w.listed = true
	used := w.Capacity.Minus(w.free)
	w.Worker = o
	w.free = o.Capacity.Minus(used)
	if h.phase == active {
		h.renew(now, w)
	}
}

// record has the log name a worker before anything is started on it.
func (h *holding) record(w *worker) {
	if w.recorded || w.recording {
		return
	}
	value, err := json.Marshal(w.Worker)
	if err != nil {
		// A worker has only plain fields.
		panic(err)
	}
	w.recording = true
	h.journal.recording = append(h.journal.recording, w)
	h.journal.add(stream.Record{Key: keyWorker + w.ID, Value: value})
}

func (h *holding) renewAll(now time.Time) {
	for _, w := range ordered.Map(h.workers) {
		h.renew(now, w)
	}
}

// renewSoon looks at a worker again once some more ends may have come.
func (h *holding) renewSoon(now time.Time, w *worker) {
	if at := now.Add(gatherEnds); at.Before(w.renewAt) && w.failures == 0 {
		w.renewAt = at
	}
}

func (h *holding) renew(now time.Time, w *worker) {
	if w.renewing || now.Before(w.renewAt) {
		return
	}
	if w.Address == "" {
		return
	}
	w.renewing = true
	for len(w.notes) > 0 && w.notes[0].kept {
		w.seen = w.notes[0].number
		w.notes = w.notes[1:]
	}
	r := order.Renew{Fence: h.epoch, Seen: w.seen}
	if w.failures == 0 {
		// While a worker does not answer its lease must run out some time.
		r.Until = h.until(now, w)
	}
	if w.settled && w.failures == 0 && len(w.notes) == 0 && len(w.attempts) > 0 || w.settled && len(w.attempts) == 0 {
		r.Wait = job.Milliseconds(h.core.settings.Wait.Milliseconds())
	}
	h.core.do(Renew{
		Worker: w.ID, Address: w.Address, Epoch: h.epoch, Order: r,
		Timeout: h.core.settings.OrderTimeout + r.Wait.Duration(),
	})
}

func (h *holding) renewEnded(now time.Time, e RenewEnded) {
	w := h.workers[e.Worker]
	if w == nil || e.Epoch != h.epoch {
		return
	}
	w.renewing = false
	switch e.Answer.Fate {
	case order.Carried:
		h.renewed(now, w, e)
	case order.NoLife:
		h.workerDied(now, w, "another life answers at its address")
	case order.Refused:
		if e.Answer.Reason == order.Fenced {
			h.core.stepDown("a worker has seen a later holder")
			return
		}
		h.renewFailed(now, w, e.Answer)
	default:
		h.renewFailed(now, w, e.Answer)
	}
}

func (h *holding) renewFailed(now time.Time, w *worker, a order.Answer) {
	w.failures++
	if w.failures == 1 {
		h.core.note("worker does not answer", Field{"worker", w.ID}, Field{"problem", a.Problem}, Field{"tasks", len(w.attempts)})
	}
	w.renewAt = now.Add(renewAgain)
	if len(w.attempts) == 0 {
		w.renewAt = now.Add(min(renewAgain*time.Duration(w.failures), 2*time.Second))
	}
}

func (h *holding) renewed(now time.Time, w *worker, e RenewEnded) {
	if w.failures > 0 {
		h.core.note("worker answers again", Field{"worker", w.ID}, Field{"failures", w.failures})
	}
	w.failures = 0
	w.answeredAt = now
	w.clock, w.clockAt = e.Report.Clock, now
	h.applyReport(now, w, e)
	if !w.settled {
		w.settled = true
		delete(h.unsettled, w.ID)
		h.record(w)
		if len(h.unsettled) == 0 {
			h.core.note("all workers of earlier holders have told what they run", Field{"claim", h.epoch}, Field{"took", now.Sub(h.since).String()})
		}
	}
	h.planDue = true
	w.renewAt = now
	if len(w.notes) > 0 {
		w.renewAt = now.Add(unkeptWait)
		return
	}
	h.renew(now, w)
}

// sweepWorkers renews leases that are due and gives up workers whose lease has
// run out.
func (h *holding) sweepWorkers(now time.Time) {
	for _, w := range ordered.Map(h.workers) {
		switch {
		case w.failures > 0 && now.After(w.goneAt):
			h.lapsed(now, w)
		default:
			h.resendStops(now, w)
		}
		if h.phase == active {
			h.renew(now, w)
		}
	}
}

// lapsed frees the tasks of a worker that has surely ended them.
func (h *holding) lapsed(now time.Time, w *worker) {
	if len(w.attempts) > 0 || !w.settled {
		h.core.note("worker's lease has run out", Field{"worker", w.ID}, Field{"tasks", len(w.attempts)}, Field{"lapsed_for", now.Sub(w.goneAt).String()})
	}
	for _, a := range w.sorted() {
		h.lose(now, a, "the worker's lease has run out")
	}
	w.settled = false
	delete(h.unsettled, w.ID)
	if !w.listed {
		h.forget(w)
	}
}

func (h *holding) workerDied(now time.Time, w *worker, why string) {
	h.core.note("worker is gone", Field{"worker", w.ID}, Field{"reason", why}, Field{"tasks", len(w.attempts)})
	for _, a := range w.sorted() {
		h.lose(now, a, why)
	}
	delete(h.unsettled, w.ID)
	h.forget(w)
}

func (h *holding) forget(w *worker) {
	delete(h.workers, w.ID)
	if w.recorded || w.recording {
		h.journal.add(keyDropped(keyWorker + w.ID))
	}
}
