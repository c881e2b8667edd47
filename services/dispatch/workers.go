// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"maps"
	"slices"
	"time"

	"saddlevane/models/job"
	"saddlevane/models/mechanism"
	"saddlevane/models/order"
	"saddlevane/models/resource"
	"saddlevane/modules/ordered"
	"saddlevane/services/endreports"
	"saddlevane/services/jobrecords"
	"saddlevane/services/presence"
	"saddlevane/services/reservations"
	"saddlevane/services/speeds"
	"saddlevane/services/throttling"
	"saddlevane/services/transit"
	"saddlevane/services/workerlog"
)

// worker is the holder's state of one incarnation of a worker. A worker that restarts keeps its
// name and becomes a new incarnation.
type worker struct {
	order.Worker
	// incarnations tracks all incarnations under the worker's name. fencePending is true for an
	// incarnation that replaced an earlier one and has not answered a renewal of its own yet.
	incarnations *presence.Incarnations
	fencePending bool
	// presence records whether the platform lists the worker and whether it answers.
	presence presence.Presence
	// reported is true once the worker has reported, under this claim, which runs it has.
	reported bool
	// logged is what the log says about the worker.
	logged workerlog.Entry
	// inheritedDetectionDelay is how long the worker may have been unresponsive before an earlier holder
	// detected that; 0 if this holder did.
	inheritedDetectionDelay time.Duration

	attempts map[order.Run]*attempt
	// free is the capacity that no attempt uses.
	free resource.Vector
	// stoppingCount is the number of attempts that are being stopped, stopping the capacity that they
	// use.
	stoppingCount int
	stopping      resource.Vector
	// orphans are runs that this holder would not have started. What they use is unknown, so no
	// task is started on the worker while it has any.
	orphans map[order.Run]bool
	// committed is the capacity held for steps that wait for tickets or reserved for gangs.
	committed resource.Vector
	// gangReservations is the part of committed that is reserved for gangs, in the order in which
	// it was reserved.
	gangReservations reservations.Order[*step]

	// clock is the worker's clock as of the answer received at clockAt.
	clock   order.WorkerClock
	clockAt time.Time
	// leaseEnd is the latest end of a lease that this holder has ordered, on the worker's clock.
	// leaseExpiresBy is when the worker's lease has expired for certain, whatever the error of its clock.
	leaseEnd       order.WorkerClock
	leaseExpiresBy time.Time

	// pendingRenewal is the number of the renewal in flight, or 0. pendingFence is its fence number,
	// pendingAcknowledges is set if it acknowledges ends. renewAt is when the next one is due.
	pendingRenewal      int64
	pendingFence        int64
	pendingAcknowledges bool
	// noneLoggedAt is when the last renewal was sent that left no end to acknowledge that is in the log.
	noneLoggedAt time.Time
	renewAt      time.Time
	// answerDue is when the renewal in flight was sent plus the time it may wait at the worker.
	// overdue holds the same time of each renewal that has timed out, by number.
	answerDue time.Time
	overdue   map[int64]time.Time
	// answeredAt is when a renewal was last answered, failures the number of failed renewals since
	// then.
	answeredAt     time.Time
	failedRenewals int
	// aliveAt is the last time at which the worker was certainly alive.
	aliveAt time.Time
	// unansweredSince is when the oldest start order was sent since the worker last answered a
	// start or a renewal, or zero if all are answered.
	unansweredSince time.Time
	// reportedEnds tracks the ends of runs that the worker has reported.
	reportedEnds endreports.Tracker[*worker]
	// hold is how long these ends stay unacknowledged.
	hold transit.Hold

	// heldInPass is the capacity that the current planning pass keeps for higher-ranking steps.
	// heldFor is the last of these steps and prevHeldFor that of the previous pass: other steps use
	// the worker's capacity last.
	heldInPass           resource.Vector
	heldFor, prevHeldFor *step
	// fillerPace is the pace of the worker's fillers.
	fillerPace throttling.Pace
	// speed is the estimated speed of the worker.
	speed speeds.Cached
	// drainedFor is the gang, or the step with large tasks, for which the worker is drained. Apart
	// from that step, only short steps may use the worker meanwhile.
	drainedFor *step
	// prevDrainedFor is the value of drainedFor in the previous planning pass.
	prevDrainedFor *step
	// failedJobs counts the different jobs whose tasks failed on the worker in a row. lastFailed is
	// the last of them.
	failedJobs int
	lastFailed job.ID
	// suspectAttempts counts the attempts of suspect tasks on the worker. isolatedAttempts counts
	// those of them that must run alone: nothing else may be started on the worker meanwhile.
	suspectAttempts, isolatedAttempts int
	// trialPreparation is set while the worker is kept free for the trial of a likely suspect.
	trialPreparation *trialPreparation
	// healthy is the value of isHealthy after the last event of the worker or the last sweep.
	healthy bool
	// planned is set while the worker is in the holder's list of workers kept for steps.
	planned bool
	// excludedUntil is when the worker may get starts again.
	excludedUntil time.Time
}

// newWorker returns an incarnation of which only the platform's entry is known.
func newWorker(now time.Time, o order.Worker) *worker {
	return &worker{
		Worker: o, attempts: map[order.Run]*attempt{}, orphans: map[order.Run]bool{}, free: o.Capacity, renewAt: now,
		overdue: map[int64]time.Time{}, leaseExpiresBy: now,
		fillerPace: throttling.NewPace(),
	}
}

// workersByName returns the workers sorted by name. The reducer iterates in this order wherever the
// order affects its decisions.
func (h *holderState) workersByName() []*worker {
	if h.sortedWorkers == nil {
		h.sortedWorkers = slices.Collect(maps.Values(h.workers))
		slices.SortFunc(h.sortedWorkers, compareNames)
	}
	return h.sortedWorkers
}

// forgetWorkerLists forgets the cached lists of workers after one was added or removed.
func (h *holderState) forgetWorkerLists() {
	h.sortedWorkers = nil
	h.forgetHealthy()
}

// retire makes a worker that is no longer among the holder's workers unusable: advice and lists may
// still refer to it.
func (h *holderState) retire(w *worker) {
	w.healthy = false
	delete(h.workersWithOrphans, w)
	h.forgetWorkerLists()
}

// addWorker adds an incarnation of a worker, with what is remembered of earlier incarnations of
// that name.
func (h *holderState) addWorker(now time.Time, o order.Worker) *worker {
	w := newWorker(now, o)
	w.incarnations = h.formerWorkers.Take(o.Name)
	h.speeds.Restart(now, o.Name)
	h.workers[o.Name] = w
	h.forgetWorkerLists()
	return w
}

// sortedAttempts returns the worker's attempts in a fixed order, so that equal events have equal
// effects.
func (w *worker) sortedAttempts() []*attempt {
	all := slices.AppendSeq(make([]*attempt, 0, len(w.attempts)), maps.Values(w.attempts))
	slices.SortFunc(all, func(a, b *attempt) int { return a.runID().Compare(b.runID()) })
	return all
}

// isSchedulable reports whether new tasks may be started on the worker.
func (h *holderState) isSchedulable(now time.Time, w *worker) bool {
	return !w.isKeptForSuspect() && h.isHealthy(now, w)
}

// isKeptForSuspect reports whether the worker runs a suspect that must be alone, or is kept free for
// one.
func (w *worker) isKeptForSuspect() bool {
	return w.isolatedAttempts > 0 || w.trialPreparation != nil
}

// isHealthy reports whether new tasks could be started on the worker if it were not kept for a
// suspect.
func (h *holderState) isHealthy(now time.Time, w *worker) bool {
	return w.reported && w.presence.IsListed() && w.logged.MayStartTasks() && !w.Leaving && !h.isEvacuated(w) && !w.incarnations.HasCandidate() && w.failedRenewals == 0 && len(w.orphans) == 0 &&
		now.Before(ordered.Later(w.answeredAt.Add(h.core.settings.RenewWait), w.answerDue).Add(h.adaptiveTimeout(now, unresponsiveTimeout))) && !now.Before(w.excludedUntil) && !h.hasOverdueStart(now, w) &&
		h.startsWithinReport(w) > 0
}

// hasOverdueStart reports whether the worker is overdue with the answers to its start orders.
func (h *holderState) hasOverdueStart(now time.Time, w *worker) bool {
	return !w.unansweredSince.IsZero() && h.isEnabled(mechanism.OverdueStarts) && now.Sub(w.unansweredSince) > h.adaptiveTimeout(now, startAnswerTimeout)
}

// adaptiveTimeout returns how long to wait for an answer that usually arrives within base: longer
// while most workers answer late. Giving a call up and repeating it would only add to the delay of
// a congested link or an overloaded process.
func (h *holderState) adaptiveTimeout(now time.Time, base time.Duration) time.Duration {
	return h.answerDelays.CallTimeout(now, base, h.core.settings.Lease/leaseWaitDivisor)
}

// recordAnswering adds the record that a worker answers to the next append.
func (h *holderState) recordAnswering(now time.Time, w *worker) {
	w.logged.AddAnswering(now)
	h.journal.addWorkerRecord(w, jobrecords.WorkerRecord(w.Worker))
}

// handleWorkerTerminated removes a worker whose incarnation has certainly ended, and frees its
// tasks.
func (h *holderState) handleWorkerTerminated(now time.Time, w *worker, reason string) {
	ending := h.endingOf(now, w)
	h.core.logEvent("worker terminated", logField("worker", w.Incarnation.String()), logField("reason", reason), logField("tasks", len(w.attempts)), logField("how", string(ending)))
	h.loseAttempts(now, w, nil, ending, reason)
	delete(h.unreportedWorkers, w.Name)
	h.removeWorker(now, w)
}

// removeWorker removes the worker from the holder's state and its record from the log.
func (h *holderState) removeWorker(now time.Time, w *worker) {
	delete(h.workers, w.Name)
	h.retire(w)
	w.incarnations.End(w.Incarnation)
	h.formerWorkers.Add(now, w.Name, w.incarnations)
	if w.logged.IsNamed() {
		h.journal.addRecord(jobrecords.DropWorker(w.Name))
	}
}
