// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/modules/ordered"
	"saddlevane/services/admission"
	"saddlevane/services/advicecalls"
	"saddlevane/services/blame"
	"saddlevane/services/estimates"
	"saddlevane/services/jobrecords"
	"saddlevane/services/planbudget"
	"saddlevane/services/presence"
	"saddlevane/services/reservations"
	"saddlevane/services/shares"
	"saddlevane/services/speeds"
	"saddlevane/services/startlog"
	"saddlevane/services/timeouts"
	"saddlevane/services/transit"
	"saddlevane/services/workspaces"
)

// phase is the progress of a takeover of the cell.
type phase string

const (
	// phaseFencing lasts until the stream of jobs refuses appends of earlier holders.
	phaseFencing phase = "fencing"
	// phaseLoading lasts until the stream of jobs is read.
	phaseLoading phase = "loading"
	// phaseActive means that jobs are accepted and tasks are started.
	phaseActive phase = "active"
)

// holderState is the state that a box keeps while it holds the cell.
type holderState struct {
	core      *Core
	epoch     int64
	phase     phase
	startedAt time.Time
	// shuttingDown is set once a planned stop begins: no new work is accepted or started.
	shuttingDown bool
	// invitePending is set after another box was invited to take the cell over: it may have
	// done so already.
	invitePending bool

	journal journal

	jobs map[job.ID]*trackedJob
	// unreadJobs are the jobs that the log has and that could not be decoded.
	unreadJobs map[job.ID]jobrecords.UnreadJob
	// openSteps are the steps whose dependencies are done and that may have tasks to place.
	openSteps []*step
	// repeatingJobs are the jobs whose instances fall due at an interval.
	repeatingJobs []*trackedJob
	// endedJobs are the jobs of which only the final state is kept, in the order in which
	// they ended.
	endedJobs []*trackedJob

	// workers has the current incarnation of each worker by name; formerWorkers has what is
	// kept about workers that were removed.
	workers       map[string]*worker
	formerWorkers presence.FormerWorkers
	// sortedWorkers caches the workers in the order of their names; it is nil after a change.
	sortedWorkers []*worker
	// candidateBuffer holds the result of candidates.
	candidateBuffer []candidate
	// submitPass is the pass that is shared by early advice requests for jobs which are
	// submitted at about the same time.
	submitPass *pass
	// reservations tracks the capacity that is reserved for gangs.
	reservations *reservations.Tracker
	// knownPools has the pools that a configuration or a job has named; foreignEntries has
	// the entries of the worker list that do not describe a worker.
	knownPools     map[string]bool
	foreignEntries presence.ForeignEntries
	// renewalsSent counts the lease renewals sent to workers; it numbers them.
	renewalsSent int64
	// answeringByAddress has the workers that answer, by their addresses, as found during a sweep, or is nil.
	answeringByAddress map[string]*worker
	// unreportedWorkers has the names of workers of earlier holders that have not reported
	// to this holder what they run. Until it is empty, no task of a job that an earlier
	// holder accepted is started, because the task may be running already.
	unreportedWorkers map[string]bool
	// workersWithOrphans are the workers that run what this holder does not expect.
	workersWithOrphans map[*worker]bool

	// advisers distributes calls to the advice service among the boxes.
	advisers *advicecalls.Balancer[*adviceCall]
	// estimates are learned from earlier runs and advice: run times, stop times, the share of
	// workers suitable for a step. speeds are those of the workers.
	estimates *estimates.Estimates
	speeds    *speeds.Tracker
	// usage sums up the resources of the tasks of each workspace, shares tracks which workspaces take
	// more than their share, and workspaceShares limits the rate of new jobs of each workspace.
	usage           *workspaces.Usage
	shares          *shares.Tracker
	workspaceShares *workspaces.ShareLimiter
	// admission decides about new jobs beyond their workspace's share.
	admission *admission.Controller
	// blame tracks which tasks are suspected of crashing their workers.
	blame *blame.Tracker
	// inheritedStarts are the latest starts that earlier holders ordered on workers which have
	// not yet reported what they run.
	inheritedStarts startlog.LoggedStarts
	// nextRun is the lowest number for the next run.
	nextRun int64
	// startOrders are the start orders of this holder that were not all answered, inheritedTransit those of
	// earlier holders that may still be carried out. waitingRepeats are the attempts whose start is sent again
	// once the log names it.
	startOrders      transit.Orders
	waitingRepeats   []*attempt
	inheritedTransit transit.Inherited
	// answerDelays measures the workers' response times.
	answerDelays timeouts.ResponseTimes

	// planDue is set when something has changed since the last plan.
	planDue bool
	// planCount counts the plans made.
	planCount int
	// planBudget limits the time that plans take; planTimes removes pauses of the process
	// from the measured times.
	planBudget planbudget.Budget
	planTimes  planbudget.OutlierFilter
	// hasAmpleFreeCapacity is set if a large share of the workers' capacity was free at the last sweep.
	hasAmpleFreeCapacity bool
	// hasUnplacedTasks is set if some step found no capacity for all its tasks in the last plan.
	hasUnplacedTasks bool
	// capacity is the total capacity of the workers that accepted tasks at the last sweep, and
	// largestWorker that of the worker with the most processors.
	capacity, largestWorker resource.Vector
	// planned are the workers that the current or last pass kept for steps, plannedBefore those of
	// the pass before.
	planned, plannedBefore []*worker
	// healthyByKey caches the healthy workers by the pool and the label that steps need.
	healthyByKey map[workerSetKey][]*worker
	// healthChanges counts the changes of these lists, from 1 on.
	healthChanges int
	// nextPlanAt is when the next plan may be made.
	nextPlanAt time.Time
	// startsWithheld is set while no task is started because the evacuations are not known.
	startsWithheld bool
	// nextOverviewAt is when the summary of the cell is next logged.
	nextOverviewAt time.Time
	// nextRunTimesAt is when the learned run times are next written to the log.
	nextRunTimesAt time.Time
	// nextSweepAt is when the periodic work is next done.
	nextSweepAt time.Time
}

// newHolderState returns the state of a holder that has just claimed the cell with an epoch.
func newHolderState(c *Core, now time.Time, epoch int64) *holderState {
	h := &holderState{
		core: c, epoch: epoch, phase: phaseFencing, startedAt: now, nextRun: epoch * runsPerEpoch,
		journal: journal{epoch: epoch}, jobs: map[job.ID]*trackedJob{}, unreadJobs: map[job.ID]jobrecords.UnreadJob{},
		workers: map[string]*worker{}, unreportedWorkers: map[string]bool{}, workersWithOrphans: map[*worker]bool{}, blame: blame.NewTracker(),
		advisers: advicecalls.New[*adviceCall](c.self.Box), estimates: estimates.NewEstimates(), speeds: speeds.NewTracker(), planBudget: planbudget.New(),
		reservations: reservations.New(),
		usage:        workspaces.NewUsage(), workspaceShares: workspaces.NewShareLimiter(c.settings.ShareWindow),
		shares: shares.New(c.settings.ShareWindow), admission: admission.New(),
		knownPools: map[string]bool{}, healthyByKey: map[workerSetKey][]*worker{}, healthChanges: 1,
	}
	if c.config != nil {
		h.addPools(*c.config)
	}
	return h
}

// begin fences off the appends of earlier holders, and starts to follow the list of workers
// meanwhile.
func (h *holderState) begin(now time.Time) {
	h.core.logEvent("took the cell over", logField("claim", h.epoch))
	h.core.emit(exchange.FollowWorkers{On: true})
	h.journal.addRecord(jobrecords.FenceRecord())
	h.flush(now)
}

// handle applies the events that concern only the holder.
func (h *holderState) handle(now time.Time, e exchange.Event) {
	switch e := e.(type) {
	case exchange.JobsLoaded:
		h.handleJobsLoaded(now, e)
		h.refreshAllHealth(now)
	case exchange.WorkersRead:
		h.handleWorkersRead(now, e.Listing)
		h.refreshAllHealth(now)
	case exchange.RenewEnded:
		h.handleRenewEnded(now, e)
		h.refreshHealthOf(now, e.Worker.Name)
	case exchange.StartEnded:
		h.handleStartEnded(now, e)
		h.refreshHealthOf(now, e.Worker.Name)
	case exchange.StopEnded:
		h.handleStopEnded(now, e)
		h.refreshHealthOf(now, e.Worker.Name)
	case exchange.ThrottleEnded:
		h.handleThrottleEnded(e)
	case exchange.Advised:
		h.handleAdvised(now, e)
	}
}

// startLoading reads the stream of jobs. It is called once no earlier holder can append to
// that stream.
func (h *holderState) startLoading() {
	if h.phase == phaseFencing {
		h.phase = phaseLoading
		h.core.emit(exchange.LoadJobs{Epoch: h.epoch})
	}
}

const (
	// planInterval is the minimum time between two plans. planDelayPerStep is added for each
	// open step, so that a backlog cannot use all of the processor.
	planInterval     = 3 * time.Millisecond
	planDelayPerStep = 50 * time.Microsecond
)

// tick does all periodic work that is due.
func (h *holderState) tick(now time.Time) {
	h.refuseWhileFailing(now)
	if now.Before(h.nextSweepAt) {
		h.flush(now)
		return
	}
	switch {
	case h.areFencesUsed():
		h.core.stepDown(reasonFencesUsed)
		return
	case h.areRunsUsed():
		h.core.stepDown(reasonRunsUsed)
		return
	}
	h.nextSweepAt = now.Add(sweepInterval)
	h.planDue = true
	h.createAllDueInstances(now)
	h.sweepWorkers(now)
	h.resumeRepeats(now)
	h.refreshAllHealth(now)
	h.hasAmpleFreeCapacity = h.updateCapacity()
	h.resolveOverdueMissing(now)
	h.giveUpGuiltyJobs(now)
	h.expireAdvice(now)
	h.dropExpiredJobs(now)
	h.logOverview(now)
	h.saveRunTimes(now)
	h.flush(now)
}

// decide flushes the journal and, if a plan is due and allowed, places tasks.
func (h *holderState) decide(now time.Time) {
	h.flush(now)
	if h.phase != phaseActive || h.shuttingDown || h.invitePending || !h.planDue || now.Before(h.nextPlanAt) || !h.core.authority.IsHolder(now) {
		return
	}
	if h.withholdStarts(now) {
		return
	}
	h.planDue = false
	h.nextPlanAt = now.Add(planInterval + time.Duration(len(h.openSteps))*planDelayPerStep)
	h.plan(now)
}

// replyUnsureToAll answers every caller who waits for the log that the result of the call is
// not known.
func (h *holderState) replyUnsureToAll(reason string) {
	a := exchange.Answer{Outcome: exchange.MaybeDone, Reason: reason}
	for _, j := range ordered.Map(h.jobs) {
		h.replyToCalls(j.acceptCalls, a)
		h.replyToCalls(j.cancelCalls, a)
	}
}

// replyToCalls gives several calls the same answer.
func (h *holderState) replyToCalls(calls []exchange.CallID, a exchange.Answer) {
	for _, call := range calls {
		h.core.reply(call, a)
	}
}
