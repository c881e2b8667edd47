// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/order"
	"saddlevane/services/timeouts"
	"saddlevane/services/transit"
)

// A worker that restarts keeps its name, and the runs of its earlier incarnation are gone. The
// holder keeps one worker value per incarnation. Orders name only the worker, so an order meant for
// an earlier incarnation may be carried out by a later one, with a deadline on the clock of the
// earlier one.
//
// Orders to a later incarnation therefore carry a higher fence number. Once it has answered a
// renewal with that number, it refuses orders meant for the earlier one, and its answer lists what
// it has already started of them. Until then, tasks whose start it may still carry out count as
// placed on it.
//
// The first order that reaches a later incarnation must already carry the higher number, because the
// next one may be delayed itself. So the number is raised after each order that a later incarnation
// must not carry out and that may still be in transit: a start, a change of pace or a renewal without
// an answer, and an acknowledgement of ends before the next start. It is also raised as soon as a later
// incarnation may exist.
//
// A later incarnation that no order has reached has no fence number and accepts any start. Package
// transit limits what that can do.

// currentWorker returns the worker with the name in id if id is, as far as the holder can determine,
// its current incarnation, else nil.
func (h *holderState) currentWorker(id order.Incarnation) *worker {
	w := h.workers[id.Name]
	if w == nil || w.DiffersFrom(id) {
		return nil
	}
	return w
}

// fence returns the fence number of orders to the worker.
func (h *holderState) fence(w *worker) int64 { return w.incarnations.Fence(h.epoch) }

// areFencesUsed reports whether some worker has so few fence numbers left under this claim that a new
// one is needed.
func (h *holderState) areFencesUsed() bool {
	for _, w := range h.workers {
		if w.incarnations.AreFencesUsed() {
			return true
		}
	}
	return false
}

// raiseFenceForStart returns the fence number of a start order, after raising it above that of an
// acknowledgement in transit. A later incarnation that has carried out the start then refuses the
// acknowledgement, which it would take for one of the ends of its own runs.
func (h *holderState) raiseFenceForStart(w *worker) int64 {
	if w.pendingRenewal != 0 && w.pendingAcknowledges {
		w.incarnations.RaiseFence(w.pendingFence)
	}
	return h.fence(w)
}

// handleWorkerRestart handles an answer from a later incarnation than the known one: the known one
// has ended, and the later one replaces it. The runs in the answer are running there, whatever the
// holder expects. That others are not in it proves nothing, since the later incarnation may still carry
// out orders under the earlier fence number.
func (h *holderState) handleWorkerRestart(now time.Time, w *worker, e exchange.RenewEnded) {
	o, listed := w.incarnations.Successor(w.Worker, e.Report.Incarnation)
	n := newWorker(now, o)
	n.incarnations = w.incarnations
	n.logged = w.logged.Successor()
	if listed {
		n.presence.RecordEntry(o.Leaving)
	}
	ending := h.endingOf(now, w)
	h.core.logEvent("worker restarted", logField("worker", w.Incarnation.String()), logField("life", n.Incarnation.String()), logField("tasks", len(w.attempts)),
		logField("how", string(ending)), logField("listed", listed))
	h.workers[n.Name] = n
	h.speeds.Restart(now, n.Name)
	h.retire(w)
	h.loseAttempts(now, w, n, ending, reasonRestarted)
	n.fencePending = true
	n.leaseExpiresBy = now.Add(transit.MaxDelay + h.maxForeignLease())
	h.applyEnds(now, n, e.Report.Ended)
	h.applyRuns(now, n, e.Report.Running)
	h.planDue = true
	h.renew(now, n)
}

// confirmFence handles the first answer of a later incarnation. From now on it refuses orders meant
// for the earlier one, so no renewal computed with the earlier one's clock can extend its lease any
// more.
func (h *holderState) confirmFence(now time.Time, w *worker) {
	if w.fencePending {
		w.fencePending = false
		w.leaseExpiresBy = now.Add(h.maxForeignLease())
	}
}

// maxForeignLease returns the longest duration of a lease whose end was computed with the clock of
// another incarnation.
func (h *holderState) maxForeignLease() time.Duration {
	return timeouts.MaxLeaseDuration(max(h.core.settings.Lease, h.core.settings.MaxLease))
}

// mayStartOnSuccessor reports whether a later incarnation of the attempt's worker may carry out an
// order to start it. It cannot if there was only one order and the earlier incarnation has reported
// the run.
func (a *attempt) mayStartOnSuccessor() bool {
	return a.reportedAt.IsZero() || a.orderCount > 1 || a.inheritedTransit
}

// moveToSuccessor places an attempt on a later incarnation of its worker, which may have started the
// run or may still do so. The attempt stays there until that incarnation reports what it runs. If the
// run was to be stopped, the later incarnation is ordered to stop it.
func (h *holderState) moveToSuccessor(now time.Time, a *attempt, successor *worker) {
	h.unassign(a)
	n := &attempt{
		step: a.step, index: a.index, run: a.run, worker: successor, state: attemptUnconfirmed, pace: unknownPace, firstOrderedAt: a.firstOrderedAt, lastOrderedAt: a.lastOrderedAt,
		checkpoint: a.checkpoint, ticket: a.ticket, orderCount: a.orderCount, resumed: a.resumed, onlyLogged: a.onlyLogged, inheritedTransit: a.inheritedTransit,
		fromEarlierIncarnation: true,
	}
	h.assign(now, n)
	h.markStateChange(now, n)
	if a.state == attemptStopping {
		h.stopAttempt(now, n)
	}
}

// handleOtherIncarnationAnswer handles a renewal's answer from an incarnation that is not the
// current one. Tasks that ended successfully there are done; the rest of the report is valid for
// that incarnation only.
func (h *holderState) handleOtherIncarnationAnswer(now time.Time, e exchange.RenewEnded) {
	for _, end := range e.Report.Ended {
		if end.Status == order.Done {
			h.applyFormerSuccess(now, end)
		}
	}
}

// applyFormerSuccess applies a successful end reported by an incarnation that is not the current
// one.
func (h *holderState) applyFormerSuccess(now time.Time, end order.End) {
	s := h.findRunStep(now, end.Task.StepID)
	if s == nil && h.mayBelongToJob(end.Task.Job) {
		h.recordEnd(end, nil)
		return
	}
	if s == nil || end.Task.Index >= len(s.tasks) || s.spec.Service || s.job.state.IsFinal() || s.tasks[end.Task.Index].done {
		return
	}
	h.clearBlame(s, end.Task.Index)
	h.completeTask(now, s, end)
	if !s.job.endLogged {
		h.markDirty(s.job)
	}
}

// setBirthTime sets the birth time of an incarnation that was known by name only, and corrects its
// record in the log.
func (h *holderState) setBirthTime(now time.Time, w *worker, id order.Incarnation) {
	if w.BornUnixMilli != 0 || id.BornUnixMilli == 0 {
		return
	}
	w.Incarnation = id
	if w.logged.IsAnswering() {
		h.recordAnswering(now, w)
	}
}

// handleWrongIncarnation handles an answer saying that the addressed incarnation is not at the
// worker's address.
func (h *holderState) handleWrongIncarnation(now time.Time, w *worker) {
	next, listed := w.incarnations.Candidate()
	h.handleWorkerTerminated(now, w, reasonOtherIncarnation)
	if listed {
		h.handleWorkerListed(now, next)
	}
}

// renewAddress returns the address for renewals: that of the worker's newest entry.
func (w *worker) renewAddress() string {
	if next, ok := w.incarnations.Candidate(); ok {
		return next.Address
	}
	return w.Address
}

// restoreIncarnation returns the worker for an incarnation recorded in the log. If the platform
// lists another incarnation, the first answer decides which of the two has ended.
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
