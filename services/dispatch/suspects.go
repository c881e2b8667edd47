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
	"saddlevane/services/kept"
)

// Tasks under which workers have crashed are suspects: what is held against each is
// judged by package blame and kept in the log. They are tried apart from each other.

const (
	// trialQuietTime is for how long a worker starts nothing before a likely suspect begins
	// there, and trialDuration for how long after it.
	trialQuietTime = time.Second
	trialDuration  = 2 * time.Second
	// maxTrialPreparation is how long a worker is kept for a likely suspect that has not begun.
	maxTrialPreparation = 3 * time.Second
)

// blameUnit returns the task that stands for another in what is held against it: the members
// of a gang run together, and the first stands for all.
func (s *step) blameUnit(index int) job.TaskID {
	if s.spec.Gang {
		index = 0
	}
	return job.TaskID{StepID: s.id, Index: index}
}

// blameOf returns what is held against a task.
func (h *holderState) blameOf(s *step, index int) job.Blame { return h.blame.Blame(s.blameUnit(index)) }

// isSuspectedGang says whether a step is a gang that is to be kept apart from other suspects.
func (h *holderState) isSuspectedGang(s *step) bool {
	return s.spec.Gang && h.blame.SuspectCount(s.id) > 0
}

// isWaitingSuspect says whether a task waits for a place that is to be tried apart.
func (h *holderState) isWaitingSuspect(s *step, index int) bool {
	t := &s.tasks[index]
	return !s.spec.Gang && !t.done && t.attempt == nil && h.blame.SuspectCount(s.id) > 0 && blame.IsSuspect(h.blameOf(s, index))
}

// unsuspectedWaiting counts the waiting tasks that need not be tried apart.
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

// tasksAtCrash returns the tasks on a worker that stopped answering at a time.
func (h *holderState) tasksAtCrash(w *worker, at time.Time) []blame.RunningTask {
	var all []blame.RunningTask
	for _, a := range w.sortedAttempts() {
		if a.step.job.state.IsFinal() {
			continue
		}
		on := blame.RunningTask{
			Task: a.step.blameUnit(a.index), Run: a.run, Gang: a.step.spec.Gang, Alone: a.ranAlone(at), Workers: a.step.workerCount(),
		}
		worked, known := a.workTime(at)
		if on.Worked, on.Late = worked, w.detectionDelay(); !known {
			on.Worked, on.Time, on.Late = h.minRunTime(a, at), job.AtLeast, 0
		}
		all = append(all, on)
	}
	return append(all, h.startedOn(w, at)...)
}

// runsUnit says whether a worker runs the task, or a member of the gang for which it stands.
func (w *worker) runsUnit(unit job.TaskID) bool {
	return slices.ContainsFunc(w.sortedAttempts(), func(a *attempt) bool { return a.step.blameUnit(a.index) == unit })
}

// workerCount counts the workers on which a task of the step is at work, or the whole gang.
func (s *step) workerCount() int {
	if !s.spec.Gang {
		return 1
	}
	on := map[*worker]bool{}
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil {
			on[a.worker] = true
		}
	}
	return len(on)
}

// ranAlone says whether no task but those of its unit had begun on its worker shortly
// before an attempt, or since, when the worker fell silent at a time.
func (a *attempt) ranAlone(at time.Time) bool {
	worked, known := a.workTime(at)
	for _, o := range a.worker.attempts {
		if o.step.blameUnit(o.index) == a.step.blameUnit(a.index) {
			continue
		}
		if others, known := o.workTime(at); known && others < worked+trialQuietTime {
			return false
		}
	}
	return known
}

// minRunTime returns for how long an attempt that an earlier holder began has been at
// work at a time, or longer: as long as this holder knows it and a lease lasts, or so it is
// taken. Little is held against it.
func (h *holderState) minRunTime(a *attempt, at time.Time) time.Duration {
	return max(0, at.Sub(a.stateSince)) + h.core.settings.Lease
}

// recordCrash tells what the crash of a worker says of the tasks that were on it.
func (h *holderState) recordCrash(now time.Time, w *worker, on []blame.RunningTask) {
	at := w.presence.SilentSince()
	c := blame.Crash{Life: w.Incarnation, Rack: w.Rack, At: at, UnixMilli: h.core.unixMilli(at), TasksKnown: w.reported || w.unresponsive.written, Tasks: on}
	for _, f := range h.blame.RecordCrash(now, c) {
		h.core.logEvent("a worker crashed under a task", logField("job", string(f.Task.Job)), logField("task", f.Task.String()), logField("worker", w.Incarnation.String()),
			logField("crashes", f.Blame.Crashes), logField("guilty", fmt.Sprintf("%.3g", blame.Probability(f.Blame))), logField("worked_most", f.Worked.String()),
			logField("time", string(f.Time)), logField("late", f.Late.String()), logField("alone", f.Alone), logField("odds", fmt.Sprintf("%.3g", f.Blame.Odds)),
			logField("crashes_otherwise_every", fmt.Sprintf("%.3gs", 1/f.BackgroundHazard)))
		h.markDirty(h.jobs[f.Task.Job])
	}
	h.journal.addRecord(kept.CrashRateRecord(h.blame.LearnedRate()))
}

// giveUpGuiltyJobs gives up the jobs of tasks that are found guilty.
func (h *holderState) giveUpGuiltyJobs(now time.Time) {
	for _, t := range h.blame.GiveUpsDue(now) {
		j, b := h.jobs[t.Job], h.blame.Blame(t)
		h.markDirty(j)
		if blame.IsGuilty(b) {
			h.core.emit(exchange.JobGivenUp{Crashes: b.Crashes})
			h.finishJob(now, j, job.Failed, fmt.Sprintf("%d workers crashed under task %s", b.Crashes, t))
		}
	}
}

// clearBlame drops what is held against a task: a run of it has ended well, or has been at
// work for long. The crashes that were put down to it have had other causes.
func (h *holderState) clearBlame(s *step, index int) {
	if !h.blame.Clear(s.blameUnit(index)) {
		return
	}
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil && s.blameUnit(i) == s.blameUnit(index) {
			a.untrackSuspect()
		}
	}
	if !s.job.state.IsFinal() {
		h.markDirty(s.job)
	}
}

// confirmRunning takes that an attempt is at work on a worker that lives.
func (h *holderState) confirmRunning(now time.Time, a *attempt) {
	worked := now.Sub(a.stateSince)
	if b := h.blameOf(a.step, a.index); b.Crashes > 0 && blame.IsClearedBy(b, min(worked, a.provenRunTime())) {
		h.clearBlame(a.step, a.index)
	}
	if a.isolated && worked > trialDuration {
		a.endIsolation()
	}
}

// recordTrial has the log tell that a suspect is tried on a worker from now on. It returns false
// if nothing is held against the task.
func (h *holderState) recordTrial(now time.Time, s *step, index int, w *worker) bool {
	if !h.blame.RecordStart(s.blameUnit(index), w.Incarnation, h.core.unixMilli(now)) {
		return false
	}
	h.markDirty(s.job)
	return true
}

// provenRunTime returns for how long all members of an attempt's gang have surely been at work: those
// that are left wait for a member that has crashed its worker, and are named as running.
func (a *attempt) provenRunTime() time.Duration {
	least := a.worker.aliveAt.Sub(a.stateSince)
	if !a.step.spec.Gang {
		return least
	}
	for i := range a.step.tasks {
		m := a.step.tasks[i].attempt
		if m == nil || m.state != attemptRunning {
			return 0
		}
		least = min(least, m.worker.aliveAt.Sub(m.stateSince))
	}
	return least
}

// trackSuspect notes on its worker, and for the next holder, that an attempt is of a
// suspect.
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
	if blame.MustBeAlone(b) || a.worker.prepared.matches(a) {
		a.isolated = true
		a.worker.isolatedAttempts++
	}
	a.worker.prepared = nil
}

// untrackSuspect takes back what trackSuspect noted.
func (a *attempt) untrackSuspect() {
	if a.crashRisk == 0 {
		return
	}
	a.crashRisk = 0
	a.worker.suspectAttempts--
	a.endIsolation()
}

// endIsolation lets the worker of a likely suspect take other tasks.
func (a *attempt) endIsolation() {
	if a.isolated {
		a.isolated = false
		a.worker.isolatedAttempts--
	}
}

// startSuspects starts the waiting suspects of a step that may be tried now, each on a worker
// without another. It is told which workers suit the step.
func (h *holderState) startSuspects(p *pass, r rankedStep, set *workerSet) {
	s := r.step
	for i := range s.tasks {
		if !h.isWaitingSuspect(s, i) || !h.canTry(p.now, s, i) || h.slotsUnderCap(s) == 0 {
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
				h.requestMoreAdvice(p.now, r, set.workers)
			}
			return
		}
		ticket, valid := s.advice.TicketFor(p.now, w)
		if r.queue.Advice != nil && !valid {
			h.refreshTickets(p.now, r, []allocation{{Worker: w, Tasks: 1}})
			return
		}
		if alone && (h.journal.hasPendingProgress(s.job) || !w.isQuiet(p.now)) {
			// What is told with the start is lost with a holder that is lost just after it, and
			// the crash with it.
			continue
		}
		h.startTask(p.now, s, i, h.nextRunNumber(s), w, ticket)
		h.core.logEvent("a suspected task is tried", logField("job", string(s.job.id)), logField("task", s.blameUnit(i).String()), logField("run", s.lastRun),
			logField("worker", w.Incarnation.String()), logField("beside", len(w.attempts)-1), logField("crashes", h.blameOf(s, i).Crashes), logField("claim", h.epoch))
	}
}

// canPrepareTrial says whether a worker is kept for a suspect, or may be: few are at a time.
func (h *holderState) canPrepareTrial(s *step, index int) bool {
	kept := 0
	for _, w := range h.workersByName() {
		if w.prepared != nil || w.isolatedAttempts > 0 {
			kept++
		}
	}
	return blame.MayDedicateWorker(kept, len(h.workers), h.hasAmpleRoom && !h.hasUnplacedTasks) || h.preparedWorker(s, index) != nil
}

// trialWorker returns a worker for a suspect, or nil: one without another suspect. For one
// that is to be alone it is the emptiest, which from then on gets nothing else.
func (h *holderState) trialWorker(p *pass, r rankedStep, set *workerSet, index int, alone bool) *worker {
	s := r.step
	if w := h.preparedWorker(s, index); alone && w != nil {
		if w.slots(s, w.available()) > 0 {
			return w
		}
		// Its room has shrunk, or is taken by what started late.
		w.prepared = nil
	}
	var best *candidate
	for _, c := range h.candidates(p.now, s, r.eligible(set)) {
		if c.Worker.suspectAttempts == 0 && c.Worker.prepared == nil && (best == nil || c.isBetterForTrial(*best, alone)) {
			best = &c
		}
	}
	if best == nil {
		return nil
	}
	if alone {
		best.Worker.prepared = &trialPreparation{step: s, index: index, since: p.now}
		h.recordTrial(p.now, s, index, best.Worker)
	}
	return best.Worker
}

// trialPreparation is a worker's being kept for a likely suspect.
type trialPreparation struct {
	step  *step
	index int
	since time.Time
}

// matches says whether a worker is kept for an attempt.
func (pr *trialPreparation) matches(a *attempt) bool {
	return pr != nil && pr.step == a.step && pr.index == a.index
}

// preparedWorker returns the worker that is kept for a suspect, or nil.
func (h *holderState) preparedWorker(s *step, index int) *worker {
	for _, w := range h.workersByName() {
		if w.prepared != nil && w.prepared.step == s && w.prepared.index == index {
			return w
		}
	}
	return nil
}

// expireTrialPreparation lets a worker take other tasks again whose suspect does not come.
func (h *holderState) expireTrialPreparation(now time.Time, w *worker) {
	if pr := w.prepared; pr != nil && (now.Sub(pr.since) > maxTrialPreparation || !pr.step.open || !h.isWaitingSuspect(pr.step, pr.index) || !h.isHealthy(now, w)) {
		w.prepared = nil
		h.planDue = true
	}
}

// isQuiet says whether nothing was started on a worker lately.
func (w *worker) isQuiet(now time.Time) bool {
	return !slices.ContainsFunc(w.sortedAttempts(), func(a *attempt) bool { return now.Sub(a.firstOrderedAt) < trialQuietTime })
}

// canTry says whether a suspect may be tried now: what is held against it is in the log
// if it is likely to be guilty, and not too many workers are at risk.
func (h *holderState) canTry(now time.Time, s *step, index int) bool {
	b := h.blameOf(s, index)
	if h.blame.MustWait(now, s.blameUnit(index)) || blame.IsLikely(b) && h.journal.hasPendingProgress(s.job) {
		return false
	}
	risk := blame.Probability(b)
	all, ofJob := h.expectedCrashes(s.job)
	return blame.MayTry(risk, all, ofJob, len(h.workers))
}

// expectedCrashes returns how many workers are expected to crash under the suspects on them, all
// and those of a job.
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

// crashRisk returns how likely it is that one of the suspects on the worker crashes it.
func (w *worker) crashRisk() float64 {
	risk := 0.0
	for _, a := range w.attempts {
		risk += a.crashRisk
	}
	return min(1, risk)
}

// isBetterForTrial says whether a candidate is better than another for trying a suspect.
func (c candidate) isBetterForTrial(o candidate, alone bool) bool {
	beside := 0
	if alone {
		beside = cmp.Compare(len(c.Worker.attempts), len(o.Worker.attempts))
	}
	return cmp.Or(cmp.Compare(c.unticketed, o.unticketed), beside, c.compare(o)) < 0
}

// hasPendingProgress says whether the log does not have the last progress of a job yet.
func (j *journal) hasPendingProgress(s *trackedJob) bool {
	return s.progressPending || j.batch != nil && slices.ContainsFunc(j.batch.progressEntries, func(b progressEntry) bool { return b.job == s })
}

// suspectReason says why the suspects of a step wait, or "".
func (h *holderState) suspectReason(s *step) string {
	for i := range s.tasks {
		if b := h.blameOf(s, i); blame.IsSuspect(b) {
			return fmt.Sprintf("%d workers crashed under task %d, which crashes them with probability %.2g; it is tried apart",
				b.Crashes, i, blame.Probability(b))
		}
	}
	return ""
}
