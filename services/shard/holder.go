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
	Renew time.Duration
	// Margin is taken off each lease against clocks that run unlike.
	Margin time.Duration
	// TaskLease is how long a worker runs its tasks after its lease has lapsed.
	TaskLease time.Duration
	// GoneAfter is how long the platform's list must not have named a worker before
	// it counts as dead.
	GoneAfter time.Duration
	// Settle is how long the set of live entry boxes must not have changed
	// before a shard moves to another live box.
	Settle time.Duration
	// Backoff is the wait before a failed task is tried again; it doubles up to
	// BackoffMost.
	Backoff     time.Duration
	BackoffMost time.Duration
	// GangPatience is how long a gang waits before smaller work stops overtaking
	// it.
	GangPatience time.Duration
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

	phase     Phase
	startedAt time.Time
	ticket    journal.EntryNumber
	suspect   suspicion
	// headAt is when the last read began that reached the log's end.
	headAt time.Time
	// doubtful says that another box may have become the holder meanwhile.
	doubtful bool
	// claim is the revision of this process's claim.
	claim int64

	workers map[string]*workerState
	// order holds the workers by name.
	order       []*workerState
	plain       placement.Index
	accelerated placement.Index

	objects map[task.ObjectID]*object
	teams   map[string]*team
	tasks   map[task.Key]*running
	total   totals

	outbox outcomes
	// stops is how many more tasks may be stopped in this tick.
	stops int
	// look says that some task may be unwanted.
	look   bool
	counts Counts
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
		teams: map[string]*team{}, tasks: map[task.Key]*running{},
		outbox: newOutcomes(),
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
	h.stops = h.settings.StopsPerTick
	h.follow(now)
	if h.holding() {
		h.flushOutcomes(now)
		h.advance(now)
		h.stopUnwanted()
		h.plan(now)
		h.forgetFormer()
	}
	return h.syncs(now)
}

// holding says whether the log names this process as the holder.
func (h *Holder) holding() bool {
	return h.phase == Adopting || h.phase == Confirming || h.phase == Active
}

// follow brings the phase in line with the log.
func (h *Holder) follow(now time.Time) {
	claim, held := h.ledger.Claim(h.id)
	self := h.members.Self()
	mine := held && claim.Box() == self.Box && claim.Incarnation() == self.Incarnation
	switch {
	case mine && !h.holding():
		h.begin(now, claim)
	case !mine && h.holding():
		h.lose(now)
	}
	if !mine {
		h.seek(now, claim, held)
	}
}

func (h *Holder) begin(now time.Time, claim ledger.Claim) {
	h.phase, h.claim, h.ticket, h.doubtful = Adopting, claim.Revision(), 0, false
	h.suspect = suspicion{}
	h.counts.Takeovers++
	h.SetWorkers(now)
	h.SetObjects(now)
	for _, w := range h.order {
		w.nextAt = now
	}
}

// lose gives everything up to the next holder.
func (h *Holder) lose(now time.Time) {
	h.phase, h.ticket = Idle, 0
	for _, w := range h.order {
		w.release(now)
		w.forget()
	}
	h.objects = map[task.ObjectID]*object{}
	h.teams = map[string]*team{}
	h.tasks = map[task.Key]*running{}
	h.outbox = newOutcomes()
}

// seek claims the shard if this box should have it and nobody live has.
func (h *Holder) seek(now time.Time, claim ledger.Claim, held bool) {
	if h.phase == Claiming && h.journal.Applied(h.ticket) {
		// The log took the claim in, yet another one came first.
		h.phase, h.ticket = Idle, 0
	}
	if !h.wanted(now) {
		h.suspect = suspicion{}
		return
	}
	if h.phase == Claiming || !h.free(now, claim, held) {
		return
	}
	self := h.members.Self()
	h.phase = Claiming
	h.ticket = h.journal.Add(record.Entry{Claim: &record.Claim{
		Shard: h.id, Box: self.Box, Incarnation: self.Incarnation, Replaces: claim.Revision(),
	}})
}

// wanted says whether this box is the one that should hold the shard.
func (h *Holder) wanted(now time.Time) bool {
	return rendezvous.Pick(h.id.String(), h.members.Live(now)) == h.members.Self().Box
}

// free says whether the shard may be claimed: its holder is gone, or ready to
// give it up. A process that has just started has not heard of its peers yet, so
// it waits first.
func (h *Holder) free(now time.Time, claim ledger.Claim, held bool) bool {
	switch {
	case now.Sub(h.startedAt) < h.settings.Settle/2:
		return false
	case !held || h.members.Gone(claim.Box(), claim.Incarnation()):
		return true
	case h.members.Yields(claim.Box(), claim.Incarnation(), h.id.String()):
		return true
	case h.members.Alive(now, claim.Box(), claim.Incarnation()):
		h.suspect = suspicion{}
		return false
	default:
		return h.suspectHolder(now, claim)
	}
}

// advance moves from one phase of taking over to the next.
func (h *Holder) advance(now time.Time) {
	switch h.phase {
	case Adopting:
		if !h.allAdopted() {
			return
		}
		h.phase = Confirming
		h.ticket = h.journal.Add(record.Entry{Mark: &record.Mark{}})
	case Confirming:
		if h.journal.Applied(h.ticket) {
			h.phase, h.ticket, h.doubtful = Active, 0, false
			h.SetObjects(now)
		}
	}
}

// yielding says whether this holder is to give the shard up: the process stops,
// or the set of live boxes has settled and another box should hold it.
func (h *Holder) yielding(now time.Time) bool {
	if h.members.Leaving() {
		return true
	}
	return !h.wanted(now) && h.members.StableFor(now) >= h.settings.Settle
}

// Yields says whether the next holder may claim the shard. Whatever was recorded
// as intended has been sent by then, so that a planned change of holders leaves no
// task unknown.
func (h *Holder) Yields(now time.Time) bool {
	return h.holding() && h.yielding(now) && h.drained()
}

// drained says whether nothing is left to be sent.
func (h *Holder) drained() bool {
	if !h.outbox.empty() {
		return false
	}
	for _, w := range h.order {
		if len(w.starts) > 0 || w.inflight != nil && len(w.inflight.Starts) > 0 {
			return false
		}
	}
	return true
}

// Leave gives leases back in a planned stop, once nothing is left to be sent.
func (h *Holder) Leave(now time.Time) {
	if !h.drained() {
		return
	}
	for _, w := range h.order {
		w.release(now)
	}
}

// Released says whether no worker still has a lease from this holder.
func (h *Holder) Released(now time.Time) bool {
	for _, w := range h.workers {
		if w.held(now) {
			return false
		}
	}
	return true
}
