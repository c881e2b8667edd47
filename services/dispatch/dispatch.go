// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package dispatch schedules submitted jobs on the workers of a cell. One box at a
// time, the holder, controls the cell's workers and writes all durable state to the
// log; the other boxes forward calls to it. The package is a deterministic reducer:
// it receives each event with the current time and returns the effects to carry
// out. It does no I/O and reads no clock.
//
// Core is the state that every process has; the files claim, claimants, handover,
// outage and relocate decide which box holds the cell. holderState (holderstate) is the additional
// state of the holder, and these files work on it:
//
//   - restore rebuilds the state that earlier holders wrote to the log, undecodable preserves
//     what it could not decode; journal appends
//     new state to the log, and appended handles the results of these appends;
//   - calls and status answer callers and operators, overview logs a summary of the
//     cell;
//   - jobs, instances and progress keep the jobs, their instances, steps and tasks;
//     admission decides which new jobs are accepted, caps limits what a workspace uses;
//   - plan ranks the open steps (rank) and places their tasks (placement, fit,
//     capacity); for tasks without capacity it preempts tasks of lower rank (preempt),
//     reserves capacity for a gang (reserve) or drains workers (drain);
//   - advicerequests and candidates choose the workers about which the advice service is
//     asked, advice tracks the calls to it and their answers;
//   - runtimes and speed learn how long steps take and which workers are slow, remaining
//     estimates how much time a step still needs;
//   - attempts, starts, stops, reports and ends track the runs on the workers, stall
//     stops runs that make no progress, throttle sets the pace of fillers, the tasks
//     that use idle processors;
//   - workers, listing and lease track the workers, incarnations their restarts;
//     lostworkers releases what ran on a worker that is lost, unresponsive records in
//     the log what may run on a worker that does not answer, inheritedstarts restores
//     the starts that earlier holders ordered;
//   - suspects keeps which tasks are suspected of crashing workers, crashes what a lost
//     worker tells about the tasks on it, trials starts suspects on separate workers;
//   - evacuation keeps tasks off the failure domains that operators evacuate;
//   - delay computes what made a job late.
package dispatch

import (
	"encoding/json"
	"time"

	"saddlevane/models/claim"
	"saddlevane/models/exchange"
	"saddlevane/models/job"
	"saddlevane/models/stream"
	"saddlevane/models/workspace"
	"saddlevane/modules/ordered"
	"saddlevane/services/authority"
	"saddlevane/services/evacuations"
	"saddlevane/services/workspaces"
)

// Core is the scheduling state of one process, whether or not it holds the cell. It is
// not safe for concurrent use.
type Core struct {
	settings  Settings
	self      claim.Member
	authority *authority.Authority
	members   authority.Boxes
	config    *job.Config
	// evacuations has the failure domains on whose workers no task may be started.
	evacuations evacuations.Tracker
	// configReadAt is when the latest completed read of the configurations was requested.
	configReadAt time.Time
	// holding is the holder's state, or nil unless this process holds the cell or is taking
	// it over.
	holding *holderState
	// effects are the effects that the next Decide returns.
	effects []exchange.Effect

	// announced is set once the log has the record of this incarnation of the box,
	// announcing while an append of it is pending. announceRetryAt is when the next append
	// may be sent.
	announced       bool
	announcing      bool
	announceRetryAt time.Time
	// stopDeadline is when a planned stop is complete; stopped is set once that was
	// reported.
	stopDeadline time.Time
	stopped      bool
	// awaitingPledges is set while a request to the other candidates not to claim the cell is
	// pending; pledgeRetryAt is when the next one may be sent.
	awaitingPledges bool
	pledgeRetryAt   time.Time
	// probes are the requests to the other candidates whether they reach the log.
	probes *authority.Probes
	// logRecoveredAt is when the log last became reachable after an outage.
	logRecoveredAt time.Time
	// suspendOffset is how far the event times are ahead of the wall clock because the
	// machine was suspended.
	suspendOffset time.Duration
}

// New returns the state of a process that has just started and announces itself as self.
func New(s Settings, self claim.Member) *Core {
	return &Core{
		settings: s, self: self, authority: authority.New(s.Authority, self),
		members: authority.Boxes{}, probes: authority.NewProbes(),
	}
}

// SetSuspendOffset sets how far the times of the following events are ahead of the wall clock
// because the machine was suspended.
func (c *Core) SetSuspendOffset(offset time.Duration) { c.suspendOffset = offset }

// unixMilli returns the wall clock time at now, in milliseconds since 1970.
func (c *Core) unixMilli(now time.Time) int64 { return now.Add(-c.suspendOffset).UnixMilli() }

// HoldsUntil returns the epoch of the claim under which this process may send orders to
// workers, and when that authority expires. It returns zero values if this process does not
// hold the cell, or while the answer to an invitation is pending: the invited box may hold it.
func (c *Core) HoldsUntil() (epoch int64, until time.Time) {
	if c.holding == nil || c.holding.invitePending {
		return 0, time.Time{}
	}
	return c.holding.epoch, c.authority.HoldsUntil()
}

// Config returns the configuration in force, or nil if none was read yet.
func (c *Core) Config() *job.Config { return c.config }

// Holder returns the claim in force.
func (c *Core) Holder() claim.Claim { return c.authority.Current() }

// IsServing reports whether this process holds the cell at now and has completed the
// takeover, so that it accepts calls for jobs.
func (c *Core) IsServing(now time.Time) bool {
	return c.holding != nil && c.holding.phase == phaseActive && c.authority.IsHolder(now)
}

// IsLogReachable reports whether the log answers this process.
func (c *Core) IsLogReachable() bool { return c.authority.IsLogReachable() }

// MustReadLog reports whether this process has to read the claims from the log by itself, rather than
// through another box: it holds the cell or may have to claim it.
func (c *Core) MustReadLog(now time.Time) bool { return c.authority.MustReadLog(now) }

// LogReadAt returns when the log last answered a read by this process.
func (c *Core) LogReadAt() time.Time { return c.authority.LogReadAt() }

// Handle applies one event. The effects it causes are returned by the next Decide.
func (c *Core) Handle(now time.Time, e exchange.Event) {
	switch e := e.(type) {
	case exchange.Tick:
		c.tick(now)
	case exchange.Decided:
		c.handleDecided(now, e.Took)
	case exchange.Stop:
		c.beginStop(now)
	case exchange.ConfigRead:
		c.handleConfigRead(e.Config)
	case exchange.EvacuationsRead:
		c.handleEvacuationsRead(now, e.Update)
	case exchange.ConfigReadEnded:
		c.configReadAt = ordered.Later(c.configReadAt, e.AskedAt)
	case exchange.ClaimsRead:
		c.handleClaimsRead(now, e)
	case exchange.MembersRead:
		c.handleMembersRead(now, e.Members)
	case exchange.AppendEnded:
		c.handleAppendEnded(now, e)
	case exchange.HolderAsked:
		holder := c.Holder()
		c.reply(e.Call, exchange.Answer{Outcome: exchange.OK, Holder: &holder})
	case exchange.PledgeAsked:
		c.handlePledgeAsked(now, e)
	case exchange.Pledged:
		c.handlePledged(now, e)
	case exchange.InviteAsked:
		c.handleInviteAsked(now, e)
	case exchange.Invited:
		c.handleInvited(e)
	case exchange.Submitted:
		c.serveCall(now, e.Call, e.Caller, func(h *holderState) { h.submit(now, e) })
	case exchange.CancelAsked:
		c.serveCall(now, e.Call, e.Caller, func(h *holderState) { h.cancel(now, e) })
	case exchange.StateAsked:
		c.serveCall(now, e.Call, e.Caller, func(h *holderState) { h.replyState(e) })
	case exchange.ExplanationAsked:
		c.serveCall(now, e.Call, nil, func(h *holderState) { h.explainJob(now, e) })
	case exchange.CountAsked:
		c.serveCall(now, e.Call, e.Caller, func(h *holderState) { h.replyCount(e) })
	default:
		if c.holding != nil {
			c.holding.handle(now, e)
		}
	}
}

// Decide makes a plan if one is due, and returns all pending effects. It is called
// once after each batch of events.
func (c *Core) Decide(now time.Time) []exchange.Effect {
	if h := c.holding; h != nil {
		h.decide(now)
	}
	effects := c.effects
	c.effects = nil
	return effects
}

// handleDecided delays the next plan according to how long the last one took.
func (c *Core) handleDecided(now time.Time, took time.Duration) {
	if h := c.holding; h != nil {
		h.nextPlanAt = ordered.Later(h.nextPlanAt, now.Add(h.planBudget.RecordDuration(h.planTimes.Clamp(took))))
	}
}

// WorkerAnswerTime returns the upper quartile of the workers' recent response times, or 0 if
// it is not known.
func (c *Core) WorkerAnswerTime(now time.Time) time.Duration {
	if c.holding == nil {
		return 0
	}
	return c.holding.answerDelays.UpperQuartile(now)
}

// PlanCount returns how many plans this process has made under its current claim.
func (c *Core) PlanCount() int {
	if c.holding == nil {
		return 0
	}
	return c.holding.planCount
}

// emit adds an effect to those that the next Decide returns.
func (c *Core) emit(e exchange.Effect) { c.effects = append(c.effects, e) }

// logEvent adds a line to the log of the process.
func (c *Core) logEvent(message string, fields ...exchange.LogField) {
	c.emit(exchange.LogEvent{Message: message, Fields: fields})
}

// logField returns a named value for logEvent.
func logField(name string, value any) exchange.LogField {
	return exchange.LogField{Name: name, Value: value}
}

// reply answers a caller's call.
func (c *Core) reply(call exchange.CallID, a exchange.Answer) {
	c.emit(exchange.Reply{Call: call, Answer: a})
}

// serveCall runs f if this process serves the cell's jobs and the caller is authorized;
// otherwise it answers the call with the reason. The check is made for each call because
// another box may have taken the cell over while this process was paused.
func (c *Core) serveCall(now time.Time, id exchange.CallID, caller *workspace.Caller, f func(*holderState)) {
	if !c.IsServing(now) {
		c.replyElsewhere(id, "this box does not hold the cell")
		return
	}
	if v := workspaces.AuthorizeAtHolder(c.config, c.IsConfigCurrent(now), caller); v != workspaces.Allowed {
		c.reply(id, workspaces.RefusalAnswer(v))
		return
	}
	f(c.holding)
}

// IsConfigCurrent reports whether the configuration is known to be the newest, apart from
// changes so recent that they need not be in force everywhere yet.
func (c *Core) IsConfigCurrent(now time.Time) bool { return now.Before(c.ConfigCurrentUntil()) }

// ConfigCurrentUntil returns until when IsConfigCurrent stays true if no further read of the
// configurations completes.
func (c *Core) ConfigCurrentUntil() time.Time {
	return c.configReadAt.Add(c.settings.ConfigPropagation - configMargin)
}

// replyElsewhere answers that this box did nothing, which box holds the cell, and when to
// retry.
func (c *Core) replyElsewhere(id exchange.CallID, reason string) {
	holder := c.Holder()
	c.reply(id, exchange.Answer{
		Outcome: exchange.HeldElsewhere, Reason: reason, Holder: &holder, RetryAfter: job.Milliseconds(noHolderRetryAfter.Milliseconds()),
	})
}

// tick does all periodic work that is due.
func (c *Core) tick(now time.Time) {
	c.announce(now)
	if c.announced && c.config != nil {
		c.updateClaim(now)
	}
	if h := c.holding; h != nil {
		h.tick(now)
	}
	c.continueStop(now)
}

// announce appends the record of this box to the stream of boxes, so that the other boxes
// can find it.
func (c *Core) announce(now time.Time) {
	if c.announced || c.announcing || now.Before(c.announceRetryAt) {
		return
	}
	value, err := json.Marshal(c.self)
	if err != nil {
		// Marshal cannot fail: Member has only plain fields.
		panic(err)
	}
	c.announcing = true
	c.emit(exchange.Append{Purpose: exchange.ForAnnounce, Append: stream.Append{
		Stream: stream.Boxes, Records: []stream.Record{{Key: c.self.Box, Value: value}},
	}})
}

// handleConfigRead puts a configuration in force if it is newer than the current one.
func (c *Core) handleConfigRead(config job.Config) {
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.config = &config
	c.logEvent("configuration in force", logField("config", config.Version), logField("queues", len(config.Queues)),
		logField("workspaces", len(config.Workspaces)))
	if c.holding != nil {
		c.holding.addPools(config)
		c.holding.planDue = true
	}
}

// handleAppendEnded passes the result of an append to the part that requested it.
func (c *Core) handleAppendEnded(now time.Time, e exchange.AppendEnded) {
	switch e.Purpose {
	case exchange.ForAnnounce:
		c.announcing = false
		c.announced = e.Err == nil
		c.announceRetryAt = now.Add(appendRetryDelay)
		if e.Err != nil {
			c.logEvent("announcing this box failed", logField("error", e.Err.Error()))
		}
	case exchange.ForClaim:
		if !c.authority.AppendEnded(now, e.Number, e.Offset, e.Err) && e.Err != nil {
			c.logEvent("a claim or renewal was not confirmed", logField("error", e.Err.Error()))
		}
		c.syncWithAuthority(now)
	case exchange.ForJournal:
		if c.holding != nil {
			c.holding.handleJournalAppendEnded(now, e)
		}
	}
}
