// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/services/blame"
	"saddlevane/services/jobrecords"
)

// Tasks under which workers have crashed are suspects. Package blame computes how likely each is to
// be guilty, and the log keeps its blame record. Suspects are started on workers apart from each
// other, as trials.

const (
	// trialQuietTime is how long before the start of a likely suspect its worker starts nothing
	// else, and trialDuration is how long it starts nothing else afterwards.
	trialQuietTime = time.Second
	trialDuration  = 2 * time.Second
	// maxTrialPreparation is how long a worker is kept free for a likely suspect that does not
	// start.
	maxTrialPreparation = 3 * time.Second
)

// blameUnit returns the task under which the blame of a task is recorded. The members of a gang run
// together, so the first member stands for all of them.
func (s *step) blameUnit(index int) job.TaskID {
	if s.spec.Gang {
		index = 0
	}
	return job.TaskID{StepID: s.id, Index: index}
}

// blameOf returns the blame record of a task.
func (h *holderState) blameOf(s *step, index int) job.Blame { return h.blame.Blame(s.blameUnit(index)) }

// isSuspectedGang reports whether a step is a gang that must be kept apart from other suspects.
func (h *holderState) isSuspectedGang(s *step) bool {
	return s.spec.Gang && h.blame.SuspectCount(s.id) > 0
}

// isWaitingSuspect reports whether a task waits and is a suspect that must be tried apart. Gangs are
// handled as a whole by isSuspectedGang.
func (h *holderState) isWaitingSuspect(s *step, index int) bool {
	t := &s.tasks[index]
	return !s.spec.Gang && !t.done && t.attempt == nil && h.blame.SuspectCount(s.id) > 0 && blame.IsSuspect(h.blameOf(s, index))
}

// unsuspectedWaiting counts the waiting tasks of a step that are not suspects.
func (h *holderState) unsuspectedWaiting(s *step) int {
	n := s.unplacedTasks
	if h.blame.SuspectCount(s.id) == 0 {
		return n
	}
	for i := range s.tasks {
		if h.isWaitingSuspect(s, i) {
			n--
		}
	}
	return n
}

// tasksAtCrash returns the tasks that may have run on a worker when it stopped answering.
func (h *holderState) tasksAtCrash(w *worker, at time.Time) []blame.RunningTask {
	var all []blame.RunningTask
	for _, a := range w.sortedAttempts() {
		if a.step.job.state.IsFinal() {
			continue
		}
		t := blame.RunningTask{
			Task: a.step.blameUnit(a.index), Run: a.run, Gang: a.step.spec.Gang, Alone: a.ranAlone(at), Workers: a.step.workerCount(),
		}
		worked, known := a.workTime(at)
		if t.Worked, t.DetectionDelay = worked, w.detectionDelay(); !known {
			t.Worked, t.TimeBound, t.DetectionDelay = h.minRunTime(a, at), job.AtLeast, 0
		}
		all = append(all, t)
	}
	return append(all, h.takeInheritedStarts(w, at)...)
}

// runsBlameUnit reports whether a worker runs the task with the given blame unit, or a member of the
// gang that it stands for.
func (w *worker) runsBlameUnit(unit job.TaskID) bool {
	return slices.ContainsFunc(w.sortedAttempts(), func(a *attempt) bool { return a.step.blameUnit(a.index) == unit })
}

// workerCount returns the number of workers that one blame unit of the step uses: 1, or those of
// all members of a gang.
func (s *step) workerCount() int {
	if !s.spec.Gang {
		return 1
	}
	workers := map[*worker]bool{}
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil {
			workers[a.worker] = true
		}
	}
	return len(workers)
}

// ranAlone reports whether no task of another blame unit was started on the attempt's worker from
// trialQuietTime before the attempt until the worker stopped answering at the given time. It
// returns false if the attempt's own run time is not known.
func (a *attempt) ranAlone(at time.Time) bool {
	worked, known := a.workTime(at)
	for _, o := range a.worker.attempts {
		if o.step.blameUnit(o.index) == a.step.blameUnit(a.index) {
			continue
		}
		if otherWorked, known := o.workTime(at); known && otherWorked < worked+trialQuietTime {
			return false
		}
	}
	return known
}

// minRunTime returns a lower bound for how long an attempt that an earlier holder started had run
// at the given time: the time for which this holder has known it, plus one lease. The bound is an
// assumption, so a crash adds little to the task's blame.
func (h *holderState) minRunTime(a *attempt, at time.Time) time.Duration {
	return max(0, at.Sub(a.stateSince)) + h.core.settings.Lease
}

// recordCrash updates the blame records of the tasks that ran on a worker when it crashed or went missing,
// and the learned crash rate.
func (h *holderState) recordCrash(now time.Time, w *worker, tasks []blame.RunningTask, ending exchange.Ending) {
	if ending == exchange.Crashed {
		r, wasMissing := h.blame.ResolveAsCrashed(now, w.Incarnation)
		if wasMissing {
			h.applyResolution(r, "its incarnation has ended")
		}
		if wasMissing && len(tasks) == 0 {
			return
		}
	}
	at := w.presence.UnresponsiveSince()
	c := blame.Crash{
		Incarnation: w.Incarnation, Rack: w.Rack, Missing: ending == exchange.Missing, Address: w.Address, At: at, UnixMilli: h.core.unixMilli(at),
		TasksKnown: w.reported || w.logged.IsUnresponsive(), Tasks: tasks,
	}
	message := "worker crashed while running a task"
	if c.Missing {
		message = "worker went missing while running a task"
	}
	for _, f := range h.blame.RecordCrash(now, c) {
		h.core.logEvent(message, logField("job", string(f.Task.Job)), logField("task", f.Task.String()),
			logField("worker", w.Incarnation.String()),
			logField("crashes", f.Blame.Crashes), logField("guilty", fmt.Sprintf("%.3g", blame.Probability(f.Blame))),
			logField("worked_most", f.Worked.String()),
			logField("time", string(f.TimeBound)), logField("late", f.DetectionDelay.String()), logField("alone", f.Alone),
			logField("odds", fmt.Sprintf("%.3g", f.Blame.Odds)),
			logField("crashes_otherwise_every", fmt.Sprintf("%.3gs", 1/f.BackgroundHazard)))
		h.markDirty(h.jobs[f.Task.Job])
	}
	h.journal.addRecord(jobrecords.CrashRateRecord(h.blame.LearnedRate()))
}

// resolveMissing updates the blame of tasks on missing workers after an answer of a worker, which may have
// been missing itself or may have replaced one that was.
func (h *holderState) resolveMissing(now time.Time, w *worker) {
	for _, r := range h.blame.ResolveByAnswer(now, w.Incarnation, w.Address) {
		h.applyResolution(r, "answer of "+w.Incarnation.String())
	}
}

// resolveOverdueMissing updates the blame of tasks on workers that have been missing for too long. While
// the list of workers may be incomplete, it does nothing.
func (h *holderState) resolveOverdueMissing(now time.Time) {
	if now.Sub(h.startedAt) < h.maxLeaseDuration() || h.entriesMayReturn(now) {
		return
	}
	isListed := func(name string) bool { w := h.workers[name]; return w != nil && w.presence.IsListed() }
	for _, r := range h.blame.ResolveOverdue(now, h.core.unixMilli(now), isListed) {
		h.applyResolution(r, "nothing was heard of it")
	}
}

// applyResolution records what became of a missing worker, and how that was found.
func (h *holderState) applyResolution(r blame.Resolution, reason string) {
	h.core.logEvent("missing worker is accounted for", logField("worker", r.Worker), logField("crashed", r.Crashed),
		logField("reason", reason), logField("tasks", len(r.Tasks)))
	h.core.emit(exchange.MissingWorkerResolved{Crashed: r.Crashed})
	if r.Crashed {
		h.journal.addRecord(jobrecords.CrashRateRecord(h.blame.LearnedRate()))
	}
	for _, t := range r.Tasks {
		h.markDirty(h.jobs[t.Job])
		h.untrackUnsuspected(t)
	}
}

// untrackUnsuspected reverts what trackSuspect did for the attempts of a task that is no suspect any more.
func (h *holderState) untrackUnsuspected(t job.TaskID) {
	s := h.findStep(t.StepID)
	if s == nil || blame.IsSuspect(h.blame.Blame(t)) {
		return
	}
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil && s.blameUnit(i) == t {
			a.untrackSuspect()
		}
	}
}

// giveUpGuiltyJobs fails the jobs whose tasks have been found guilty of crashing workers.
func (h *holderState) giveUpGuiltyJobs(now time.Time) {
	for _, t := range h.blame.GiveUpsDue(now) {
		j, b := h.jobs[t.Job], h.blame.Blame(t)
		h.markDirty(j)
		if blame.IsGuilty(b) {
			crashes := blame.Certain(b).Crashes
			h.core.emit(exchange.JobGivenUp{Crashes: crashes})
			h.finishJob(now, j, job.Failed, fmt.Sprintf("%d workers crashed under task %s", crashes, t))
		}
	}
}

// clearBlame drops the blame record of a task after one of its runs has succeeded or has been
// running for long. The crashes attributed to it had other causes.
func (h *holderState) clearBlame(s *step, index int) {
	if !h.blame.Clear(s.blameUnit(index)) {
		return
	}
	h.untrackUnsuspected(s.blameUnit(index))
	if !s.job.state.IsFinal() {
		h.markDirty(s.job)
	}
}

// confirmRunning updates the blame of an attempt that is running on a live worker: it clears the
// task if the run has lasted long enough, and ends the isolation of the worker after trialDuration.
func (h *holderState) confirmRunning(now time.Time, a *attempt) {
	worked := now.Sub(a.stateSince)
	if b := h.blameOf(a.step, a.index); b.Crashes > 0 && blame.IsClearedBy(b, min(worked, a.provenRunTime())) {
		h.clearBlame(a.step, a.index)
	}
	if a.isolated && worked > trialDuration {
		a.endIsolation()
	}
}

// recordTrial records in the log that a suspect is tried on a worker from now on. It returns false
// if the task has no blame record.
func (h *holderState) recordTrial(now time.Time, s *step, index int, w *worker) bool {
	if !h.blame.RecordStart(s.blameUnit(index), w.Incarnation, h.core.unixMilli(now)) {
		return false
	}
	h.markDirty(s.job)
	return true
}

// provenRunTime returns how long all members of an attempt's gang are known to have been running.
// When a member has crashed its worker, the remaining members only wait for it but are still
// reported as running, so their own run time proves nothing.
func (a *attempt) provenRunTime() time.Duration {
	shortest := a.worker.aliveAt.Sub(a.stateSince)
	if !a.step.spec.Gang {
		return shortest
	}
	for i := range a.step.tasks {
		m := a.step.tasks[i].attempt
		if m == nil || m.state != attemptRunning {
			return 0
		}
		shortest = min(shortest, m.worker.aliveAt.Sub(m.stateSince))
	}
	return shortest
}

// trackSuspect updates the worker's counters if an attempt runs a suspect. It also records the start
// of any task that has a blame record, for the next holder.
func (h *holderState) trackSuspect(now time.Time, a *attempt) {
	if !h.recordTrial(now, a.step, a.index, a.worker) {
		return
	}
	b := h.blameOf(a.step, a.index)
	if !blame.IsSuspect(b) {
		return
	}
	a.crashRisk = blame.Probability(b)
	if a.step.spec.Gang {
		a.crashRisk /= float64(len(a.step.tasks))
	}
	a.worker.suspectAttempts++
	if blame.MustBeAlone(b) || a.worker.trialPreparation.matches(a) {
		a.isolated = true
		a.worker.isolatedAttempts++
	}
	a.worker.trialPreparation = nil
}

// untrackSuspect reverts the changes that trackSuspect made to the worker's counters.
func (a *attempt) untrackSuspect() {
	if a.crashRisk == 0 {
		return
	}
	a.crashRisk = 0
	a.worker.suspectAttempts--
	a.endIsolation()
}

// endIsolation lets the worker of a likely suspect take other tasks again.
func (a *attempt) endIsolation() {
	if a.isolated {
		a.isolated = false
		a.worker.isolatedAttempts--
	}
}

// startSuspects starts the waiting suspects of a step that may be tried now, each on an eligible
// worker without another suspect. Likely suspects get a worker that starts nothing else at the same
// time.
func (h *holderState) startSuspects(p *pass, r rankedStep, set *workerSet) {
	s := r.step
	for i := range s.tasks {
		if !h.isWaitingSuspect(s, i) || !h.canStartTrial(p.now, s, i) || h.slotsUnderCap(s) == 0 {
			continue
		}
		alone := blame.IsLikely(h.blameOf(s, i))
		if alone && !h.canPrepareTrial(s, i) {
			if blame.MustBeAlone(h.blameOf(s, i)) {
				continue
			}
			alone = false
		}
		w := h.trialWorker(p, r, set, i, alone)
		if w == nil {
			if r.queue.Advice != nil && !s.advice.hasCalls() {
				h.requestAdviceOnFreeWorkers(p.now, r, set.workers)
			}
			return
		}
		ticket, valid := s.advice.TicketFor(p.now, w)
		if r.queue.Advice != nil && !valid {
			h.refreshTickets(p.now, r, []allocation{{Worker: w, Tasks: 1}})
			return
		}
		if alone && (h.journal.hasPendingProgress(s.job) || !w.isQuiet(p.now)) {
			// The blame record and the trial must be in the log before the start. If they were
			// appended together with the start and the holder was lost right after it, the crash
			// would be lost too.
			continue
		}
		h.startTask(p.now, s, i, h.nextRunNumber(s), w, ticket)
		h.core.logEvent("suspected task started on trial", logField("job", string(s.job.id)), logField("task", s.blameUnit(i).String()),
			logField("run", s.lastRun),
			logField("worker", w.Incarnation.String()), logField("beside", len(w.attempts)-1), logField("crashes", h.blameOf(s, i).Crashes),
			logField("claim", h.epoch))
	}
}

// canPrepareTrial reports whether a worker is or may be kept free for a suspect. Only a few workers
// are kept free at the same time.
func (h *holderState) canPrepareTrial(s *step, index int) bool {
	dedicated := 0
	for _, w := range h.workersByName() {
		if w.trialPreparation != nil || w.isolatedAttempts > 0 {
			dedicated++
		}
	}
	return blame.MayDedicateWorker(dedicated, len(h.workers), h.hasAmpleFreeCapacity && !h.hasUnplacedTasks) || h.preparedWorker(s, index) != nil
}

// trialWorker returns a worker without another suspect for the trial of a task, or nil. If the
// suspect is to run alone, the worker with the fewest attempts is chosen and gets no other tasks
// from then on.
func (h *holderState) trialWorker(p *pass, r rankedStep, set *workerSet, index int, alone bool) *worker {
	s := r.step
	if w := h.preparedWorker(s, index); alone && w != nil {
		if w.slots(s, w.available()) > 0 {
			return w
		}
		// The worker's capacity has shrunk, or is used by a task that started late.
		w.trialPreparation = nil
	}
	var best *candidate
	for _, c := range h.candidates(p.now, s, r.eligibleWorkers(set)) {
		if c.Worker.suspectAttempts == 0 && c.Worker.trialPreparation == nil && (best == nil || c.isBetterForTrial(*best, alone)) {
			best = &c
		}
	}
	if best == nil {
		return nil
	}
	if alone {
		best.Worker.trialPreparation = &trialPreparation{step: s, index: index, since: p.now}
		h.recordTrial(p.now, s, index, best.Worker)
	}
	return best.Worker
}

// trialPreparation records that a worker is kept free for a likely suspect.
type trialPreparation struct {
	step  *step
	index int
	since time.Time
}

// matches reports whether the worker is kept free for the task of an attempt.
func (pr *trialPreparation) matches(a *attempt) bool {
	return pr != nil && pr.step == a.step && pr.index == a.index
}

// preparedWorker returns the worker that is kept free for a suspect, or nil.
func (h *holderState) preparedWorker(s *step, index int) *worker {
	for _, w := range h.workersByName() {
		if w.trialPreparation != nil && w.trialPreparation.step == s && w.trialPreparation.index == index {
			return w
		}
	}
	return nil
}

// expireTrialPreparation lets a worker take other tasks again if its suspect has not started in
// time, no longer waits, or can no longer start there.
func (h *holderState) expireTrialPreparation(now time.Time, w *worker) {
	if pr := w.trialPreparation; pr != nil && (now.Sub(pr.since) > maxTrialPreparation || !pr.step.open ||
		!h.isWaitingSuspect(pr.step, pr.index) || !h.isHealthy(now, w)) {
		w.trialPreparation = nil
		h.planDue = true
	}
}

// isQuiet reports whether nothing was started on a worker within trialQuietTime.
func (w *worker) isQuiet(now time.Time) bool {
	return !slices.ContainsFunc(w.sortedAttempts(), func(a *attempt) bool { return now.Sub(a.firstOrderedAt) < trialQuietTime })
}

// canStartTrial reports whether a suspect may be started now: its retry delay is over, the blame record of
// a likely suspect is in the log, and not too many workers are at risk.
func (h *holderState) canStartTrial(now time.Time, s *step, index int) bool {
	b := h.blameOf(s, index)
	if h.blame.MustWait(now, s.blameUnit(index)) || blame.IsLikely(b) && h.journal.hasPendingProgress(s.job) {
		return false
	}
	risk := blame.Probability(b)
	all, ofJob := h.expectedCrashes(s.job)
	return blame.MayTry(risk, all, ofJob, len(h.workers))
}

// expectedCrashes returns how many workers are expected to crash because of the suspects running on
// them, over all jobs and for the given job.
func (h *holderState) expectedCrashes(j *trackedJob) (all, ofJob float64) {
	for _, w := range h.workersByName() {
		if w.suspectAttempts == 0 {
			continue
		}
		for _, a := range w.sortedAttempts() {
			all += a.crashRisk
			if a.step.job == j {
				ofJob += a.crashRisk
			}
		}
	}
	return all, ofJob
}

// crashRisk returns the probability that one of the suspects on a worker crashes it.
func (w *worker) crashRisk() float64 {
	risk := 0.0
	for _, a := range w.attempts {
		risk += a.crashRisk
	}
	return min(1, risk)
}

// isBetterForTrial reports whether a candidate is a better worker for the trial of a suspect than
// another.
func (c candidate) isBetterForTrial(o candidate, alone bool) bool {
	byAttempts := 0
	if alone {
		byAttempts = cmp.Compare(len(c.Worker.attempts), len(o.Worker.attempts))
	}
	return cmp.Or(cmp.Compare(c.unticketed, o.unticketed), byAttempts, c.compare(o)) < 0
}

// hasPendingProgress reports whether the log does not have the latest progress of a job yet.
func (j *journal) hasPendingProgress(tj *trackedJob) bool {
	return tj.progressPending || j.batch != nil && slices.ContainsFunc(j.batch.progressEntries, func(b progressEntry) bool { return b.job == tj })
}

// suspectReason explains why a suspect of the step waits, or returns "" if the step has no
// suspects.
func (h *holderState) suspectReason(s *step) string {
	for i := range s.tasks {
		if b := h.blameOf(s, i); blame.IsSuspect(b) {
			return fmt.Sprintf("%d workers crashed or went missing under task %d, which crashes them with probability %.2g; it is started apart from other suspects",
				b.Crashes, i, blame.Probability(b))
		}
	}
	return ""
}
