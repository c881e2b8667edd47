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
	// configSeenAt is when the last read of the configurations was asked for that has ended.
	configSeenAt time.Time
	// holding is set while this process holds the cell, or is about to.
	holding *holding
	// out has the effects that Decide returns next.
	out []exchange.Effect

	// announced says that the log has this life of the box, announcing that an
	// append of it is under way, announceAt when one may be sent again.
	announced  bool
	announcing bool
	announceAt time.Time
	// stopAt is when a planned stop is complete, stopDone that this was told.
	stopAt   time.Time
	stopDone bool
	// pledging says that the other boxes are being asked not to claim, pledgeAgain
	// when they may be asked again.
	pledging    bool
	pledgeAgain time.Time
	// logBackAt is when the log last began to answer after a silence.
	logBackAt time.Time
	// suspended is by how much the time that the reducer is told is ahead of the time of
	// day, because the machine was suspended.
	suspended time.Duration
	// moveAgain is when a larger box may next be asked to take the cell.
	moveAgain time.Time
}

// New returns the state of a process that has just started.
func New(s Settings, self claim.Member) *Core {
	return &Core{
		settings: s, self: self, authority: authority.New(s.Authority, self),
		members: authority.Boxes{},
	}
}

// Woke tells by how much the times that are told from now on are ahead of the time of day,
// because the machine was suspended for so long.
func (c *Core) Woke(suspended time.Duration) { c.suspended = suspended }

// unixMilli returns the time of day at now, in milliseconds since 1970.
func (c *Core) unixMilli(now time.Time) int64 { return now.Add(-c.suspended).UnixMilli() }

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

// Holds says whether this process serves the cell's jobs at now.
func (c *Core) Holds(now time.Time) bool {
	return c.holding != nil && c.holding.phase == active && c.authority.Holds(now)
}

// Steady says whether the log answers this process.
func (c *Core) Steady() bool { return c.authority.Steady() }

// LogReadAt returns when the log last answered a read of this process.
func (c *Core) LogReadAt() time.Time { return c.authority.ReadAt() }

// Handle takes one event.
func (c *Core) Handle(now time.Time, e exchange.Event) {
	switch e := e.(type) {
	case exchange.Tick:
		c.tick(now)
	case exchange.Decided:
		c.decided(now, e.Took)
	case exchange.Stop:
		c.beginStop(now)
	case exchange.ConfigRead:
		c.configRead(e.Config)
	case exchange.ConfigSeen:
		c.configSeenAt = ordered.Later(c.configSeenAt, e.AskedAt)
	case exchange.ClaimsRead:
		c.claimsRead(now, e)
	case exchange.MembersRead:
		c.membersRead(now, e.Members)
	case exchange.AppendEnded:
		c.appendEnded(now, e)
	case exchange.PledgeAsked:
		c.pledgeAsked(now, e)
	case exchange.Pledged:
		c.pledged(e)
	case exchange.InviteAsked:
		c.inviteAsked(now, e)
	case exchange.Invited:
		c.invited(e)
	case exchange.Submitted:
		c.call(now, e.Call, e.Caller, func(h *holding) { h.submit(now, e) })
	case exchange.CancelAsked:
		c.call(now, e.Call, e.Caller, func(h *holding) { h.cancel(now, e) })
	case exchange.StateAsked:
		c.call(now, e.Call, e.Caller, func(h *holding) { h.replyState(e) })
	case exchange.ExplanationAsked:
		c.call(now, e.Call, nil, func(h *holding) { h.askExplanation(now, e) })
	case exchange.CountAsked:
		c.call(now, e.Call, e.Caller, func(h *holding) { h.replyCount(e) })
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
	out := c.out
	c.out = nil
	return out
}

// decided delays the next plan by what the last one took.
func (c *Core) decided(now time.Time, took time.Duration) {
	if h := c.holding; h != nil {
		h.planAt = ordered.Later(h.planAt, now.Add(h.budget.RecordDuration(h.planned.Clamp(took))))
	}
}

// AnswersTake returns the time within which most workers answer the holder at present, or
// 0 if that is not known.
func (c *Core) AnswersTake(now time.Time) time.Duration {
	if c.holding == nil {
		return 0
	}
	return c.holding.answers.UpperQuartile(now)
}

// Plans returns how many plans were made under the present claim.
func (c *Core) Plans() int {
	if c.holding == nil {
		return 0
	}
	return c.holding.passes
}

func (c *Core) do(e exchange.Effect) { c.out = append(c.out, e) }

func (c *Core) note(message string, fields ...exchange.Field) {
	c.do(exchange.Note{Message: message, Fields: fields})
}

// field returns a named value of a note.
func field(name string, value any) exchange.Field { return exchange.Field{Name: name, Value: value} }

func (c *Core) reply(call exchange.CallID, a exchange.Answer) {
	c.do(exchange.Reply{Call: call, Reply: a})
}

// call runs f if this process serves the cell's jobs and the caller may call. A holder that
// was paused does not know what others have done meanwhile.
func (c *Core) call(now time.Time, id exchange.CallID, caller *workspace.Caller, f func(*holding)) {
	if !c.Holds(now) {
		c.elsewhere(id, "this box does not hold the cell")
		return
	}
	if v := workspaces.Judge(c.config, c.ConfigIsCurrent(now), caller); v != workspaces.Allowed {
		c.reply(id, workspaces.Refused(v))
		return
	}
	f(c.holding)
}

// ConfigIsCurrent says whether the configuration is known to be the newest, but for changes
// that are not in force everywhere yet.
func (c *Core) ConfigIsCurrent(now time.Time) bool { return now.Before(c.ConfigIsCurrentUntil()) }

// ConfigIsCurrentUntil returns until when that holds if nothing more is read.
func (c *Core) ConfigIsCurrentUntil() time.Time {
	return c.configSeenAt.Add(c.settings.ConfigWithin - configMargin)
}

// elsewhere answers that nothing was done here, and when to come back.
func (c *Core) elsewhere(id exchange.CallID, reason string) {
	holder := c.Holder()
	c.reply(id, exchange.Answer{
		Outcome: exchange.Elsewhere, Reason: reason, Holder: &holder, RetryAfter: job.Milliseconds(comeBack.Milliseconds()),
	})
}

// tick acts on what falls due with time.
func (c *Core) tick(now time.Time) {
	c.announce(now)
	if c.announced && c.config != nil {
		c.tryClaim(now)
	}
	if h := c.holding; h != nil {
		h.tick(now)
	}
	c.stopOn(now)
}

// announce tells the other boxes where this one is.
func (c *Core) announce(now time.Time) {
	if c.announced || c.announcing || now.Before(c.announceAt) {
		return
	}
	value, err := json.Marshal(c.self)
	if err != nil {
		// A member has only plain fields.
		panic(err)
	}
	c.announcing = true
	c.do(exchange.Append{Purpose: exchange.ForAnnounce, Append: stream.Append{
		Stream: stream.Boxes, Records: []stream.Record{{Key: c.self.Box, Value: value}},
	}})
}

// configRead puts a configuration in force if it is newer.
func (c *Core) configRead(config job.Config) {
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.config = &config
	c.note("configuration in force", field("config", config.Version), field("queues", len(config.Queues)),
		field("workspaces", len(config.Workspaces)))
	if c.holding != nil {
		c.holding.addPools(config)
		c.holding.planDue = true
	}
}

// appendEnded takes the end of an append to whoever asked for it.
func (c *Core) appendEnded(now time.Time, e exchange.AppendEnded) {
	switch e.Purpose {
	case exchange.ForAnnounce:
		c.announcing = false
		c.announced = e.Err == nil
		c.announceAt = now.Add(appendAgain)
		if e.Err != nil {
			c.note("announcing this box failed", field("error", e.Err.Error()))
		}
	case exchange.ForClaim:
		if !c.authority.Appended(now, e.Number, e.Offset, e.Err) && e.Err != nil {
			c.note("a claim or renewal was not confirmed", field("error", e.Err.Error()))
		}
		c.followAuthority(now)
	case exchange.ForJournal:
		if c.holding != nil {
			c.holding.journalAppendEnded(now, e)
		}
	}
}
