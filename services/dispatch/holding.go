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
	// fencing: the stream of jobs must refuse earlier holders first.
	fencing phase = "fencing"
	// loading: the stream of jobs is read.
	loading phase = "loading"
	// active: jobs are accepted and tasks are started.
	active phase = "active"
)

// holding is what a box keeps while it holds the cell.
type holding struct {
	core  *Core
	epoch int64
	phase phase
	since time.Time
	// yielding says that no new work is taken because the process stops.
	yielding bool
	// suspended says that another box was invited to take over, and may have.
	suspended bool

	journal journal

	jobs map[job.ID]*submitted
	// open lists the steps that have tasks to place.
	open []*step
	// repeating lists the jobs whose instances fall due with time.
	repeating []*submitted
	// endedJobs lists the jobs of which only the final state is kept, the first to
	// end first.
	endedJobs []*submitted

	// workers has the present life of each worker by its name, former what is remembered of
	// workers that are gone.
	workers map[string]*worker
	former  presence.Former
	// sorted has the workers by their names, or is nil after a change.
	sorted []*worker
	// early is the pass with which jobs that come at once are asked about.
	early *pass
	// reserved has the room that is reserved for gangs.
	reserved *reservations.Tracker
	// pools has the pools that configurations, or jobs, have named, foreign the entries that
	// name no worker.
	pools   map[string]bool
	foreign presence.Foreign
	// looks counts the renewals asked for.
	looks int64
	// unsettled names workers of earlier holders that have not told what they
	// run. Until it is empty, no task of an earlier holder's job starts.
	unsettled map[string]bool

	// advisers are the boxes through which calls for advice are made.
	advisers *advisers.Balancer[*adviceCall]
	learned  *learned.Lessons
	// usage counts what the tasks of each workspace take, shares says which jobs are beyond
	// a workspace's share, and left what may still run of jobs that had ended under earlier
	// holders.
	usage  *workspaces.Usage
	shares *workspaces.Shares
	left   map[string]resource.Vector
	// docket has what is held against tasks under which workers crashed.
	docket *blame.Docket
	// startedLast are the tasks that earlier holders had started last on workers that have
	// not told yet what they run.
	startedLast recent.Told
	// answers tells how late workers' answers are.
	answers lateness.ResponseTimes

	// planDue says that something has changed since the last plan.
	planDue bool
	// passes counts the plans made.
	passes int
	// budget bounds what plans may take, planned tells how long they took.
	budget  planning.Budget
	planned planning.OutlierFilter
	// isRoomy says whether much of the workers' room was free at the last sweep.
	isRoomy bool
	// isCrowded says that some step found no room for all its tasks in the last plan.
	isCrowded bool
	// capacity is what the workers that took tasks at the last sweep have.
	capacity resource.Vector
	// planAt is when the next plan may be made.
	planAt time.Time
	// overviewAt is when the state of the cell is next told.
	overviewAt time.Time
	// keepTimesAt is when what is known of run times is next kept.
	keepTimesAt time.Time
	// sweepAt is when all that falls due with time is next looked at.
	sweepAt time.Time
}

func newHolding(c *Core, now time.Time, epoch int64) *holding {
	h := &holding{
		core: c, epoch: epoch, phase: fencing, since: now,
		journal: journal{epoch: epoch}, jobs: map[job.ID]*submitted{},
		workers: map[string]*worker{}, unsettled: map[string]bool{}, docket: blame.NewDocket(),
		advisers: advisers.New[*adviceCall](c.self.Box), learned: learned.NewLessons(), budget: planning.New(), reserved: reservations.New(),
		usage: workspaces.NewUsage(), shares: workspaces.NewShares(c.settings.Share), left: map[string]resource.Vector{},
		pools: map[string]bool{},
	}
	if c.config != nil {
		h.addPools(*c.config)
	}
	return h
}

// begin fences earlier holders' appends and looks at the workers meanwhile.
func (h *holding) begin(now time.Time) {
	h.core.note("took the cell over", field("claim", h.epoch))
	h.core.do(exchange.FollowWorkers{On: true})
	h.journal.add(kept.FenceRecord())
	h.flush(now)
}

// handle takes the events that only a holder needs.
func (h *holding) handle(now time.Time, e exchange.Event) {
	switch e := e.(type) {
	case exchange.JobsLoaded:
		h.loaded(now, e)
	case exchange.WorkersRead:
		h.workersRead(now, e.Listing)
	case exchange.RenewEnded:
		h.renewEnded(now, e)
	case exchange.StartEnded:
		h.startEnded(now, e)
	case exchange.StopEnded:
		h.stopEnded(now, e)
	case exchange.ThrottleEnded:
		h.throttleEnded(e)
	case exchange.Advised:
		h.advised(now, e)
	}
}

// fenced goes on once no earlier holder can append.
func (h *holding) fenced() {
	if h.phase == fencing {
		h.phase = loading
		h.core.do(exchange.LoadJobs{Epoch: h.epoch})
	}
}

const (
	// planEvery is the least time between two plans, and planEach is added for
	// each open step, so that a backlog cannot take all of the processor.
	planEvery = 3 * time.Millisecond
	planEach  = 50 * time.Microsecond
)

// tick acts on what falls due with time.
func (h *holding) tick(now time.Time) {
	h.refuseWhileFailing(now)
	if now.Before(h.sweepAt) {
		h.flush(now)
		return
	}
	h.sweepAt = now.Add(sweepEvery)
	h.planDue = true
	h.fallDue(now)
	h.isRoomy = h.roomy(now)
	h.sweepWorkers(now)
	h.verdicts(now)
	h.sweepAdvice(now)
	h.dropEnded(now)
	h.overview(now)
	h.keepTimes(now)
	h.flush(now)
}

// decide flushes what has gathered and places what can be placed.
func (h *holding) decide(now time.Time) {
	h.flush(now)
	if h.phase != active || h.yielding || h.suspended || !h.planDue || now.Before(h.planAt) || !h.core.authority.Holds(now) {
		return
	}
	h.planDue = false
	h.planAt = now.Add(planEvery + time.Duration(len(h.open))*planEach)
	h.plan(now)
}

// refuseAll answers every caller who waits for the log.
func (h *holding) refuseAll(why string) {
	a := exchange.Answer{Outcome: exchange.Unsure, Reason: why}
	for _, j := range ordered.Map(h.jobs) {
		h.answer(j.waitAccept, a)
		h.answer(j.waitCancel, a)
	}
}

// answer tells several callers the same.
func (h *holding) answer(calls []exchange.CallID, a exchange.Answer) {
	for _, call := range calls {
		h.core.reply(call, a)
	}
}
