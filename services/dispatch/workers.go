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
	"saddlevane/services/ends"
	"saddlevane/services/kept"
	"saddlevane/services/learned"
	"saddlevane/services/presence"
)

// worker is one life of a worker.
type worker struct {
	order.Worker
	// lives are those that its name has had. fencePending says that it has taken the place of an
	// earlier one, and has not answered a look of its own.
	incarnations *presence.Lives
	fencePending bool
	// presence is whether it is listed and answers.
	presence presence.Presence
	// settled says that it has told under this claim what it runs.
	reported bool
	// recorded says that the log names it, so that the next holder asks it.
	recorded bool
	// recording says that the record waits for the log, records counts those of it.
	recordPending bool
	recordCount   int
	// silence is what the log is told while it does not answer.
	unresponsive unresponsiveRecord

	// place is where it is among all workers by name.
	nameIndex int

	attempts map[order.Run]*attempt
	// free is the capacity that no attempt takes.
	free resource.Vector
	// strays are runs that should not be there. What they take is not known, so
	// nothing is started beside them.
	orphans map[order.Run]bool
	// promised is room kept for steps that wait for tickets.
	committed resource.Vector
	// reserved is the part of it that is reserved for gangs, in the order in which it was.
	gangReservations []gangReservation

	// clock was the worker's clock when an answer came at clockAt.
	clock   order.WorkerClock
	clockAt time.Time
	// leaseExpiresBy is when its lease has run out for sure.
	leaseExpiresBy time.Time

	// look is the number of the renewal under way, or 0; renewAt is when the next
	// is due.
	pendingRenewal int64
	renewAt        time.Time
	// answerDue is when that renewal was asked for and the time for which it waits there,
	// overdue the same of those that have run out of their time, by number.
	answerDue time.Time
	overdue   map[int64]time.Time
	// answeredAt is when a renewal was last answered, failures how many were not
	// since.
	answeredAt time.Time
	failures   int
	// aliveAt is when it was last surely alive.
	aliveAt time.Time
	// unansweredSince is when a start was ordered of which, and of all those after it, none
	// was answered, or zero.
	unansweredSince time.Time
	// told are the ends that it has told.
	reportedEnds ends.Tracker[*worker]

	// held is room that this pass of the plan keeps for steps which rank higher than
	// those it comes to next, keeper the last of them, prevHeldFor that of the pass
	// before: other steps take the worker's room last.
	heldInPass           resource.Vector
	heldFor, prevHeldFor *step
	// fillPace is the pace of its fillers, in percent, throttledAt when it was changed.
	fillPace    int
	throttledAt time.Time
	// speed is how long tasks take on it.
	speed learned.Speed
	// drainedFor is the gang that waits for the worker's tasks to end. Meanwhile
	// short steps may use it.
	drainedFor *step
	// prevDrainedFor is what drainedFor was in the pass before.
	prevDrainedFor *step
	// failedJobs counts failed ends of different jobs in a row.
	failedJobs int
	lastFailed job.ID
	// suspects counts the attempts of suspects on it, trials those beside which nothing
	// is started.
	suspectAttempts, isolatedAttempts int
	// prepared says for which likely suspect it is kept, or is nil.
	prepared *trialPreparation
	// excludedUntil is until when the worker gets no starts.
	excludedUntil time.Time
}

// newWorker returns a life of a worker of which nothing is known but its entry.
func newWorker(now time.Time, o order.Worker) *worker {
	return &worker{
		Worker: o, attempts: map[order.Run]*attempt{}, orphans: map[order.Run]bool{}, free: o.Capacity, renewAt: now,
		overdue:  map[int64]time.Time{},
		fillPace: fullPace,
	}
}

// workersByName returns the workers in the order of their names. The reducer walks them in
// that order wherever it matters.
func (h *holderState) workersByName() []*worker {
	if h.sortedWorkers == nil {
		h.sortedWorkers = slices.Collect(maps.Values(h.workers))
		slices.SortFunc(h.sortedWorkers, compareNames)
		for i, w := range h.sortedWorkers {
			w.nameIndex = i
		}
	}
	return h.sortedWorkers
}

// addWorker adds the first life of a worker that is known.
func (h *holderState) addWorker(now time.Time, o order.Worker) *worker {
	w := newWorker(now, o)
	w.incarnations = h.formerWorkers.Take(o.Name)
	h.workers[o.Name] = w
	h.sortedWorkers = nil
	return w
}

// sortedAttempts returns the attempts on the worker in a fixed order, so that the same
// events always have the same effects.
func (w *worker) sortedAttempts() []*attempt {
	all := slices.Collect(maps.Values(w.attempts))
	slices.SortFunc(all, func(a, b *attempt) int { return a.runID().Compare(b.runID()) })
	return all
}

// isSchedulable says whether new tasks may be started on the worker.
func (h *holderState) isSchedulable(now time.Time, w *worker) bool {
	return w.isolatedAttempts == 0 && w.prepared == nil && h.isHealthy(now, w)
}

// isHealthy says whether a worker could take new tasks if it were not kept for a suspect.
func (h *holderState) isHealthy(now time.Time, w *worker) bool {
	return w.reported && w.presence.IsListed() && w.recorded && !w.Leaving && !w.incarnations.HasCandidate() && w.failures == 0 && len(w.orphans) == 0 &&
		now.Sub(w.answeredAt) < h.core.settings.RenewWait+h.adaptiveTimeout(now, silentWorkerTimeout) && !now.Before(w.excludedUntil) && !(h.isEnabled(mechanism.OverdueAnswers) && h.hasOverdueStart(now, w))
}

// hasOverdueStart says whether a worker has not answered the starts that it was given.
func (h *holderState) hasOverdueStart(now time.Time, w *worker) bool {
	return !w.unansweredSince.IsZero() && now.Sub(w.unansweredSince) > h.adaptiveTimeout(now, startAnswerTimeout)
}

// adaptiveTimeout returns how long to wait for an answer that is waited for some time as a
// rule: longer while most workers' answers are late. A call that is given up and made
// again makes a link that is full, or a process that is late, later still.
func (h *holderState) adaptiveTimeout(now time.Time, rule time.Duration) time.Duration {
	return h.answerDelays.CallTimeout(now, rule, h.core.settings.Lease/leaseWaitDivisor)
}

// recordWorker has the log name a worker before anything is started on it.
func (h *holderState) recordWorker(w *worker) {
	if w.recorded || w.recordPending {
		return
	}
	w.recordPending = true
	w.recordCount++
	h.journal.workerRecords = append(h.journal.workerRecords, workerRecord{worker: w, number: w.recordCount})
	h.journal.addRecord(kept.WorkerRecord(w.Worker))
}

// handleWorkerTerminated frees the tasks of a worker whose life is over for sure.
func (h *holderState) handleWorkerTerminated(now time.Time, w *worker, why string) {
	how := h.endingOf(now, w, true)
	h.core.logEvent("worker is gone", logField("worker", w.Incarnation.String()), logField("reason", why), logField("tasks", len(w.attempts)), logField("how", string(how)))
	h.loseAttempts(now, w, nil, how, why)
	delete(h.unreportedWorkers, w.Name)
	h.removeWorker(now, w)
}

// removeWorker drops a worker here and in the log.
func (h *holderState) removeWorker(now time.Time, w *worker) {
	delete(h.workers, w.Name)
	h.sortedWorkers = nil
	w.incarnations.End(w.Incarnation)
	h.formerWorkers.Add(now, w.Name, w.incarnations)
	if w.recorded || w.recordPending || w.unresponsive.written {
		h.journal.addRecord(kept.DropWorker(w.Name))
	}
}
