// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package dispatch

import (
	"time"

	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/resource"
	"saddlevane/modules/ordered"
	"saddlevane/services/advisers"
	"saddlevane/services/blame"
	"saddlevane/services/kept"
	"saddlevane/services/lateness"
	"saddlevane/services/learned"
	"saddlevane/services/planning"
	"saddlevane/services/presence"
	"saddlevane/services/recent"
	"saddlevane/services/reservations"
	"saddlevane/services/workspaces"
)

// phase is how far a takeover has come.
type phase string

const (
	// phaseFencing: the stream of jobs must refuse earlier holders first.
	phaseFencing phase = "fencing"
	// phaseLoading: the stream of jobs is read.
	phaseLoading phase = "loading"
	// phaseActive: jobs are accepted and tasks are started.
	phaseActive phase = "active"
)

// holderState is what a box keeps while it holds the cell.
type holderState struct {
	core      *Core
	epoch     int64
	phase     phase
	startedAt time.Time
	// yielding says that no new work is taken because the process stops.
	shuttingDown bool
	// suspended says that another box was invited to take over, and may have.
	invitePending bool

	journal journal

	jobs map[job.ID]*trackedJob
	// open lists the steps that have tasks to place.
	openSteps []*step
	// repeating lists the jobs whose instances fall due with time.
	repeatingJobs []*trackedJob
	// endedJobs lists the jobs of which only the final state is kept, the first to
	// end first.
	endedJobs []*trackedJob

	// workers has the present life of each worker by its name, former what is remembered of
	// workers that are gone.
	workers       map[string]*worker
	formerWorkers presence.FormerWorkers
	// sorted has the workers by their names, or is nil after a change.
	sortedWorkers []*worker
	// early is the pass with which jobs that come at once are asked about.
	submitPass *pass
	// reserved has the room that is reserved for gangs.
	reservations *reservations.Tracker
	// pools has the pools that configurations, or jobs, have named, foreign the entries that
	// name no worker.
	knownPools     map[string]bool
	foreignEntries presence.ForeignEntries
	// looks counts the renewals asked for.
	renewalsSent int64
	// unsettled names workers of earlier holders that have not told what they
	// run. Until it is empty, no task of an earlier holder's job starts.
	unreportedWorkers map[string]bool

	// advisers are the boxes through which calls for advice are made.
	advisers *advisers.Balancer[*adviceCall]
	history  *learned.Estimates
	// usage counts what the tasks of each workspace take, shares says which jobs are beyond
	// a workspace's share, and left what may still run of jobs that had ended under earlier
	// holders.
	usage           *workspaces.Usage
	workspaceShares *workspaces.ShareLimiter
	leftoverUsage   map[string]resource.Vector
	// docket has what is held against tasks under which workers crashed.
	blame *blame.Tracker
	// inheritedStarts are the tasks that earlier holders had started last on workers that have
	// not told yet what they run.
	inheritedStarts recent.LoggedStarts
	// answers tells how late workers' answers are.
	answerDelays lateness.ResponseTimes

	// planDue says that something has changed since the last plan.
	planDue bool
	// passes counts the plans made.
	planCount int
	// budget bounds what plans may take, planned tells how long they took.
	planBudget planning.Budget
	planTimes  planning.OutlierFilter
	// hasAmpleRoom says whether much of the workers' room was free at the last sweep.
	hasAmpleRoom bool
	// hasUnplacedTasks says that some step found no room for all its tasks in the last plan.
	hasUnplacedTasks bool
	// capacity is what the workers that took tasks at the last sweep have.
	capacity resource.Vector
	// nextPlanAt is when the next plan may be made.
	nextPlanAt time.Time
	// nextOverviewAt is when the state of the cell is next told.
	nextOverviewAt time.Time
	// nextRunTimesAt is when what is known of run times is next kept.
	nextRunTimesAt time.Time
	// nextSweepAt is when all that falls due with time is next looked at.
	nextSweepAt time.Time
}

func newHolderState(c *Core, now time.Time, epoch int64) *holderState {
	h := &holderState{
		core: c, epoch: epoch, phase: phaseFencing, startedAt: now,
		journal: journal{epoch: epoch}, jobs: map[job.ID]*trackedJob{},
		workers: map[string]*worker{}, unreportedWorkers: map[string]bool{}, blame: blame.NewTracker(),
		advisers: advisers.New[*adviceCall](c.self.Box), history: learned.NewEstimates(), planBudget: planning.New(), reservations: reservations.New(),
		usage: workspaces.NewUsage(), workspaceShares: workspaces.NewShareLimiter(c.settings.ShareWindow), leftoverUsage: map[string]resource.Vector{},
		knownPools: map[string]bool{},
	}
	if c.config != nil {
		h.addPools(*c.config)
	}
	return h
}

// begin fences earlier holders' appends and looks at the workers meanwhile.
func (h *holderState) begin(now time.Time) {
	h.core.logEvent("took the cell over", logField("claim", h.epoch))
	h.core.emit(exchange.FollowWorkers{On: true})
	h.journal.addRecord(kept.FenceRecord())
	h.flush(now)
}

// handle takes the events that only a holder needs.
func (h *holderState) handle(now time.Time, e exchange.Event) {
	switch e := e.(type) {
	case exchange.JobsLoaded:
		h.handleJobsLoaded(now, e)
	case exchange.WorkersRead:
		h.handleWorkersRead(now, e.Listing)
	case exchange.RenewEnded:
		h.handleRenewEnded(now, e)
	case exchange.StartEnded:
		h.handleStartEnded(now, e)
	case exchange.StopEnded:
		h.handleStopEnded(now, e)
	case exchange.ThrottleEnded:
		h.handleThrottleEnded(e)
	case exchange.Advised:
		h.handleAdvised(now, e)
	}
}

// startLoading goes on once no earlier holder can append.
func (h *holderState) startLoading() {
	if h.phase == phaseFencing {
		h.phase = phaseLoading
		h.core.emit(exchange.LoadJobs{Epoch: h.epoch})
	}
}

const (
	// planInterval is the least time between two plans, and planDelayPerStep is added for
	// each open step, so that a backlog cannot take all of the processor.
	planInterval     = 3 * time.Millisecond
	planDelayPerStep = 50 * time.Microsecond
)

// tick acts on what falls due with time.
func (h *holderState) tick(now time.Time) {
	h.refuseWhileFailing(now)
	if now.Before(h.nextSweepAt) {
		h.flush(now)
		return
	}
	h.nextSweepAt = now.Add(sweepInterval)
	h.planDue = true
	h.createAllDueInstances(now)
	h.hasAmpleRoom = h.updateCapacity(now)
	h.sweepWorkers(now)
	h.giveUpGuiltyJobs(now)
	h.expireAdvice(now)
	h.dropExpiredJobs(now)
	h.logOverview(now)
	h.saveRunTimes(now)
	h.flush(now)
}

// decide flushes what has gathered and places what can be placed.
func (h *holderState) decide(now time.Time) {
	h.flush(now)
	if h.phase != phaseActive || h.shuttingDown || h.invitePending || !h.planDue || now.Before(h.nextPlanAt) || !h.core.authority.Holds(now) {
		return
	}
	h.planDue = false
	h.nextPlanAt = now.Add(planInterval + time.Duration(len(h.openSteps))*planDelayPerStep)
	h.plan(now)
}

// replyUnsureToAll answers every caller who waits for the log.
func (h *holderState) replyUnsureToAll(why string) {
	a := exchange.Answer{Outcome: exchange.MaybeDone, Reason: why}
	for _, j := range ordered.Map(h.jobs) {
		h.replyToCalls(j.acceptCalls, a)
		h.replyToCalls(j.cancelCalls, a)
	}
}

// replyToCalls tells several callers the same.
func (h *holderState) replyToCalls(calls []exchange.CallID, a exchange.Answer) {
	for _, call := range calls {
		h.core.reply(call, a)
	}
}
