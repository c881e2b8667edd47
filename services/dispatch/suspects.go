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
	// calmBefore is for how long a worker starts nothing before a likely suspect begins
	// there, and trialFor for how long after it.
	calmBefore = time.Second
	trialFor   = 2 * time.Second
	// prepareMost is how long a worker is kept for a likely suspect that has not begun.
	prepareMost = 3 * time.Second
)

// unit returns the task that stands for another in what is held against it: the members
// of a gang run together, and the first stands for all.
func (s *step) unit(index int) job.TaskID {
	if s.spec.Gang {
		index = 0
	}
	return job.TaskID{StepID: s.id, Index: index}
}

// blameOf returns what is held against a task.
func (h *holderState) blameOf(s *step, index int) job.Blame { return h.blame.Blame(s.unit(index)) }

// gangSuspected says whether a step is a gang that is to be kept apart from other suspects.
func (h *holderState) gangSuspected(s *step) bool {
	return s.spec.Gang && h.blame.SuspectCount(s.id) > 0
}

// waitsSuspected says whether a task waits for a place that is to be tried apart.
func (h *holderState) waitsSuspected(s *step, index int) bool {
	t := &s.tasks[index]
	return !s.spec.Gang && !t.done && t.attempt == nil && h.blame.SuspectCount(s.id) > 0 && blame.IsSuspect(h.blameOf(s, index))
}

// toPlace counts the waiting tasks that need not be tried apart.
func (h *holderState) toPlace(s *step) int {
	n := s.unplacedTasks
	if h.blame.SuspectCount(s.id) == 0 {
		return n
	}
	for i := range s.tasks {
		if h.waitsSuspected(s, i) {
			n--
		}
	}
	return n
}

// tasksOn returns the tasks on a worker that stopped answering at a time.
func (h *holderState) tasksOn(w *worker, at time.Time) []blame.RunningTask {
	var all []blame.RunningTask
	for _, a := range w.sortedAttempts() {
		if a.step.job.state.Final() {
			continue
		}
		on := blame.RunningTask{
			Task: a.step.unit(a.index), Run: a.run, Gang: a.step.spec.Gang, Alone: a.isAlone(at), Workers: a.step.workersOf(),
		}
		worked, known := a.workTime(at)
		if on.Worked, on.Late = worked, w.detectionDelay(); !known {
			on.Worked, on.Time, on.Late = h.atWorkLeast(a, at), job.AtLeast, 0
		}
		all = append(all, on)
	}
	return append(all, h.startedOn(w, at)...)
}

// runs says whether a worker runs the task, or a member of the gang for which it stands.
func (w *worker) runs(unit job.TaskID) bool {
	return slices.ContainsFunc(w.sortedAttempts(), func(a *attempt) bool { return a.step.unit(a.index) == unit })
}

// workersOf counts the workers on which a task of the step is at work, or the whole gang.
func (s *step) workersOf() int {
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

// isAlone says whether no task but those of its unit had begun on its worker shortly
// before an attempt, or since, when the worker fell silent at a time.
func (a *attempt) isAlone(at time.Time) bool {
	worked, known := a.workTime(at)
	for _, o := range a.worker.attempts {
		if o.step.unit(o.index) == a.step.unit(a.index) {
			continue
		}
		if others, known := o.workTime(at); known && others < worked+calmBefore {
			return false
		}
	}
	return known
}

// atWorkLeast returns for how long an attempt that an earlier holder began has been at
// work at a time, or longer: as long as this holder knows it and a lease lasts, or so it is
// taken. Little is held against it.
func (h *holderState) atWorkLeast(a *attempt, at time.Time) time.Duration {
	return max(0, at.Sub(a.stateSince)) + h.core.settings.Lease
}

// judge tells what the crash of a worker says of the tasks that were on it.
func (h *holderState) judge(now time.Time, w *worker, on []blame.RunningTask) {
	at := w.presence.SilentSince()
	c := blame.Crash{Life: w.Life, Rack: w.Rack, At: at, UnixMilli: h.core.unixMilli(at), TasksKnown: w.reported || w.silence.written, Tasks: on}
	for _, f := range h.blame.RecordCrash(now, c) {
		h.core.logEvent("a worker crashed under a task", logField("job", string(f.Task.Job)), logField("task", f.Task.String()), logField("worker", w.Life.String()),
			logField("crashes", f.Blame.Crashes), logField("guilty", fmt.Sprintf("%.3g", blame.Probability(f.Blame))), logField("worked_most", f.Worked.String()),
			logField("time", string(f.Time)), logField("late", f.Late.String()), logField("alone", f.Alone), logField("odds", fmt.Sprintf("%.3g", f.Blame.Odds)),
			logField("crashes_otherwise_every", fmt.Sprintf("%.3gs", 1/f.BackgroundHazard)))
		h.markDirty(h.jobs[f.Task.Job])
	}
	h.journal.addRecord(kept.CrashRateRecord(h.blame.LearnedRate()))
}

// verdicts gives up the jobs of tasks that are found guilty.
func (h *holderState) verdicts(now time.Time) {
	for _, t := range h.blame.GiveUpsDue(now) {
		j, b := h.jobs[t.Job], h.blame.Blame(t)
		h.markDirty(j)
		if blame.IsGuilty(b) {
			h.core.emit(exchange.GivenUp{Crashes: b.Crashes})
			h.finishJob(now, j, job.Failed, fmt.Sprintf("%d workers crashed under task %s", b.Crashes, t))
		}
	}
}

// acquit drops what is held against a task: a run of it has ended well, or has been at
// work for long. The crashes that were put down to it have had other causes.
func (h *holderState) acquit(s *step, index int) {
	if !h.blame.Clear(s.unit(index)) {
		return
	}
	for i := range s.tasks {
		if a := s.tasks[i].attempt; a != nil && s.unit(i) == s.unit(index) {
			a.leaveTrial()
		}
	}
	if !s.job.state.Final() {
		h.markDirty(s.job)
	}
}

// worksOn takes that an attempt is at work on a worker that lives.
func (h *holderState) worksOn(now time.Time, a *attempt) {
	worked := now.Sub(a.stateSince)
	if b := h.blameOf(a.step, a.index); b.Crashes > 0 && blame.IsClearedBy(b, min(worked, a.wholeFor())) {
		h.acquit(a.step, a.index)
	}
	if a.isolated && worked > trialFor {
		a.endTrial()
	}
}

// tellTrial has the log tell that a suspect is tried on a worker from now on. It returns false
// if nothing is held against the task.
func (h *holderState) tellTrial(now time.Time, s *step, index int, w *worker) bool {
	if !h.blame.RecordStart(s.unit(index), w.Life, h.core.unixMilli(now)) {
		return false
	}
	h.markDirty(s.job)
	return true
}

// wholeFor returns for how long all members of an attempt's gang have surely been at work: those
// that are left wait for a member that has crashed its worker, and are named as running.
func (a *attempt) wholeFor() time.Duration {
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

// enterTrial notes on its worker, and for the next holder, that an attempt is of a
// suspect.
func (h *holderState) enterTrial(now time.Time, a *attempt) {
	if !h.tellTrial(now, a.step, a.index, a.worker) {
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
	if blame.MustBeAlone(b) || a.worker.prepared.isFor(a) {
		a.isolated = true
		a.worker.isolatedAttempts++
	}
	a.worker.prepared = nil
}

// leaveTrial takes back what enterTrial noted.
func (a *attempt) leaveTrial() {
	if a.crashRisk == 0 {
		return
	}
	a.crashRisk = 0
	a.worker.suspectAttempts--
	a.endTrial()
}

// endTrial lets the worker of a likely suspect take other tasks.
func (a *attempt) endTrial() {
	if a.isolated {
		a.isolated = false
		a.worker.isolatedAttempts--
	}
}

// tryOut starts the waiting suspects of a step that may be tried now, each on a worker
// without another. It is told which workers suit the step.
func (h *holderState) tryOut(p *pass, r ranked, set *workerSet) {
	s := r.step
	for i := range s.tasks {
		if !h.waitsSuspected(s, i) || !h.mayTry(p.now, s, i) || h.capRoom(s) == 0 {
			continue
		}
		alone := blame.IsLikely(h.blameOf(s, i))
		if alone && !h.mayPrepare(s, i) {
			if blame.MustBeAlone(h.blameOf(s, i)) {
				continue
			}
			alone = false
		}
		w := h.trialPlace(p, r, set, i, alone)
		if w == nil {
			if r.queue.Advice != nil && !s.advice.asking() {
				h.requestMoreAdvice(p.now, r, set.workers)
			}
			return
		}
		ticket, valid := s.advice.TicketFor(p.now, w)
		if r.queue.Advice != nil && !valid {
			h.refreshTickets(p.now, r, []share{{Worker: w, Tasks: 1}})
			return
		}
		if alone && (h.journal.awaits(s.job) || !w.calm(p.now)) {
			// What is told with the start is lost with a holder that is lost just after it, and
			// the crash with it.
			continue
		}
		h.startTask(p.now, s, i, h.nextRunNumber(s), w, ticket)
		h.core.logEvent("a suspected task is tried", logField("job", string(s.job.id)), logField("task", s.unit(i).String()), logField("run", s.lastRun),
			logField("worker", w.Life.String()), logField("beside", len(w.attempts)-1), logField("crashes", h.blameOf(s, i).Crashes), logField("claim", h.epoch))
	}
}

// mayPrepare says whether a worker is kept for a suspect, or may be: few are at a time.
func (h *holderState) mayPrepare(s *step, index int) bool {
	kept := 0
	for _, w := range h.workersByName() {
		if w.prepared != nil || w.isolatedAttempts > 0 {
			kept++
		}
	}
	return blame.MayDedicateWorker(kept, len(h.workers), h.hasAmpleRoom && !h.hasUnplacedTasks) || h.preparedFor(s, index) != nil
}

// trialPlace returns a worker for a suspect, or nil: one without another suspect. For one
// that is to be alone it is the emptiest, which from then on gets nothing else.
func (h *holderState) trialPlace(p *pass, r ranked, set *workerSet, index int, alone bool) *worker {
	s := r.step
	if w := h.preparedFor(s, index); alone && w != nil {
		if w.slots(s, w.room()) > 0 {
			return w
		}
		// Its room has shrunk, or is taken by what started late.
		w.prepared = nil
	}
	var best *candidate
	for _, c := range h.candidates(p.now, s, r.suited(set)) {
		if c.Worker.suspectAttempts == 0 && c.Worker.prepared == nil && (best == nil || c.betterTrial(*best, alone)) {
			best = &c
		}
	}
	if best == nil {
		return nil
	}
	if alone {
		best.Worker.prepared = &preparation{step: s, index: index, since: p.now}
		h.tellTrial(p.now, s, index, best.Worker)
	}
	return best.Worker
}

// preparation is a worker's being kept for a likely suspect.
type preparation struct {
	step  *step
	index int
	since time.Time
}

// isFor says whether a worker is kept for an attempt.
func (pr *preparation) isFor(a *attempt) bool {
	return pr != nil && pr.step == a.step && pr.index == a.index
}

// preparedFor returns the worker that is kept for a suspect, or nil.
func (h *holderState) preparedFor(s *step, index int) *worker {
	for _, w := range h.workersByName() {
		if w.prepared != nil && w.prepared.step == s && w.prepared.index == index {
			return w
		}
	}
	return nil
}

// endPreparation lets a worker take other tasks again whose suspect does not come.
func (h *holderState) endPreparation(now time.Time, w *worker) {
	if pr := w.prepared; pr != nil && (now.Sub(pr.since) > prepareMost || !pr.step.open || !h.waitsSuspected(pr.step, pr.index) || !h.isHealthy(now, w)) {
		w.prepared = nil
		h.planDue = true
	}
}

// calm says whether nothing was started on a worker lately.
func (w *worker) calm(now time.Time) bool {
	return !slices.ContainsFunc(w.sortedAttempts(), func(a *attempt) bool { return now.Sub(a.firstOrderedAt) < calmBefore })
}

// mayTry says whether a suspect may be tried now: what is held against it is in the log
// if it is likely to be guilty, and not too many workers are at risk.
func (h *holderState) mayTry(now time.Time, s *step, index int) bool {
	b := h.blameOf(s, index)
	if h.blame.MustWait(now, s.unit(index)) || blame.IsLikely(b) && h.journal.awaits(s.job) {
		return false
	}
	risk := blame.Probability(b)
	all, ofJob := h.atRisk(s.job)
	return blame.MayTry(risk, all, ofJob, len(h.workers))
}

// atRisk returns how many workers are expected to crash under the suspects on them, all
// and those of a job.
func (h *holderState) atRisk(j *trackedJob) (all, ofJob float64) {
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

// risk returns how likely it is that one of the suspects on the worker crashes it.
func (w *worker) risk() float64 {
	risk := 0.0
	for _, a := range w.attempts {
		risk += a.crashRisk
	}
	return min(1, risk)
}

// betterTrial says whether a candidate is better than another for trying a suspect.
func (c candidate) betterTrial(o candidate, alone bool) bool {
	beside := 0
	if alone {
		beside = cmp.Compare(len(c.Worker.attempts), len(o.Worker.attempts))
	}
	return cmp.Or(cmp.Compare(c.unticketed, o.unticketed), beside, c.compare(o)) < 0
}

// awaits says whether the log does not have the last progress of a job yet.
func (j *journal) awaits(s *trackedJob) bool {
	return s.progressPending || j.batch != nil && slices.ContainsFunc(j.batch.progressEntries, func(b progressEntry) bool { return b.job == s })
}

// whySuspected says why the suspects of a step wait, or "".
func (h *holderState) whySuspected(s *step) string {
	for i := range s.tasks {
		if b := h.blameOf(s, i); blame.IsSuspect(b) {
			return fmt.Sprintf("%d workers crashed under task %d, which crashes them with probability %.2g; it is tried apart",
				b.Crashes, i, blame.Probability(b))
		}
	}
	return ""
}
