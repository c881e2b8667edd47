// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package dispatch is the reducer for jobs that callers submit. One box holds
// the cell's workers at a time and keeps all that must last in the log; the
// others pass calls on to it. The reducer is told each event with the present
// time and returns what to do; it does no I/O and reads no clock.
//
// Core is what every process has; claim, handover, outage and move decide who holds
// the cell. A holding is what the holder has besides:
//
//   - load reads what earlier holders kept, journal and confirm keep what is new;
//   - calls and status answer callers and operators, overview sums the cell up in
//     the output;
//   - jobs, instances and progress hold the work;
//   - plan ranks the open steps (rank) and places their tasks (placement, fit,
//     room); where there is no room it stops tasks of lower rank (preempt), reserves
//     room for a gang (reserve) or keeps workers for it until they are empty (keep);
//   - ask and choice decide whom to ask which workers suit a step, advice
//     carries the calls;
//   - runtimes and speed note what answers and ends have shown: how many
//     workers suit, how long steps take, and which workers are slow; remaining says
//     how much of a step is left;
//   - attempts, starts, stops, reports and ends follow the tasks on their workers, stall
//     moves those that stand still, throttle sets the pace of those that fill idle
//     processors;
//   - workers, listing, lease and gone follow the workers themselves, suspects tries
//     the tasks apart under which workers have crashed;
//   - delay tells what made jobs late.
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
	"saddlevane/services/workspaces"
)

// Core is the state of a process. It is not safe for concurrent use.
type Core struct {
	settings  Settings
	self      claim.Member
	authority *authority.Authority
	members   authority.Boxes
	config    *job.Config
	// configReadAt is when the last read of the configurations was asked for that has ended.
	configReadAt time.Time
	// holding is set while this process holds the cell, or is about to.
	holding *holderState
	// out has the effects that Decide returns next.
	effects []exchange.Effect

	// announced says that the log has this life of the box, announcing that an
	// append of it is under way, announceRetryAt when one may be sent again.
	announced       bool
	announcing      bool
	announceRetryAt time.Time
	// stopAt is when a planned stop is complete, stopped that this was told.
	stopDeadline time.Time
	stopped      bool
	// pledging says that the other boxes are being asked not to claim, pledgeRetryAt
	// when they may be asked again.
	awaitingPledges bool
	pledgeRetryAt   time.Time
	// logRecoveredAt is when the log last began to answer after a silence.
	logRecoveredAt time.Time
	// suspended is by how much the time that the reducer is told is ahead of the time of
	// day, because the machine was suspended.
	suspendOffset time.Duration
	// moveRetryAt is when a larger box may next be asked to take the cell.
	moveRetryAt time.Time
}

// New returns the state of a process that has just started.
func New(s Settings, self claim.Member) *Core {
	return &Core{
		settings: s, self: self, authority: authority.New(s.Authority, self),
		members: authority.Boxes{},
	}
}

// SetSuspendOffset tells by how much the times that are told from now on are ahead of the time of day,
// because the machine was suspended for so long.
func (c *Core) SetSuspendOffset(suspended time.Duration) { c.suspendOffset = suspended }

// unixMilli returns the time of day at now, in milliseconds since 1970.
func (c *Core) unixMilli(now time.Time) int64 { return now.Add(-c.suspendOffset).UnixMilli() }

// HoldsUntil returns the claim under which this process may give orders, and until when.
func (c *Core) HoldsUntil() (epoch int64, until time.Time) {
	if c.holding == nil {
		return 0, time.Time{}
	}
	return c.holding.epoch, c.authority.HoldsUntil()
}

// Config returns the configuration in force, or nil.
func (c *Core) Config() *job.Config { return c.config }

// Holder returns the claim in force.
func (c *Core) Holder() claim.Claim { return c.authority.Current() }

// IsServing says whether this process serves the cell's jobs at now.
func (c *Core) IsServing(now time.Time) bool {
	return c.holding != nil && c.holding.phase == phaseActive && c.authority.Holds(now)
}

// IsLogReachable says whether the log answers this process.
func (c *Core) IsLogReachable() bool { return c.authority.Steady() }

// LogReadAt returns when the log last answered a read of this process.
func (c *Core) LogReadAt() time.Time { return c.authority.ReadAt() }

// Handle takes one event.
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
	case exchange.ConfigReadEnded:
		c.configReadAt = ordered.Later(c.configReadAt, e.AskedAt)
	case exchange.ClaimsRead:
		c.handleClaimsRead(now, e)
	case exchange.MembersRead:
		c.handleMembersRead(now, e.Members)
	case exchange.AppendEnded:
		c.handleAppendEnded(now, e)
	case exchange.PledgeAsked:
		c.handlePledgeAsked(now, e)
	case exchange.Pledged:
		c.handlePledged(e)
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

// Decide places what can be placed and returns all that is to be done. It is
// called once after each group of events that came together.
func (c *Core) Decide(now time.Time) []exchange.Effect {
	if h := c.holding; h != nil {
		h.decide(now)
	}
	out := c.effects
	c.effects = nil
	return out
}

// handleDecided delays the next plan by what the last one took.
func (c *Core) handleDecided(now time.Time, took time.Duration) {
	if h := c.holding; h != nil {
		h.nextPlanAt = ordered.Later(h.nextPlanAt, now.Add(h.planBudget.RecordDuration(h.planTimes.Clamp(took))))
	}
}

// WorkerAnswerTime returns the time within which most workers answer the holder at present, or
// 0 if that is not known.
func (c *Core) WorkerAnswerTime(now time.Time) time.Duration {
	if c.holding == nil {
		return 0
	}
	return c.holding.answerDelays.UpperQuartile(now)
}

// PlanCount returns how many plans were made under the present claim.
func (c *Core) PlanCount() int {
	if c.holding == nil {
		return 0
	}
	return c.holding.planCount
}

func (c *Core) emit(e exchange.Effect) { c.effects = append(c.effects, e) }

func (c *Core) logEvent(message string, fields ...exchange.LogField) {
	c.emit(exchange.LogEvent{Message: message, Fields: fields})
}

// logField returns a named value of a note.
func logField(name string, value any) exchange.LogField {
	return exchange.LogField{Name: name, Value: value}
}

func (c *Core) reply(call exchange.CallID, a exchange.Answer) {
	c.emit(exchange.Reply{Call: call, Answer: a})
}

// serveCall runs f if this process serves the cell's jobs and the caller may call. A holder that
// was paused does not know what others have done meanwhile.
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

// IsConfigCurrent says whether the configuration is known to be the newest, but for changes
// that are not in force everywhere yet.
func (c *Core) IsConfigCurrent(now time.Time) bool { return now.Before(c.ConfigCurrentUntil()) }

// ConfigCurrentUntil returns until when that holds if nothing more is read.
func (c *Core) ConfigCurrentUntil() time.Time {
	return c.configReadAt.Add(c.settings.ConfigPropagation - configMargin)
}

// replyElsewhere answers that nothing was done here, and when to come back.
func (c *Core) replyElsewhere(id exchange.CallID, reason string) {
	holder := c.Holder()
	c.reply(id, exchange.Answer{
		Outcome: exchange.HeldElsewhere, Reason: reason, Holder: &holder, RetryAfter: job.Milliseconds(noHolderRetryAfter.Milliseconds()),
	})
}

// tick acts on what falls due with time.
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

// announce tells the other boxes where this one is.
func (c *Core) announce(now time.Time) {
	if c.announced || c.announcing || now.Before(c.announceRetryAt) {
		return
	}
	value, err := json.Marshal(c.self)
	if err != nil {
		// A member has only plain fields.
		panic(err)
	}
	c.announcing = true
	c.emit(exchange.Append{Purpose: exchange.ForAnnounce, Append: stream.Append{
		Stream: stream.Boxes, Records: []stream.Record{{Key: c.self.Box, Value: value}},
	}})
}

// handleConfigRead puts a configuration in force if it is newer.
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

// handleAppendEnded takes the end of an append to whoever asked for it.
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
		if !c.authority.Appended(now, e.Number, e.Offset, e.Err) && e.Err != nil {
			c.logEvent("a claim or renewal was not confirmed", logField("error", e.Err.Error()))
		}
		c.syncWithAuthority(now)
	case exchange.ForJournal:
		if c.holding != nil {
			c.holding.handleJournalAppendEnded(now, e)
		}
	}
}
