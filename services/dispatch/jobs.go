// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/order"
	"saddlevane/modules/ordered"
	"saddlevane/services/delays"
	"saddlevane/services/endreports"
	"saddlevane/services/jobrecords"
	"saddlevane/services/speeds"
	"saddlevane/services/startlimit"
	"saddlevane/services/transit"
)

// trackedJob is one submitted job with its progress.
type trackedJob struct {
	id    job.ID
	queue string
	// workspace is the workspace that owns the job, or empty. beyondShare is set if the workspace
	// exceeded its share when the job was submitted.
	workspace   string
	beyondShare bool
	// acceptedQueue is the configuration of the queue at the time when the job was accepted, acceptedVersion the
	// version of the configuration, or 0 if that is not known.
	acceptedQueue   job.Queue
	acceptedVersion int64
	// submission is nil once the log has the job's end and none of its runs are left.
	submission *job.Submission
	// acceptedUnixMilli is when the job was accepted, in milliseconds since 1970; acceptedAt is
	// the same time on the clock of the events that Core handles.
	acceptedUnixMilli int64
	acceptedAt        time.Time
	instances         map[int]*instance
	// nextDueInstance is the number of the first instance that is not due yet.
	nextDueInstance int
	doneInstances   int
	// state is the present state. reportedState is the state that callers get: the one in the
	// log, or running once some task has run.
	state, reportedState job.State
	// accepted is set once the log has the job.
	accepted bool
	// inherited is set if an earlier holder accepted the job.
	inherited bool
	// started is set once some task is running or has run.
	started bool
	// failReason says why the job has failed.
	failReason string
	// endedUnixMilli is when the job reached its final state, in milliseconds since 1970.
	endedUnixMilli int64
	// progressPending is set while the job's progress waits to be part of an append.
	progressPending bool
	// endLogged is set once the log has the final state.
	endLogged bool
	// unloggedEnds are the reported ends of runs that wait for the next append of the job's
	// progress; workers may forget them after that.
	unloggedEnds []*endreports.Report[*worker]
	// recordedEnds are the runs of the job whose ends have records of their own.
	recordedEnds []order.Run
	// acceptCalls and cancelCalls are the submit and cancel calls that wait for the log.
	acceptCalls []exchange.CallID
	cancelCalls []exchange.CallID
}

// instance is one execution of a job's steps. A repeating job has several.
type instance struct {
	// dueAt is when the instance was due to start.
	dueAt time.Time
	// openedAt is when this holder could first start a task of the instance.
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
	// unplacedTasks counts the tasks that are neither placed nor done.
	unplacedTasks int
	// doneTasks counts the tasks that have succeeded, placedTasks the attempts that use capacity
	// on a worker.
	doneTasks   int
	placedTasks int
	// open is set while all dependencies are done and tasks may be left.
	open bool
	// lastRun is the highest run number used for the step.
	lastRun int64
	// capReached is set if in the last plan the cap of the workspace did not allow all waiting
	// tasks.
	capReached bool
	// explainedAt is the time of the last log line about why the step waits.
	explainedAt time.Time
	// openedAt is when the step was opened.
	openedAt time.Time
	// nextWidenAt is when advice on more workers may next be requested for a gang.
	nextWidenAt time.Time
	// preemptedAt is when a search for tasks to preempt for the step was last made.
	preemptedAt time.Time
	// failedOn has the workers on which a task of the step has failed.
	failedOn map[*worker]bool
	// notBefore is the earliest time of the next start. It is set after a start was refused,
	// after a gang's reservation has failed, and when a task is started too often.
	notBefore time.Time
	advice    advice
	// nextReserveAt is the earliest time of the next search for capacity to reserve.
	nextReserveAt time.Time
	// reservation is the capacity that is reserved for a gang, or nil.
	reservation *reservation
	// longestRun is the longest uninterrupted run of a task that succeeded, at mean speed; interrupted is set
	// if not all tasks succeeded in one run.
	longestRun  time.Duration
	interrupted bool
	// runs are the uninterrupted runs of tasks that succeeded, until the step is done.
	runs  []speeds.Run
	waits delays.Waits
	// doneAt is when the last task was done; delaySum is the time that the step took in
	// addition to its expected run time, by cause.
	doneAt   time.Time
	delaySum delays.Totals
	// criticalPath is the expected time of the longest chain of steps that begins with this
	// step; criticalPathAfter is the same without the step itself.
	criticalPath, criticalPathAfter time.Duration
}

// task is one task of a step.
type task struct {
	done bool
	// startsInTransit are the starts of the task that got no answer.
	startsInTransit transit.Starts
	// failedRuns has the numbers of the runs that failed.
	failedRuns []int64
	// checkpoint is the newest checkpoint, or empty.
	checkpoint string
	// lastRun is the highest run number that was ordered or reported.
	lastRun int64
	// attempt is the current attempt, or nil.
	attempt *attempt
	// lostRuns counts the runs that were lost with their workers under this claim.
	lostRuns int
	// runs has the start times under this claim; startLimit limits the rate of starts.
	runs       delays.StartTimes
	startLimit startlimit.Limiter
}

// delayStart prevents starts of the step's tasks before a time.
func (s *step) delayStart(until time.Time) { s.notBefore = ordered.Later(s.notBefore, until) }

// dependencies returns the indexes of the steps of the instance that must be done before
// this one.
func (s *step) dependencies() []int { return s.spec.After }

// addJob adds a submitted job, and creates its instances that are due.
func (h *holderState) addJob(now time.Time, accepted jobrecords.Submission) *trackedJob {
	age := time.Duration(h.core.unixMilli(now)-accepted.Accepted) * time.Millisecond
	sub := accepted.Submission
	j := &trackedJob{
		id: sub.ID, queue: sub.Queue, workspace: sub.Workspace, acceptedQueue: accepted.Queue, acceptedVersion: accepted.ConfigVersion,
		submission: &sub, acceptedUnixMilli: accepted.Accepted,
		acceptedAt: now.Add(-max(0, age)), instances: map[int]*instance{}, state: job.Queued, reportedState: job.Queued,
	}
	h.jobs[j.id] = j
	h.knownPools[accepted.Queue.Pool] = true
	if sub.Repeat.Times > 0 {
		h.repeatingJobs = append(h.repeatingJobs, j)
	}
	h.createDueInstances(now, j)
	return j
}

// markDirty schedules a job's progress to be written to the log.
func (h *holderState) markDirty(j *trackedJob) {
	if !j.progressPending {
		j.progressPending = true
		h.journal.dirtyJobs = append(h.journal.dirtyJobs, j)
	}
}

// finishJob gives a job its final state, and stops the runs that are left unless it has
// succeeded.
func (h *holderState) finishJob(now time.Time, j *trackedJob, state job.State, reason string) {
	if j.state.IsFinal() {
		return
	}
	j.state = state
	j.endedUnixMilli = h.core.unixMilli(now)
	if state == job.Failed {
		j.failReason = reason
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
	h.logJobEnd(now, j, state, reason)
}

// closeJob is called once the log has the final state of a job. Everything else of the job
// is dropped as soon as its last run has ended.
func (h *holderState) closeJob(j *trackedJob) {
	if j.endLogged {
		return
	}
	j.endLogged = true
	h.endedJobs = append(h.endedJobs, j)
	j.releaseIfIdle()
}

// dropExpiredJobs removes ended jobs whose retention time is over, also from the log.
func (h *holderState) dropExpiredJobs(now time.Time) {
	retention := h.core.settings.EndedRetention.Milliseconds()
	for len(h.endedJobs) > 0 && h.core.unixMilli(now)-h.endedJobs[0].endedUnixMilli > retention {
		j := h.endedJobs[0]
		h.endedJobs = h.endedJobs[1:]
		delete(h.jobs, j.id)
		h.journal.addRecord(jobrecords.DropProgress(j.id))
	}
}

// releaseIfIdle frees the memory of an ended job if it has no runs left.
func (j *trackedJob) releaseIfIdle() {
	for _, in := range ordered.Map(j.instances) {
		for _, s := range in.steps {
			if s.placedTasks > 0 {
				// The ends of the last attempts are not known yet.
				return
			}
		}
	}
	j.submission, j.instances = nil, nil
}
