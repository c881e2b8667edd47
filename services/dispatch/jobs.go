// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/modules/ordered"
	"saddlevane/services/delays"
	"saddlevane/services/ends"
	"saddlevane/services/kept"
	"saddlevane/services/restarts"
)

// trackedJob is one job.
type trackedJob struct {
	id    job.ID
	queue string
	// workspace is whose job it is, or empty; beyond says that it was more than its share.
	workspace   string
	beyondShare bool
	// acceptedQueue is how the queue was treated when the job was accepted.
	acceptedQueue job.Queue
	// submission is nil once the job's end is kept.
	submission *job.Submission
	// acceptedUnix is in milliseconds since 1970; acceptedAt is the same on the
	// clock that the reducer is told.
	acceptedUnixMilli int64
	acceptedAt        time.Time
	instances         map[int]*instance
	// nextDueInstance is the first one that has not fallen due.
	nextDueInstance int
	doneInstances   int
	// state is what is believed; shown is what the log has and callers are told.
	state, reportedState job.State
	// accepted says that the log has the job.
	accepted bool
	// inherited says that an earlier holder accepted it.
	inherited bool
	// started says that some task is, or was, at work.
	started bool
	// why says why it has failed.
	failReason string
	// ended is when it reached its final state, in milliseconds since 1970.
	endedUnixMilli int64
	// dirty says that its progress waits for the journal.
	progressPending bool
	// closed says that the log has the final state.
	endLogged bool
	// ends are those that wait for the next append of the job's progress.
	unloggedEnds []*ends.Report[*worker]
	// acceptCalls and cancelCalls are callers who wait for the log.
	acceptCalls []exchange.CallID
	cancelCalls []exchange.CallID
}

// instance is one time that a job's steps run.
type instance struct {
	dueAt time.Time
	// openedAt is when this holder could first start something of it.
	openedAt  time.Time
	steps     []*step
	doneSteps int
}

// step is one step of an instance.
type step struct {
	id       job.StepID
	job      *trackedJob
	instance *instance
	spec     *job.Step
	tasks    []task
	// waiting counts tasks with neither a place nor an end.
	unplacedTasks int
	// done counts tasks with a good end, attempts those with a place.
	doneTasks   int
	placedTasks int
	// open says that all earlier steps are done and tasks may be left.
	open bool
	// lastRun is the highest run number used for the step.
	lastRun int64
	// capped says that in the last plan its workspace could take no more, or not all.
	capReached bool
	// explainedAt is when a line last said why it waits.
	explainedAt time.Time
	// openedAt is when it was opened.
	openedAt time.Time
	// nextWidenAt is when more workers may next be asked about for a gang.
	nextWidenAt time.Time
	// preemptedAt is when tasks to stop for it were last looked for.
	preemptedAt time.Time
	// failedOn has the workers on which a task of it has failed.
	failedOn map[*worker]bool
	// notBefore delays a step whose last start was refused, or one of whose tasks is started
	// too often.
	notBefore time.Time
	advice    advice
	// nextReserveAt delays the next look for room to reserve.
	nextReserveAt time.Time
	// reservation is room kept for a gang, or nil.
	reservation *reservation
	// took is how long the step's tasks took at most in whole runs, and interrupted
	// says that not all ran whole.
	longestRun  time.Duration
	interrupted bool
	// waits sums up what the step waited for before its first start, until waitSumUntil.
	waitSum      delays.Totals
	waitSumUntil time.Time
	// doneAt is when the last task was done, delayed what it took besides its work.
	doneAt   time.Time
	delaySum delays.Totals
	// left is the longest chain of work from the step on, itself included, after what
	// of it comes after the step.
	criticalPath, criticalPathAfter time.Duration
}

// task is one task of a step.
type task struct {
	done bool
	// failed lists the runs that ended failed.
	failedRuns []int64
	// saved is the newest checkpoint, if any.
	checkpoint string
	// lastRun is the highest run that was ordered or reported.
	lastRun int64
	// attempt is the one under way, or nil.
	attempt *attempt
	// lost counts the runs that were lost with their workers under this claim.
	lostRuns int
	// runs is when it was started under this claim, starts bounds how often that is.
	runs       delays.StartTimes
	startLimit restarts.Limiter
}

// delayStart delays the next start of a step.
func (s *step) delayStart(until time.Time) { s.notBefore = ordered.Later(s.notBefore, until) }

// dependencies returns the steps of its instance that must be done before it.
func (s *step) dependencies() []int { return s.spec.After }

// addJob adds a job.
func (h *holderState) addJob(now time.Time, sub job.Submission, acceptedUnix int64, in job.Queue) *trackedJob {
	age := time.Duration(h.core.unixMilli(now)-acceptedUnix) * time.Millisecond
	j := &trackedJob{
		id: sub.ID, queue: sub.Queue, workspace: sub.Workspace, acceptedQueue: in, submission: &sub, acceptedUnixMilli: acceptedUnix,
		acceptedAt: now.Add(-max(0, age)), instances: map[int]*instance{}, state: job.Queued, reportedState: job.Queued,
	}
	h.jobs[j.id] = j
	h.knownPools[in.Pool] = true
	if sub.Repeat.Times > 0 {
		h.repeatingJobs = append(h.repeatingJobs, j)
	}
	h.createDueInstances(now, j)
	return j
}

// markDirty has the log take a job's progress.
func (h *holderState) markDirty(j *trackedJob) {
	if !j.progressPending {
		j.progressPending = true
		h.journal.dirtyJobs = append(h.journal.dirtyJobs, j)
	}
}

// finishJob gives a job its final state and ends what still runs of it.
func (h *holderState) finishJob(now time.Time, j *trackedJob, state job.State, why string) {
	if j.state.IsFinal() {
		return
	}
	j.state = state
	j.endedUnixMilli = h.core.unixMilli(now)
	if state == job.Failed {
		j.failReason = why
	}
	h.markDirty(j)
	h.blame.ForgetJob(j.id)
	for _, in := range ordered.Map(j.instances) {
		for _, s := range in.steps {
			s.open = false
			h.releaseCapacity(now, s)
			for i := range s.tasks {
				if a := s.tasks[i].attempt; a != nil && state != job.Succeeded {
					h.stopAttempt(now, a)
				}
			}
		}
	}
	h.logJobEnd(now, j, state, why)
}

// closeJob drops all but the final state of a job.
func (h *holderState) closeJob(j *trackedJob) {
	if j.endLogged {
		return
	}
	j.endLogged = true
	h.endedJobs = append(h.endedJobs, j)
	j.releaseIfIdle()
}

// dropExpiredJobs forgets jobs whose final state was kept long enough.
func (h *holderState) dropExpiredJobs(now time.Time) {
	keep := h.core.settings.EndedRetention.Milliseconds()
	for len(h.endedJobs) > 0 && h.core.unixMilli(now)-h.endedJobs[0].endedUnixMilli > keep {
		j := h.endedJobs[0]
		h.endedJobs = h.endedJobs[1:]
		delete(h.jobs, j.id)
		h.journal.addRecord(kept.DropProgress(j.id))
	}
}

// releaseIfIdle frees the memory of a job that has ended and has nothing running.
func (j *trackedJob) releaseIfIdle() {
	for _, in := range ordered.Map(j.instances) {
		for _, s := range in.steps {
			if s.placedTasks > 0 {
				// The last attempts' ends are still to come.
				return
			}
		}
	}
	j.submission, j.instances = nil, nil
}
