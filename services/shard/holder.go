// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package shard places the tasks of one shard: a group of racks and the ranges of tasks
// assigned to it. At most one entry box at a time holds a shard, by a claim in the log. A
// task cannot run twice because each worker grants its lease to only one holder, and
// because a new holder reads the inventories of the workers before it starts tasks.
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

// Settings holds the intervals and limits of a Holder.
type Settings struct {
	// Lease is how long a worker's lease lasts.
	Lease time.Duration
	// RenewInterval is the time between two Syncs with an idle worker.
	RenewInterval time.Duration
	// ClockMargin is subtracted from each lease to allow for differences between clocks.
	ClockMargin time.Duration
	// TaskLease is how long a worker runs its tasks after its lease has expired.
	TaskLease time.Duration
	// GoneAfter is how long a worker must be missing from the platform's list before it
	// counts as dead.
	GoneAfter time.Duration
	// SettleTime is how long the set of live entry boxes must be unchanged before a shard
	// moves to another live box.
	SettleTime time.Duration
	// Backoff is the delay before a failed task is tried again. It doubles with each
	// attempt up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// GangOvertakeTimeout is how long smaller tasks may be placed before a waiting gang.
	GangOvertakeTimeout time.Duration
	// QuarantineAfter is how many different objects in a row must fail on a worker before
	// it gets no more tasks for QuarantineFor, and on how many different workers an object
	// must fail before all its tasks wait for the backoff.
	QuarantineAfter int
	QuarantineFor   time.Duration
	// PlacementsPerTick limits how many tasks are placed per tick, and so its run time.
	PlacementsPerTick int
	// StopsPerTick limits how many running tasks are stopped per tick.
	StopsPerTick int
}

// Phase is the progress of a holder from not holding the shard to placing all of its tasks.
type Phase string

// The phases. Tasks that an earlier holder may have started are started only
// when Active.
const (
	// Idle means that this process neither holds the shard nor has a claim pending.
	Idle Phase = "idle"
	// Claiming waits for the pending claim to be read back from the log.
	Claiming Phase = "claiming"
	// Adopting acquires the lease of every worker and reads its inventory.
	Adopting Phase = "adopting"
	// Confirming reads the log up to a record appended after the last adoption, because the
	// previous holder may have recorded outcomes until then.
	Confirming Phase = "confirming"
	// Active places all tasks.
	Active Phase = "active"
)

// Holder claims one shard and, while it holds it, places the shard's tasks on workers. It
// is not safe for concurrent use.
type Holder struct {
	settings Settings
	policy   Policy
	id       spec.ShardID
	ledger   *ledger.Ledger
	members  *membership.Membership
	journal  *journal.Journal

	phase     Phase
	startedAt time.Time
	// pendingEntry is the journal entry that the phase waits for: the claim in Claiming,
	// the mark in Confirming, otherwise 0.
	pendingEntry journal.EntryNumber
	suspicion    suspicion
	// logEndReadAt is when the latest read that reached the end of the log began.
	logEndReadAt time.Time
	// maybeSuperseded is set if another box has had the lease of a worker, so that it may
	// be the holder by now.
	maybeSuperseded bool
	// claimRevision is the revision of this process's claim.
	claimRevision int64

	workers map[string]*workerState
	// sortedWorkers holds the workers sorted by name.
	sortedWorkers []*workerState
	// plainIndex and acceleratorIndex hold the workers that can be given tasks, without and
	// with accelerators.
	plainIndex       placement.Index
	acceleratorIndex placement.Index

	objects map[task.ObjectID]*object
	teams   map[string]*team
	tasks   map[task.Key]*attempt
	total   totals

	outbox logOutbox
	// stopBudget is how many more tasks may be stopped in this tick.
	stopBudget int
	// unwantedScanDue is set after a change that may have left running tasks unwanted.
	unwantedScanDue bool
	counts          Counts
}

// Counts holds counters of events since the process started.
type Counts struct {
	Starts      int64
	Adoptions   int64
	Preemptions int64
	Takeovers   int64
	Duplicates  int64
	Lost        int64
}

// New returns an idle Holder for the shard id.
func New(now time.Time, s Settings, p Policy, id spec.ShardID, l *ledger.Ledger, m *membership.Membership, j *journal.Journal) *Holder {
	return &Holder{
		settings: s, policy: p, id: id, ledger: l, members: m, journal: j,
		phase: Idle, startedAt: now,
		workers: map[string]*workerState{}, objects: map[task.ObjectID]*object{},
		teams: map[string]*team{}, tasks: map[task.Key]*attempt{},
		outbox: newLogOutbox(),
	}
}

// ID returns the ID of the shard.
func (h *Holder) ID() spec.ShardID { return h.id }

// Phase returns the current phase.
func (h *Holder) Phase() Phase { return h.phase }

// Counts returns the counters since the process started.
func (h *Holder) Counts() Counts { return h.counts }

// Tick does what is due at now and returns the Syncs to send.
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

// isHolder reports whether this process acts as the holder, after reading its own claim in
// the log.
func (h *Holder) isHolder() bool {
	return h.phase == Adopting || h.phase == Confirming || h.phase == Active
}

// followClaim updates the phase to the claim in force in the log: it starts the takeover if
// the claim is this process's, and releases the shard if the claim has been replaced.
// Without its own claim it claims the shard if that is due.
func (h *Holder) followClaim(now time.Time) {
	claim, held := h.ledger.Claim(h.id)
	self := h.members.Self()
	own := held && claim.Box() == self.Box && claim.Incarnation() == self.Incarnation
	switch {
	case own && !h.isHolder():
		h.startAdoption(now, claim)
	case !own && h.isHolder():
		h.releaseShard(now)
	}
	if !own {
		h.claimIfDue(now, claim, held)
	}
}

// startAdoption begins the takeover of the shard under this process's claim.
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

// releaseShard drops all state of the shard and gives the leases back, after another
// process has become the holder.
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

// claimIfDue appends a claim if this box is the preferred holder and the current claim may
// be replaced.
func (h *Holder) claimIfDue(now time.Time, claim ledger.Claim, held bool) {
	if h.phase == Claiming && h.journal.Applied(h.pendingEntry) {
		// The claim has been read back from the log, but another one came before it.
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

// isPreferredHolder reports whether rendezvous hashing over the live entry boxes assigns
// the shard to this box.
func (h *Holder) isPreferredHolder(now time.Time) bool {
	return rendezvous.Pick(h.id.String(), h.members.Live(now)) == h.members.Self().Box
}

// isClaimable reports whether the shard may be claimed, because it has no holder, or the
// holder has ended, is ready to give it up or may be replaced as unreachable. A process
// that has just started has not received its peers' heartbeats yet, so it waits for half of
// SettleTime first.
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

// advancePhase moves to the next phase of the takeover once the current one is complete.
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

// isYielding reports whether this holder should give the shard up: the process is stopping,
// or the set of live boxes has been stable for SettleTime and another box is the preferred
// holder.
func (h *Holder) isYielding(now time.Time) bool {
	if h.members.Leaving() {
		return true
	}
	return !h.isPreferredHolder(now) && h.members.StableFor(now) >= h.settings.SettleTime
}

// Yields reports whether the next holder may claim the shard. All starts with a recorded
// intent have been sent by then, so a planned change of holders leaves no task in an
// unknown state.
func (h *Holder) Yields(now time.Time) bool {
	return h.isHolder() && h.isYielding(now) && h.allSent()
}

// allSent reports whether no entry waits for the log and no start waits to be sent or
// answered.
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

// ReleaseLeases gives the leases back in a planned stop, once everything has been sent.
func (h *Holder) ReleaseLeases(now time.Time) {
	if !h.allSent() {
		return
	}
	for _, w := range h.sortedWorkers {
		w.requestRelease(now)
	}
}

// AllLeasesReleased reports whether this holder has no worker's lease any more.
func (h *Holder) AllLeasesReleased(now time.Time) bool {
	for _, w := range h.workers {
		if w.holdsLease(now) {
			return false
		}
	}
	return true
}
