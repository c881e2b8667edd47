// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"
	"saddlevane/services/lateness"
)

// A worker that starts again keeps its name, and what it ran is gone. The holder keeps a
// worker for each life; orders name the worker only, so one that was meant for an earlier life
// may be carried out by a later one, with a deadline by the earlier one's clock. A later life
// therefore gets a higher fence number: once it has answered a look under that, it refuses
// what was meant for the earlier one, and what it has begun of that is in its answer. Until
// then tasks whose start it may yet carry out are taken to be on it. The number rises as soon
// as a later life may be there, so that the first look that reaches it is one.

// maxOrderDelay is how much later than it was sent an order may still be carried out
// (protocol: seconds).
const maxOrderDelay = 15 * time.Second

// currentWorker returns the worker if the life is the present one of its name, as far as is known,
// else nil.
func (h *holderState) currentWorker(life order.Incarnation) *worker {
	w := h.workers[life.Name]
	if w == nil || w.DiffersFrom(life) {
		return nil
	}
	return w
}

// fence returns the fence number of orders to a worker.
func (h *holderState) fence(w *worker) int64 { return w.incarnations.Fence(h.epoch) }

// handleWorkerRestart takes the answer of a life that is later than the one known: that one is over.
func (h *holderState) handleWorkerRestart(now time.Time, w *worker, e exchange.RenewEnded) {
	o, listed := w.incarnations.Successor(w.Worker, e.Report.Incarnation)
	n := newWorker(now, o)
	n.incarnations = w.incarnations
	if listed {
		n.presence.RecordEntry(o.Leaving)
	}
	how := h.endingOf(now, w, true)
	h.core.logEvent("worker has started again", logField("worker", w.Incarnation.String()), logField("life", n.Incarnation.String()), logField("tasks", len(w.attempts)),
		logField("how", string(how)), logField("listed", listed))
	h.workers[n.Name] = n
	h.sortedWorkers = nil
	h.loseAttempts(now, w, n, how, reasonRestarted)
	n.fencePending = true
	n.leaseExpiresBy = now.Add(maxOrderDelay + h.maxForeignLease())
	h.applyEnds(now, n, e.Report.Ended)
	h.planDue = true
	h.renew(now, n)
}

// confirmFence takes that a later life refuses from now on what was meant for the earlier one:
// nothing lengthens its lease any more that was asked for by the earlier one's clock.
func (h *holderState) confirmFence(now time.Time, w *worker) {
	if w.fencePending {
		w.fencePending = false
		w.leaseExpiresBy = now.Add(h.maxForeignLease())
	}
}

// maxForeignLease is how long a lease can last that was asked for by the clock of another life.
func (h *holderState) maxForeignLease() time.Duration {
	return lateness.MaxLeaseDuration(max(h.core.settings.Lease, h.core.settings.MaxLease))
}

// mayStartOnSuccessor says whether a later life of its worker may carry an order to start the attempt
// out: unless all such orders were carried out by the life that has told this holder of the run.
func (a *attempt) mayStartOnSuccessor() bool { return a.reportedAt.IsZero() || a.orderCount > 1 }

// moveToSuccessor takes it that a later life of its worker may have begun an attempt, or may yet, until
// that life has told.
func (h *holderState) moveToSuccessor(now time.Time, a *attempt, to *worker) {
	h.unassign(a)
	n := &attempt{
		step: a.step, index: a.index, run: a.run, worker: to, state: attemptUnconfirmed, pace: fullPace, firstOrderedAt: a.firstOrderedAt, lastOrderedAt: a.lastOrderedAt,
		checkpoint: a.checkpoint, ticket: a.ticket, orderCount: a.orderCount, resumed: a.resumed, onlyLogged: a.onlyLogged, fromEarlierIncarnation: true,
	}
	h.assign(now, n)
	h.markStateChange(now, n)
}

// handleOtherIncarnationAnswer takes the answer of a life that is not the present one. A good end stays
// true; the rest holds for that life only.
func (h *holderState) handleOtherIncarnationAnswer(now time.Time, e exchange.RenewEnded) {
	for _, end := range e.Report.Ended {
		if end.Status == order.Done {
			h.applyFormerSuccess(now, end)
		}
	}
}

// applyFormerSuccess takes a good end that an earlier life has told.
func (h *holderState) applyFormerSuccess(now time.Time, end order.End) {
	s := h.findStep(end.Task.StepID)
	if s == nil || end.Task.Index >= len(s.tasks) || s.spec.Service || s.job.state.IsFinal() || s.tasks[end.Task.Index].done {
		return
	}
	h.clearBlame(s, end.Task.Index)
	h.completeTask(now, s, end)
	if !s.job.endLogged {
		h.markDirty(s.job)
	}
}

// setBirthTime takes when a life began of which only the name was known.
func (h *holderState) setBirthTime(w *worker, life order.Incarnation) {
	if w.BornUnixMilli != 0 || life.BornUnixMilli == 0 {
		return
	}
	w.Incarnation = life
	if w.recorded || w.recordPending {
		w.recorded, w.recordPending = false, false
		h.recordWorker(w)
	}
}

// handleIncarnationGone acts on the answer that no life of the worker is at its address.
func (h *holderState) handleIncarnationGone(now time.Time, w *worker) {
	next, listed := w.incarnations.Candidate()
	h.handleWorkerTerminated(now, w, reasonOtherIncarnation)
	if listed {
		h.handleWorkerListed(now, next)
	}
}

// renewAddress is where a worker is looked at: where its newest entry says.
func (w *worker) renewAddress() string {
	if next, doubted := w.incarnations.Candidate(); doubted {
		return next.Address
	}
	return w.Address
}

// restoreIncarnation returns the worker of which the log tells. If the list names another life, the
// first answer tells which of them is over.
func (h *holderState) restoreIncarnation(now time.Time, o order.Worker) *worker {
	w := h.workers[o.Name]
	if w == nil {
		return h.addWorker(now, o)
	}
	if w.reported || !w.DiffersFrom(o.Incarnation) {
		return w
	}
	entry := w.Worker
	w = h.addWorker(now, o)
	w.presence.RecordEntry(entry.Leaving)
	w.incarnations.RecordEntry(w.Incarnation, entry, h.renewalsSent)
	return w
}
