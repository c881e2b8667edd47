// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package shard runs the tasks of one shard: a group of racks and the ranges of
// tasks that are at home there. One entry box at a time holds a shard, by a
// claim in the log; what keeps a task from running twice is the lease that each
// worker grants to one holder, and the worker's own inventory.
package shard

import (
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/record"
	"saddlevane/models/spec"
	"saddlevane/models/task"
	"saddlevane/modules/rendezvous"
	"saddlevane/services/journal"
	"saddlevane/services/ledger"
	"saddlevane/services/membership"
	"saddlevane/services/placement"
)

// Settings are the times and bounds of a Holder.
type Settings struct {
	// Lease is how long a worker's lease lasts.
	Lease time.Duration
	// Renew is the time between two Syncs with an idle worker.
	RenewInterval time.Duration
	// Margin is taken off each lease against clocks that run unlike.
	ClockMargin time.Duration
	// TaskLease is how long a worker runs its tasks after its lease has lapsed.
	TaskLease time.Duration
	// GoneAfter is how long the platform's list must not have named a worker before
	// it counts as dead.
	GoneAfter time.Duration
	// Settle is how long the set of live entry boxes must not have changed
	// before a shard moves to another live box.
	SettleTime time.Duration
	// Backoff is the wait before a failed task is tried again; it doubles up to
	// MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// GangOvertakeTimeout is how long a gang waits before smaller work stops overtaking
	// it.
	GangOvertakeTimeout time.Duration
	// QuarantineAfter is how many different objects in a row must fail on a
	// worker before it gets no more work for QuarantineFor.
	QuarantineAfter int
	QuarantineFor   time.Duration
	// PlacementsPerTick bounds the work of one decision.
	PlacementsPerTick int
	// StopsPerTick bounds how fast running tasks are stopped.
	StopsPerTick int
}

// Phase is how far a holder has come.
type Phase string

// The phases. Tasks that an earlier holder may have started are started only
// when Active.
const (
	Idle Phase = "idle"
	// Claiming waits for the log to take the claim in.
	Claiming Phase = "claiming"
	// Adopting takes the lease of every worker and reads its inventory.
	Adopting Phase = "adopting"
	// Confirming reads the log up to a record appended after the last adoption,
	// because the earlier holder may have recorded outcomes until then.
	Confirming Phase = "confirming"
	Active     Phase = "active"
)

// Holder is the state for one shard. It is not safe for concurrent use.
type Holder struct {
	settings Settings
	policy   Policy
	id       spec.ShardID
	ledger   *ledger.Ledger
	members  *membership.Membership
	journal  *journal.Journal

	phase        Phase
	startedAt    time.Time
	pendingEntry journal.EntryNumber
	suspicion    suspicion
	// logEndReadAt is when the last read began that reached the log's end.
	logEndReadAt time.Time
	// doubtful says that another box may have become the holder meanwhile.
	maybeSuperseded bool
	// claim is the revision of this process's claim.
	claimRevision int64

	workers map[string]*workerState
	// order holds the workers by name.
	sortedWorkers    []*workerState
	plainIndex       placement.Index
	acceleratorIndex placement.Index

	objects map[task.ObjectID]*object
	teams   map[string]*team
	tasks   map[task.Key]*attempt
	total   totals

	outbox logOutbox
	// stops is how many more tasks may be stopped in this tick.
	stopBudget int
	// look says that some task may be unwanted.
	unwantedScanDue bool
	counts          Counts
}

// Counts are what a holder has done since the process started.
type Counts struct {
	Starts      int64
	Adoptions   int64
	Preemptions int64
	Takeovers   int64
	Duplicates  int64
	Lost        int64
}

// New returns a holder of nothing.
func New(now time.Time, s Settings, p Policy, id spec.ShardID, l *ledger.Ledger, m *membership.Membership, j *journal.Journal) *Holder {
	return &Holder{
		settings: s, policy: p, id: id, ledger: l, members: m, journal: j,
		phase: Idle, startedAt: now,
		workers: map[string]*workerState{}, objects: map[task.ObjectID]*object{},
		teams: map[string]*team{}, tasks: map[task.Key]*attempt{},
		outbox: newLogOutbox(),
	}
}

// ID returns the shard.
func (h *Holder) ID() spec.ShardID { return h.id }

// Phase returns how far the holder has come.
func (h *Holder) Phase() Phase { return h.phase }

// Counts returns what the holder has done since the process started.
func (h *Holder) Counts() Counts { return h.counts }

// Tick decides what is due.
func (h *Holder) Tick(now time.Time) []effect.Effect {
	h.stopBudget = h.settings.StopsPerTick
	h.followClaim(now)
	if h.isHolder() {
		h.flushOutbox(now)
		h.advancePhase(now)
		h.stopUnwanted()
		h.plan(now)
		h.forgetDeadFormerWorkers()
	}
	return h.dueSyncs(now)
}

// isHolder says whether the log names this process as the holder.
func (h *Holder) isHolder() bool {
	return h.phase == Adopting || h.phase == Confirming || h.phase == Active
}

// followClaim brings the phase in line with the log.
func (h *Holder) followClaim(now time.Time) {
	claim, held := h.ledger.Claim(h.id)
	self := h.members.Self()
	mine := held && claim.Box() == self.Box && claim.Incarnation() == self.Incarnation
	switch {
	case mine && !h.isHolder():
		h.startAdoption(now, claim)
	case !mine && h.isHolder():
		h.releaseShard(now)
	}
	if !mine {
		h.claimIfDue(now, claim, held)
	}
}

func (h *Holder) startAdoption(now time.Time, claim ledger.Claim) {
	h.phase, h.claimRevision, h.pendingEntry, h.maybeSuperseded = Adopting, claim.Revision(), 0, false
	h.suspicion = suspicion{}
	h.counts.Takeovers++
	h.SetWorkers(now)
	h.SetObjects(now)
	for _, w := range h.sortedWorkers {
		w.nextAt = now
	}
}

// releaseShard gives everything up to the next holder.
func (h *Holder) releaseShard(now time.Time) {
	h.phase, h.pendingEntry = Idle, 0
	for _, w := range h.sortedWorkers {
		w.requestRelease(now)
		w.reset()
	}
	h.objects = map[task.ObjectID]*object{}
	h.teams = map[string]*team{}
	h.tasks = map[task.Key]*attempt{}
	h.outbox = newLogOutbox()
}

// claimIfDue claims the shard if this box should have it and nobody live has.
func (h *Holder) claimIfDue(now time.Time, claim ledger.Claim, held bool) {
	if h.phase == Claiming && h.journal.Applied(h.pendingEntry) {
		// The log took the claim in, yet another one came first.
		h.phase, h.pendingEntry = Idle, 0
	}
	if !h.isPreferredHolder(now) {
		h.suspicion = suspicion{}
		return
	}
	if h.phase == Claiming || !h.isClaimable(now, claim, held) {
		return
	}
	self := h.members.Self()
	h.phase = Claiming
	h.pendingEntry = h.journal.Add(record.Entry{Claim: &record.Claim{
		Shard: h.id, Box: self.Box, Incarnation: self.Incarnation, Replaces: claim.Revision(),
	}})
}

// isPreferredHolder says whether this box is the one that should hold the shard.
func (h *Holder) isPreferredHolder(now time.Time) bool {
	return rendezvous.Pick(h.id.String(), h.members.Live(now)) == h.members.Self().Box
}

// isClaimable says whether the shard may be claimed: its holder is gone, or ready to
// give it up. A process that has just started has not heard of its peers yet, so
// it waits first.
func (h *Holder) isClaimable(now time.Time, claim ledger.Claim, held bool) bool {
	switch {
	case now.Sub(h.startedAt) < h.settings.SettleTime/2:
		return false
	case !held || h.members.HasEnded(claim.Box(), claim.Incarnation()):
		return true
	case h.members.Yields(claim.Box(), claim.Incarnation(), h.id.String()):
		return true
	case h.members.IsLive(now, claim.Box(), claim.Incarnation()):
		h.suspicion = suspicion{}
		return false
	default:
		return h.mayReplaceHolder(now, claim)
	}
}

// advancePhase moves from one phase of taking over to the next.
func (h *Holder) advancePhase(now time.Time) {
	switch h.phase {
	case Adopting:
		if !h.allAdopted() {
			return
		}
		h.phase = Confirming
		h.pendingEntry = h.journal.Add(record.Entry{Mark: &record.Mark{}})
	case Confirming:
		if h.journal.Applied(h.pendingEntry) {
			h.phase, h.pendingEntry, h.maybeSuperseded = Active, 0, false
			h.SetObjects(now)
		}
	}
}

// isYielding says whether this holder is to give the shard up: the process stops,
// or the set of live boxes has settled and another box should hold it.
func (h *Holder) isYielding(now time.Time) bool {
	if h.members.Leaving() {
		return true
	}
	return !h.isPreferredHolder(now) && h.members.StableFor(now) >= h.settings.SettleTime
}

// Yields says whether the next holder may claim the shard. Whatever was recorded
// as intended has been sent by then, so that a planned change of holders leaves no
// task unknown.
func (h *Holder) Yields(now time.Time) bool {
	return h.isHolder() && h.isYielding(now) && h.allSent()
}

// allSent says whether nothing is left to be sent.
func (h *Holder) allSent() bool {
	if !h.outbox.isEmpty() {
		return false
	}
	for _, w := range h.sortedWorkers {
		if len(w.starts) > 0 || w.inflight != nil && len(w.inflight.Starts) > 0 {
			return false
		}
	}
	return true
}

// ReleaseLeases gives leases back in a planned stop, once nothing is left to be sent.
func (h *Holder) ReleaseLeases(now time.Time) {
	if !h.allSent() {
		return
	}
	for _, w := range h.sortedWorkers {
		w.requestRelease(now)
	}
}

// AllLeasesReleased says whether no worker still has a lease from this holder.
func (h *Holder) AllLeasesReleased(now time.Time) bool {
	for _, w := range h.workers {
		if w.holdsLease(now) {
			return false
		}
	}
	return true
}
