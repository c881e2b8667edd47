// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package core is the event handler of a whole process. It receives each event with the
// current time and returns the effects to carry out. It does no I/O, reads no clock and
// starts no goroutine. It only dispatches events: each component owns its own state.
package core

import (
	"slices"
	"time"

	"saddlevane/models/box"
	"saddlevane/models/effect"
	"saddlevane/models/event"
	"saddlevane/models/peer"
	"saddlevane/models/request"
	"saddlevane/models/spec"
	"saddlevane/modules/ordered"
	"saddlevane/services/journal"
	"saddlevane/services/ledger"
	"saddlevane/services/membership"
	"saddlevane/services/routing"
	"saddlevane/services/shard"

	"github.com/oklog/ulid/v2"
)

// Settings holds the settings of all components.
type Settings struct {
	Journal    journal.Settings
	Membership membership.Settings
	Routing    routing.Settings
	Shard      shard.Settings
	// Retention is how long the log keeps records.
	Retention time.Duration
	// StopGrace is how long a stopping process still accepts new requests, so that the load
	// balancer has time to react.
	StopGrace time.Duration
	// MaxStopTime limits the duration of a planned stop.
	MaxStopTime time.Duration
}

// Policies holds the policies that vary between deployments.
type Policies struct {
	Routing routing.Policy
	Shard   shard.Policy
}

// Core is the state of a process. It is not safe for concurrent use.
type Core struct {
	settings Settings
	policies Policies
	self     peer.Hello
	started  time.Time

	members *membership.Membership
	ledger  *ledger.Ledger
	reader  reader
	journal *journal.Journal
	router  *routing.Router
	holders map[spec.ShardID]*shard.Holder
	// publications holds the publications that wait for the log, by ID.
	publications map[string]pendingPublication
	stop         stopProgress
	// checkpointEntry is the last checkpoint entry that this process added to the journal.
	checkpointEntry journal.EntryNumber
}

// New returns the state of a process that has just started.
func New(now time.Time, s Settings, p Policies, self peer.Hello, newKey func(time.Time) ulid.ULID) *Core {
	return &Core{
		settings: s, policies: p, self: self, started: now,
		members:      membership.New(s.Membership, self),
		ledger:       ledger.New(),
		journal:      journal.New(s.Journal, self.Box+"/"+self.Incarnation),
		router:       routing.New(s.Routing, p.Routing, self.Box, self.Incarnation, newKey),
		holders:      map[spec.ShardID]*shard.Holder{},
		publications: map[string]pendingPublication{},
	}
}

// Handle handles one event and returns the effects to carry out, in order.
func (c *Core) Handle(now time.Time, e event.Event) []effect.Effect {
	switch e := e.(type) {
	case event.Tick:
		return c.tick(now)
	case event.Stop:
		return c.beginStop(now)
	case event.RequestArrived:
		return c.requestArrived(now, e.Arrival)
	case event.RequestAbandoned:
		return c.router.Abandoned(now, e.ID)
	case event.TargetAnswered:
		return c.router.Answered(now, e)
	case event.ForwardEnded:
		return c.router.ForwardEnded(now, e)
	case event.LogRead:
		return c.logRead(now, e)
	case event.LogFailed:
		return c.logFailed(now, e)
	case event.AppendEnded:
		c.journal.AppendEnded(now, e)
		// A snapshot may have contained the record before this answer arrived.
		c.journal.LogApplied(now, c.ledger.NextOffset())
		return nil
	case event.BoxesRead:
		return c.boxesRead(now, e.List)
	case event.HelloReceived:
		c.members.RecordHello(now, e.Hello)
		return c.updateRouterPeers(now)
	case event.SnapshotRead:
		return c.snapshotRead(now, e)
	case event.WorkerAnswered:
		c.workerAnswered(now, e)
		return nil
	case event.PublishAsked:
		return c.publishAsked(now, e)
	default:
		return nil
	}
}

// tick does what is due in all components.
func (c *Core) tick(now time.Time) []effect.Effect {
	var effects []effect.Effect
	c.members.SetYields(c.yieldableShards(now))
	effects = append(effects, c.members.Tick(now, c.knownOffset())...)
	effects = append(effects, c.updateRouterPeers(now)...)
	effects = append(effects, c.dueReads(now)...)
	effects = append(effects, c.router.Tick(now)...)
	for _, id := range c.shardIDs() {
		effects = append(effects, c.holders[id].Tick(now)...)
	}
	c.appendDueCheckpoint(now)
	effects = append(effects, c.journal.Tick(now)...)
	effects = append(effects, c.expirePublications(now)...)
	return append(effects, c.continueStop(now)...)
}

// yieldableShards returns the shards that other boxes may claim from this one.
func (c *Core) yieldableShards(now time.Time) []string {
	var all []string
	for _, id := range c.shardIDs() {
		if c.holders[id].Yields(now) {
			all = append(all, id.String())
		}
	}
	return all
}

// shardIDs returns the IDs of all shards of the domain, sorted.
func (c *Core) shardIDs() []spec.ShardID {
	ids := make([]spec.ShardID, 0, len(c.holders))
	for id := range c.holders {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, spec.ShardID.Compare)
	return ids
}

// requestArrived passes a request to the router, or refuses it while no files are in force.
func (c *Core) requestArrived(now time.Time, a request.Arrival) []effect.Effect {
	if !c.reader.inForce {
		return []effect.Effect{effect.Refuse{To: a.ID, Refusal: notReadyRefusal()}}
	}
	return c.router.Arrived(now, a)
}

// updateRouterPeers passes the peers that share the targets to the router. A stopping
// process keeps the peers that it had, because it still has requests to finish.
func (c *Core) updateRouterPeers(now time.Time) []effect.Effect {
	if c.members.Leaving() {
		return nil
	}
	var peers []routing.Peer
	for name, m := range c.members.Members() {
		h := m.Hello()
		if address, ok := c.members.AddressOf(now, name, h.Incarnation); ok && h.Domain == c.self.Domain {
			peers = append(peers, routing.Peer{Box: name, Incarnation: h.Incarnation, Address: address})
		}
	}
	return c.router.SetPeers(now, c.members.Live(now), peers)
}

// boxesRead updates all components to the platform's box list.
func (c *Core) boxesRead(now time.Time, l box.List) []effect.Effect {
	c.members.SetBoxes(now, l)
	for _, h := range ordered.MapFunc(c.holders, spec.ShardID.Compare) {
		h.SetWorkers(now)
	}
	c.router.SetNeighbours(c.neighbours())
	return append(c.setTargets(now), c.updateRouterPeers(now)...)
}

// neighbours returns the live entry boxes of other domains, which may have free capacity
// when this domain has none.
func (c *Core) neighbours() []routing.Neighbour {
	var all []routing.Neighbour
	for name, b := range ordered.Map(c.members.Boxes()) {
		if b.Role == box.Entry && b.Domain != c.self.Domain && b.State == box.Live {
			all = append(all, routing.Neighbour{Box: name, Domain: b.Domain, Address: b.Address})
		}
	}
	return all
}

// setTargets passes the targets of this domain to the router.
func (c *Core) setTargets(now time.Time) []effect.Effect {
	var targets []routing.Target
	for _, b := range c.members.Boxes() {
		if b.Role != box.Target || b.Domain != c.self.Domain || b.State == box.Dead {
			continue
		}
		targets = append(targets, routing.Target{
			Name: b.Name, Address: b.Address, Pool: b.Pool,
			Leaving: b.State == box.Leaving || c.ledger.Draining(b.Name),
		})
	}
	return c.router.SetTargets(now, targets)
}

// applyFiles updates all components to the files in force.
func (c *Core) applyFiles(now time.Time) []effect.Effect {
	effects := c.router.SetPools(now, c.ledger.Pools())
	effects = append(effects, c.setTargets(now)...)
	for _, id := range c.ledger.Shards(c.self.Domain) {
		if c.holders[id] == nil {
			c.holders[id] = shard.New(c.started, c.settings.Shard, c.policies.Shard, id, c.ledger, c.members, c.journal)
		}
	}
	for _, h := range ordered.MapFunc(c.holders, spec.ShardID.Compare) {
		h.SetWorkers(now)
		h.SetObjects(now)
	}
	return effects
}

// workerAnswered passes the result of a Sync to the holders of all shards. Holders that have not
// sent it ignore it.
func (c *Core) workerAnswered(now time.Time, e event.WorkerAnswered) {
	for _, h := range ordered.MapFunc(c.holders, spec.ShardID.Compare) {
		h.WorkerAnswered(now, e)
	}
}
